"""Claims of requests that may not be repeated."""

import msgspec
from msgspec import Struct

from snipelead.exceptions import InvariantError
from snipelead.messages import ClaimReply
from snipelead.messages import SettleReply
from snipelead.types import ClaimId
from snipelead.types import IdempotencyKey
from snipelead.types import Ran
from snipelead.voters.exceptions import ClaimsFullError

__all__ = ['ClaimRecord', 'Claims']

# A key is remembered for this long; a resend after that may run again.
RETENTION_MS = 24 * 3_600_000
# When the table is full, settled claims older than this make room.
SHORT_RETENTION_MS = 600_000
MAX_CLAIMS = 100_000
MAX_RELEASED = 16
FULL_RETRY_MS = 5_000


class ClaimRecord(Struct, frozen=True, omit_defaults=True, array_like=True):
    """What is known of a key.

    Parameters
    ----------
    scope, key : str, IdempotencyKey
        Route and the caller's key.
    time_ms : int
        Log time of the first claim.
    fingerprint : str
        Digest of the request.
    holder : ClaimId
        Claim that was granted; '' when it was given back.
    ran : Ran
        Whether the request ran.
    settled : bool
        Whether the holder reported the end.
    status : int
        HTTP status of the run.
    released : tuple of ClaimId
        Claims that were given back; they are never granted again.
    """

    scope: str
    key: IdempotencyKey
    time_ms: int
    fingerprint: str = ''
    holder: ClaimId = ClaimId('')
    ran: Ran = Ran.UNKNOWN
    settled: bool = False
    status: int = 0
    released: tuple[ClaimId, ...] = ()


class Claims:
    """Table of claims, changed by log entries only.

    Parameters
    ----------
    records : iterable of ClaimRecord
        In the order of their times.
    """

    def __init__(self, records=()):
        self.records = {(r.scope, r.key): r for r in records}

    def claim(self, request, now_ms):
        """Decide a claim.

        Returns
        -------
        ClaimReply

        Raises
        ------
        ClaimsFullError
            If there is no room; nothing was claimed.
        """
        self._expire(now_ms)
        place = (request.scope, request.key)
        record = self.records.get(place)
        if record is None:
            self._make_room(now_ms)
            record = ClaimRecord(request.scope, request.key, now_ms)
        elif self._mismatches(record, request):
            return ClaimReply(False, record.ran, record.status, True)
        elif record.holder == request.claim_id:
            return ClaimReply(True)
        elif record.holder:
            return ClaimReply(False, record.ran, record.status)
        elif request.claim_id in record.released:
            return ClaimReply(False, Ran.NO)
        self._grant(place, record, request, now_ms)
        return ClaimReply(True)

    def _mismatches(self, record, request):
        if not record.holder and not record.fingerprint:
            return False
        return record.fingerprint != request.fingerprint

    def _grant(self, place, record, request, now_ms):
        granted = self.records.get(place, record)
        if granted.holder or request.claim_id in granted.released:
            raise InvariantError(
                f'claim {place} is held by {granted.holder!r} and would be'
                f' granted to {request.claim_id!r}'
            )
        # The retention of a key counts from its newest grant; the record moves
        # to the end, so that records stay in the order of their times.
        self.records.pop(place, None)
        self.records[place] = msgspec.structs.replace(
            record,
            time_ms=now_ms,
            holder=request.claim_id,
            fingerprint=request.fingerprint,
            ran=Ran.UNKNOWN,
        )

    def settle(self, request, now_ms):
        """Record the end of a claimed request."""
        place = (request.scope, request.key)
        record = self.records.get(place)
        if record is None:
            # The claim may still be on its way; it must not be granted.
            record = ClaimRecord(request.scope, request.key, now_ms)
            if request.ran is Ran.NO and len(self.records) < MAX_CLAIMS:
                self.records[place] = _release(record, request.claim_id)
        elif record.holder != request.claim_id:
            if request.ran is Ran.NO:
                self.records[place] = _release(record, request.claim_id)
        elif record.ran is not Ran.YES:
            self.records[place] = _settle_held(record, request)
        return SettleReply()

    def _expire(self, now_ms):
        self._drop_older(now_ms - RETENTION_MS, settled_only=False)

    def _make_room(self, now_ms):
        if len(self.records) < MAX_CLAIMS:
            return
        self._drop_older(now_ms - SHORT_RETENTION_MS, settled_only=True)
        if len(self.records) >= MAX_CLAIMS:
            raise ClaimsFullError(
                f'{MAX_CLAIMS} claims are younger than their retention',
                FULL_RETRY_MS,
            )

    def _drop_older(self, limit_ms, settled_only):
        old = []
        for place, record in self.records.items():
            if record.time_ms >= limit_ms:
                break
            if record.settled or not (record.holder and settled_only):
                old.append(place)
        for place in old:
            del self.records[place]


def _release(record, claim_id):
    if claim_id in record.released:
        return record
    released = (*record.released, claim_id)[-MAX_RELEASED:]
    return msgspec.structs.replace(record, released=released)


def _settle_held(record, request):
    if request.ran is Ran.NO:
        record = _release(record, request.claim_id)
        return msgspec.structs.replace(record, holder=ClaimId(''), ran=Ran.NO)
    return msgspec.structs.replace(
        record, ran=request.ran, settled=True, status=request.status
    )
