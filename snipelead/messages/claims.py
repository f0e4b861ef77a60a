"""Claims on requests that may not be repeated."""

from msgspec import Struct

from snipelead.messages.registry import register_reply
from snipelead.types import ClaimId
from snipelead.types import IdempotencyKey
from snipelead.types import Ran

__all__ = [
    'ClaimReply',
    'ClaimRequest',
    'SettleReply',
    'SettleRequest',
]


class ClaimRequest(Struct, frozen=True, array_like=True):
    """Asks for the sole right to run a request that may not be repeated.

    Parameters
    ----------
    scope : str
        Route name; keys of different routes do not clash.
    key : IdempotencyKey
        The caller's key.
    claim_id : ClaimId
        Unique id of the claimant's attempt; a resend of the same claim
        carries the same id and gets the same answer.
    fingerprint : str
        Digest of method, path and body; a key used again for another
        request is refused.
    """

    scope: str
    key: IdempotencyKey
    claim_id: ClaimId
    fingerprint: str = ''


class ClaimReply(Struct, frozen=True, omit_defaults=True, array_like=True):
    """Answer to a claim.

    Parameters
    ----------
    granted : bool
        The claimant, and nobody else ever, may run the request.
    ran : Ran
        What is known of the first run when the claim is not granted.
    status : int
        HTTP status of the first run, 0 when unknown.
    mismatch : bool
        The key belongs to a request with another fingerprint.
    """

    granted: bool
    ran: Ran = Ran.UNKNOWN
    status: int = 0
    mismatch: bool = False


class SettleRequest(Struct, frozen=True, array_like=True):
    """Reports the end of a claimed request.

    ``ran`` NO gives the claim back (the request provably did not run), so
    that a resend may be granted.
    """

    scope: str
    key: IdempotencyKey
    claim_id: ClaimId
    ran: Ran
    status: int = 0


class SettleReply(Struct, frozen=True):
    """Answer to a settlement; it is durable."""


register_reply(ClaimRequest, ClaimReply)
register_reply(SettleRequest, SettleReply)
