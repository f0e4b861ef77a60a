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

# Time for which a key is remembered; a request resent later may run again.
RETENTION_MS = 24 * 3_600_000
# When the table is full, settled and returned claims older than this are
# evicted.
FULL_TABLE_RETENTION_MS = 600_000
MAX_CLAIMS = 100_000
MAX_RETURNED_CLAIM_IDS = 16
CLAIMS_FULL_RETRY_AFTER_MS = 5_000


class ClaimRecord(Struct, frozen=True, omit_defaults=True, array_like=True):
    """Record of the claims of one idempotency key.

    Parameters
    ----------
    scope, key : str, IdempotencyKey
        Route and the caller's key.
    log_time_ms : int
        Log time in ms of the newest grant, or of the record's creation
        before any grant; the retention counts from it.
    fingerprint : str
        Digest of the request.
    holder : ClaimId
        Claim that was granted; '' if none is or it was returned.
    ran : Ran
        Whether the request ran.
    settled : bool
        Whether the holder reported that the request ended, unless by
        returning the claim.
    status : int
        HTTP status of the response.
    returned : tuple of ClaimId
        Claims that were returned because the request did not run; they are
        never granted again.
    """

    scope: str
    key: IdempotencyKey
    log_time_ms: int
    fingerprint: str = ''
    holder: ClaimId = ClaimId('')
    ran: Ran = Ran.UNKNOWN
    settled: bool = False
    status: int = 0
    returned: tuple[ClaimId, ...] = ()


class Claims:
    """Table of claims by scope and key, changed by log entries only.

    Parameters
    ----------
    records : iterable of ClaimRecord
        Records in ascending order of log time.
    """

    def __init__(self, records=()):
        self.records = {(r.scope, r.key): r for r in records}

    def claim(self, request, now_ms):
        """Grant or deny a claim.

        Returns
        -------
        ClaimReply

        Raises
        ------
        ClaimsFullError
            If the table is full; nothing was claimed.
        """
        self._expire(now_ms)
        record_key = (request.scope, request.key)
        record = self.records.get(record_key)
        if record is None:
            self._ensure_room(now_ms)
            record = ClaimRecord(request.scope, request.key, now_ms)
        elif self._mismatches(record, request):
            return ClaimReply(False, record.ran, record.status, True)
        elif record.holder == request.claim_id:
            return ClaimReply(True)
        elif record.holder:
            return ClaimReply(False, record.ran, record.status)
        elif request.claim_id in record.returned:
            return ClaimReply(False, Ran.NO)
        self._grant(record_key, record, request, now_ms)
        return ClaimReply(True)

    def _mismatches(self, record, request):
        if not record.holder and not record.fingerprint:
            return False
        return record.fingerprint != request.fingerprint

    def _grant(self, record_key, record, request, now_ms):
        existing = self.records.get(record_key, record)
        if existing.holder or request.claim_id in existing.returned:
            raise InvariantError(
                f'claim {record_key} is held by {existing.holder!r} and would'
                f' be granted to {request.claim_id!r}'
            )
        # The retention of a key counts from its newest grant. Moving the
        # record to the end keeps the records ordered by log time.
        self.records.pop(record_key, None)
        self.records[record_key] = msgspec.structs.replace(
            record,
            log_time_ms=now_ms,
            holder=request.claim_id,
            fingerprint=request.fingerprint,
            ran=Ran.UNKNOWN,
        )

    def settle(self, request, now_ms):
        """Record the end of a claimed request, or return the claim."""
        record_key = (request.scope, request.key)
        record = self.records.get(record_key)
        if record is None:
            # The claim may still be in transit; it must not be granted.
            record = ClaimRecord(request.scope, request.key, now_ms)
            if request.ran is Ran.NO and len(self.records) < MAX_CLAIMS:
                self.records[record_key] = _add_returned(
                    record, request.claim_id
                )
        elif record.holder != request.claim_id:
            if request.ran is Ran.NO:
                self.records[record_key] = _add_returned(
                    record, request.claim_id
                )
        elif record.ran is not Ran.YES:
            self.records[record_key] = _settle_record(record, request)
        return SettleReply()

    def _expire(self, now_ms):
        self._drop_older_than(now_ms - RETENTION_MS, settled_only=False)

    def _ensure_room(self, now_ms):
        if len(self.records) < MAX_CLAIMS:
            return
        self._drop_older_than(
            now_ms - FULL_TABLE_RETENTION_MS, settled_only=True
        )
        if len(self.records) >= MAX_CLAIMS:
            raise ClaimsFullError(
                f'the table of {MAX_CLAIMS} claims is full and none can be'
                ' evicted yet',
                CLAIMS_FULL_RETRY_AFTER_MS,
            )

    def _drop_older_than(self, cutoff_ms, settled_only):
        old = []
        for record_key, record in self.records.items():
            if record.log_time_ms >= cutoff_ms:
                break
            if record.settled or not (record.holder and settled_only):
                old.append(record_key)
        for record_key in old:
            del self.records[record_key]


def _add_returned(record, claim_id):
    if claim_id in record.returned:
        return record
    returned = (*record.returned, claim_id)[-MAX_RETURNED_CLAIM_IDS:]
    return msgspec.structs.replace(record, returned=returned)


def _settle_record(record, request):
    if request.ran is Ran.NO:
        record = _add_returned(record, request.claim_id)
        return msgspec.structs.replace(
            record, holder=ClaimId(''), ran=Ran.NO, settled=False
        )
    return msgspec.structs.replace(
        record, ran=request.ran, settled=True, status=request.status
    )
