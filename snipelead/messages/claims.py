"""Claims that let a non-repeatable request run at most once."""

from msgspec import Struct

from snipelead.messages.registry import register_reply
from snipelead.types import ClaimId
from snipelead.types import Count
from snipelead.types import IdempotencyKey
from snipelead.types import Ran

__all__ = [
    'ClaimReply',
    'ClaimRequest',
    'SettleReply',
    'SettleRequest',
]


class ClaimRequest(Struct, frozen=True, array_like=True):
    """Request for the exclusive right to run a non-repeatable request.

    Parameters
    ----------
    scope : str
        Route name. Each route has its own set of keys.
    key : IdempotencyKey
        Idempotency key of the caller.
    claim_id : ClaimId
        Unique id of the attempt. A retransmission of the claim carries the
        same id and gets the same reply.
    fingerprint : str
        Digest of method, path and body. A key that is reused for a request
        with another fingerprint is refused.
    """

    scope: str
    key: IdempotencyKey
    claim_id: ClaimId
    fingerprint: str = ''


class ClaimReply(Struct, frozen=True, omit_defaults=True, array_like=True):
    """Reply to a claim.

    Parameters
    ----------
    granted : bool
        Whether the claimant, and no other attempt, may run the request.
    ran : Ran
        Whether the first attempt ran, if the claim is not granted.
    status : int
        HTTP status of the first attempt, 0 if unknown.
    mismatch : bool
        Whether the key belongs to a request with another fingerprint.
    """

    granted: bool
    ran: Ran = Ran.UNKNOWN
    status: Count = 0
    mismatch: bool = False


class SettleRequest(Struct, frozen=True, array_like=True):
    """Request that records the outcome of a claimed request.

    Parameters
    ----------
    scope : str
        Route name of the claim.
    key : IdempotencyKey
        Idempotency key of the claim.
    claim_id : ClaimId
        Id of the claim.
    ran : Ran
        Whether the request ran. NO, which requires proof that it did not
        run, releases the claim, so that another attempt may be granted.
    status : int
        HTTP status of the response, 0 if unknown.
    """

    scope: str
    key: IdempotencyKey
    claim_id: ClaimId
    ran: Ran
    status: Count = 0


class SettleReply(Struct, frozen=True):
    """Reply to a settlement, sent once the settlement is durable."""


register_reply(ClaimRequest, ClaimReply)
register_reply(SettleRequest, SettleReply)
