"""In-memory claims that replace the controls in the call benchmark."""

import trio

from snipelead.messages import ClaimReply
from snipelead.messages import SettleReply
from snipelead.types import Ran

__all__ = ['MemoryClaims']

# Emulates the commit of a claim to the fsynced log of the controls.
CLAIM_DELAY_S = 0.005


class MemoryClaims:
    """Grants each idempotency key once, after :data:`CLAIM_DELAY_S`.

    Attributes
    ----------
    granted : dict of (str, str) to ClaimRequest
        Request that holds the claim, by scope and key.
    settled : dict of (str, str) to SettleRequest
        Outcome of claimed requests, by scope and key.
    """

    def __init__(self):
        self.granted = {}
        self.settled = {}

    async def claim(self, request):
        """Grant a claim unless another request holds it."""
        await trio.sleep(CLAIM_DELAY_S)
        key = (request.scope, request.key)
        claiming_request = self.granted.setdefault(key, request)
        if claiming_request.claim_id == request.claim_id:
            return ClaimReply(True)
        settled = self.settled.get(key)
        return ClaimReply(
            False,
            settled.ran if settled else Ran.UNKNOWN,
            settled.status if settled else 0,
            claiming_request.fingerprint != request.fingerprint,
        )

    async def settle(self, request):
        """Record the outcome of a claimed request.

        The claim is released if the request did not run.
        """
        await trio.sleep(CLAIM_DELAY_S)
        key = (request.scope, request.key)
        claiming_request = self.granted.get(key)
        if (
            claiming_request is None
            or claiming_request.claim_id != request.claim_id
        ):
            return SettleReply()
        if request.ran is Ran.NO:
            del self.granted[key]
        else:
            self.settled[key] = request
        return SettleReply()
