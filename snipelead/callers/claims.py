"""Claims on idempotency keys of requests that may not be repeated."""

import trio
import xxhash

from snipelead.callers.events import SETTLEMENT_LOST
from snipelead.callers.exceptions import ClaimOutcomeUnknownError
from snipelead.callers.exceptions import ClaimUnavailableError
from snipelead.callers.exceptions import KeyAlreadyClaimedError
from snipelead.callers.exceptions import KeyMismatchError
from snipelead.controls.exceptions import NoControlError
from snipelead.controls.exceptions import NoQuorumError
from snipelead.exceptions import SnipeleadError
from snipelead.logs import log_event
from snipelead.messages import ClaimRequest
from snipelead.messages import SettleRequest
from snipelead.types import ClaimId
from snipelead.types import IdempotencyKey
from snipelead.types import Ran
from snipelead.voters.exceptions import ClaimsFullError
from snipelead.voters.exceptions import VoterBusyError

__all__ = ['ClaimManager', 'make_fingerprint']

MAX_KEY_CHARS = 200
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
# A settlement that fails for this long is given up; the key then stays
# claimed, which is safe.
SETTLE_TIMEOUT_S = 120.0
# After these it is certain that the key was not claimed.
_NOT_CLAIMED_ERRORS = (
    NoQuorumError,
    NoControlError,
    ClaimsFullError,
    VoterBusyError,
)


def make_fingerprint(request, body):
    """Return a digest that tells different requests of one key apart."""
    digest = xxhash.xxh3_128()
    for part in (request.method, request.url, body):
        digest.update(b'%d:' % len(part))
        digest.update(part)
    return digest.hexdigest()


class ClaimManager:
    """Makes claims before requests are sent and settles them afterwards.

    Parameters
    ----------
    claims : object
        Has ``claim`` and ``settle``, see
        :class:`~snipelead.controls.source.ReleaseSource`.
    make_id : callable
        Returns a new unique id.

    Attributes
    ----------
    nursery : trio.Nursery or None
        Runs settlements in the background.
    unsettled : int
        Settlements under way.
    """

    def __init__(self, claims, make_claim_id):
        self.claims = claims
        self.make_claim_id = make_claim_id
        self.nursery = None
        self.pending_settlements = 0

    async def claim_key(self, route, key, request, body, call):
        """Claim a key.

        Returns
        -------
        ClaimRequest
            The granted claim, to be settled.

        Raises
        ------
        KeyTakenError, KeyMismatchError
            If the key was claimed before.
        ClaimUnavailableError, ClaimUnknownError
            If no claim could be made; nothing was sent to a target.
        """
        claim = ClaimRequest(
            route.name,
            IdempotencyKey(key),
            ClaimId(self.make_claim_id()),
            make_fingerprint(request, body),
        )
        reply = await self._send_claim(claim)
        if reply.mismatch:
            raise KeyMismatchError(
                f'key {key!r} was used for another request', key=key
            )
        if not reply.granted:
            call.ran = reply.ran
            raise KeyAlreadyClaimedError(
                f'a request with key {key!r} was sent before',
                key=key,
                first_status=reply.status,
            )
        return claim

    async def _send_claim(self, claim):
        try:
            return await self.claims.claim(claim)
        except _NOT_CLAIMED_ERRORS as error:
            raise ClaimUnavailableError(
                f'the key cannot be claimed now: {error.message}',
                retry_after_ms=error.retry_after_ms,
                cause=error.code,
            ) from error
        except SnipeleadError as error:
            self.settle_in_background(claim, Ran.NO)
            raise ClaimOutcomeUnknownError(
                'this attempt did not run, but whether the key is claimed is'
                f' not known: {error.message}',
                key_state='unknown',
                cause=error.code,
            ) from error
        except trio.Cancelled:
            self.settle_in_background(claim, Ran.NO)
            raise

    def settle_in_background(self, claim, ran, status=0):
        """Report the end of a claimed request in the background."""
        if ran is Ran.UNKNOWN:
            # The key stays claimed: nobody may run the request again.
            return
        settlement = SettleRequest(
            claim.scope, claim.key, claim.claim_id, ran, status
        )
        self.pending_settlements += 1
        self.nursery.start_soon(self._settle, settlement)

    async def _settle(self, settlement):
        backoff_s = INITIAL_BACKOFF_S
        try:
            with trio.move_on_after(SETTLE_TIMEOUT_S):
                while True:
                    try:
                        await self.claims.settle(settlement)
                        return
                    except SnipeleadError:
                        await trio.sleep(backoff_s)
                        backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)
            log_event(
                SETTLEMENT_LOST, scope=settlement.scope, key=settlement.key
            )
        finally:
            self.pending_settlements -= 1
