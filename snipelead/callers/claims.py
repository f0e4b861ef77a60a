"""Claims on the idempotency keys of non-repeatable requests."""

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
# Settling is abandoned after this time. The key then stays claimed, which is
# safe: the request cannot be executed again.
SETTLE_TIMEOUT_S = 120.0
# Errors after which the key is known not to be claimed.
_NOT_CLAIMED_ERRORS = (
    NoQuorumError,
    NoControlError,
    ClaimsFullError,
    VoterBusyError,
)


def make_fingerprint(request, body):
    """Return a digest that identifies the content of a request.

    It detects that an idempotency key is reused for a different request.

    Parameters
    ----------
    request : Request
        Request whose method and URL are hashed.
    body : bytes
        Whole body of the request.

    Returns
    -------
    str
        Hexadecimal digest.
    """
    digest = xxhash.xxh3_128()
    for part in (request.method, request.url, body):
        digest.update(b'%d:' % len(part))
        digest.update(part)
    return digest.hexdigest()


class ClaimManager:
    """Claims keys before requests are sent and settles them afterwards.

    Parameters
    ----------
    claims : object
        Client with the coroutine methods ``claim`` and ``settle``, see
        :class:`~snipelead.controls.source.ReleaseSource`.
    make_claim_id : callable
        Returns a new unique claim id.

    Attributes
    ----------
    nursery : trio.Nursery or None
        Runs settlements in the background.
    pending_settlements : int
        Number of settlements in progress.
    """

    def __init__(self, claims, make_claim_id):
        self.claims = claims
        self.make_claim_id = make_claim_id
        self.nursery = None
        self.pending_settlements = 0

    async def claim_key(self, route, key, request, body, call):
        """Claim an idempotency key.

        Parameters
        ----------
        route : Route
            Route of the request; keys are scoped by its name.
        key : str
            Idempotency key.
        request : Request
            Request that the key belongs to.
        body : bytes
            Whole body of the request.
        call : Call
            State of the call; its ``ran`` is set to that of the first request
            if the key was claimed before.

        Returns
        -------
        ClaimRequest
            The granted claim, which must be settled.

        Raises
        ------
        KeyAlreadyClaimedError
            If the key was claimed by an earlier request.
        KeyMismatchError
            If the key was claimed by a request with different content.
        ClaimUnavailableError
            If the key could not be claimed.
        ClaimOutcomeUnknownError
            If it is unknown whether the key was claimed.
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
                f'Idempotency-Key {key!r} was used for a different request',
                key=key,
            )
        if not reply.granted:
            call.ran = reply.ran
            raise KeyAlreadyClaimedError(
                f'Idempotency-Key {key!r} was used by an earlier request',
                key=key,
                first_status=reply.status,
            )
        return claim

    async def _send_claim(self, claim):
        try:
            return await self.claims.claim(claim)
        except _NOT_CLAIMED_ERRORS as error:
            raise ClaimUnavailableError(
                f'the Idempotency-Key cannot be claimed: {error.message}',
                retry_after_ms=error.retry_after_ms,
                cause=error.code,
            ) from error
        except SnipeleadError as error:
            self.settle_in_background(claim, Ran.NO)
            raise ClaimOutcomeUnknownError(
                'the request was not executed, but it is unknown whether its'
                f' Idempotency-Key is claimed: {error.message}',
                key_state='unknown',
                cause=error.code,
            ) from error
        except trio.Cancelled:
            self.settle_in_background(claim, Ran.NO)
            raise

    def settle_in_background(self, claim, ran, status=0):
        """Settle a claim in the background.

        Parameters
        ----------
        claim : ClaimRequest
            Claim to settle.
        ran : Ran
            Whether the request was executed.
        status : int
            HTTP status of the response; 0 if there was none.
        """
        if ran is Ran.UNKNOWN:
            # The key stays claimed, so that the request cannot be executed
            # a second time.
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
