"""Proof that the release a node holds is the newest one."""

import trio

from snipelead.controls.certification import SharedCertification
from snipelead.exceptions import InvariantError
from snipelead.exceptions import SnipeleadError
from snipelead.messages import LeaseRequest

__all__ = ['NewestReleaseProof']

# Requests that arrive within this time share one question to the controls.
ROUND_INTERVAL_S = 0.1
CALL_TIMEOUT_S = 0.25
# Includes the time until a newer release has been received.
PROOF_TIMEOUT_S = 0.5


class NewestReleaseProof:
    """Proves that a node holds the newest release.

    What a release does not contain, such as a route or a customer, may be in
    a newer one. A node that was suspended or cut off does not notice that it
    is behind, so it has to ask after the request that needs the answer.

    Parameters
    ----------
    links : ControlLinks
        Links to the controls.
    holder : ReleaseHolder
        Holds the release of this node.

    Attributes
    ----------
    rounds : SharedCertification
        Shares each question to the controls among the requests that wait.
    newest : ReleaseNumber
        Newest release in the latest reply of a control.
    """

    def __init__(self, links, holder):
        self.links = links
        self.holder = holder
        self.rounds = SharedCertification(self, ROUND_INTERVAL_S)
        self.newest = 0

    async def run(self):
        """Ask the controls whenever a proof is needed, until cancelled."""
        await self.rounds.run()

    async def obtain(self, limit_s=PROOF_TIMEOUT_S):
        """Wait until the held release is proved to be the newest one.

        Parameters
        ----------
        limit_s : float
            Time that the request has left, in seconds.

        Returns
        -------
        bool
            Whether the held release is at least as new as each one that was
            accepted before the call.
        """
        with trio.move_on_after(min(limit_s, PROOF_TIMEOUT_S)):
            if not await self.rounds.certify():
                return False
            newest = self.newest
            while self.holder.current.number < newest:
                await self.holder.wait_changed()
            return True
        return False

    async def certify(self):
        """Ask one control after another for the newest release.

        Returns
        -------
        bool
            Whether a control has certified one.
        """
        for link in self.links.failover_order():
            try:
                reply = await link.calls.call(LeaseRequest(), CALL_TIMEOUT_S)
            except InvariantError:
                raise
            except SnipeleadError:
                continue
            if reply.release is not None:
                self.newest = reply.release
                return True
        return False
