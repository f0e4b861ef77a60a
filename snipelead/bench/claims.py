"""In-memory claims in place of controls, for benches of the call."""

import trio

from snipelead.messages import ClaimReply
from snipelead.messages import SettleReply
from snipelead.types import Ran

__all__ = ['MemoryClaims']

CLAIM_DELAY_S = 0.005


class MemoryClaims:
    """Grants each key once, after a delay like that of a synced log.

    Attributes
    ----------
    granted : dict of (str, str) to ClaimRequest
        Holder of each claim by scope and key.
    settled : dict of (str, str) to SettleRequest
        How claimed requests ended.
    """

    def __init__(self):
        self.granted = {}
        self.settled = {}

    async def claim(self, request):
        """Grant a claim unless another claimant holds it."""
        await trio.sleep(CLAIM_DELAY_S)
        key = (request.scope, request.key)
        holder = self.granted.setdefault(key, request)
        if holder.claim_id == request.claim_id:
            return ClaimReply(True)
        settled = self.settled.get(key)
        return ClaimReply(
            False,
            settled.ran if settled else Ran.UNKNOWN,
            settled.status if settled else 0,
            holder.fingerprint != request.fingerprint,
        )

    async def settle(self, request):
        """Record the end of a claimed request."""
        await trio.sleep(CLAIM_DELAY_S)
        key = (request.scope, request.key)
        holder = self.granted.get(key)
        if holder is None or holder.claim_id != request.claim_id:
            return SettleReply()
        if request.ran is Ran.NO:
            del self.granted[key]
        else:
            self.settled[key] = request
        return SettleReply()
