"""Client with which a node renews its lease at the controls."""

import trio

from snipelead.authentication.events import LEASE_LOST
from snipelead.authentication.events import LEASE_OBTAINED
from snipelead.controls.polling import MS_PER_S
from snipelead.exceptions import InvariantError
from snipelead.exceptions import SnipeleadError
from snipelead.logs import log_event
from snipelead.messages import LeaseRequest
from snipelead.rpc.exceptions import RpcTimeoutError

__all__ = ['LeaseClient']

# A node that is cut off must serve for 0.6 of the bound. A lease ends at 0.96
# of it. A renewal after 0.16, one control that does not answer for 0.08 and
# another that takes as long leave 0.64.
RENEWAL_SHARE = 0.16
TIMEOUT_SHARE = 0.08
# Nodes that started together must not renew together for ever.
MIN_JITTER = 0.85
# Controls that failed are asked last for this share of the bound.
AVOIDANCE_SHARE = 1.0


class LeaseClient:
    """Keeps the lease of a node renewed.

    Parameters
    ----------
    links : ControlLinks
        Links to the controls.
    leases : RevocationLeases
        Receives the leases.
    revocation_ms : int
        Bound that the leases serve, in milliseconds.

    Attributes
    ----------
    has_lease : bool
        Whether the node had a lease after the last attempt.
    """

    def __init__(self, links, leases, revocation_ms):
        self.links = links
        self.leases = leases
        bound_s = revocation_ms / MS_PER_S
        self.interval_s = RENEWAL_SHARE * bound_s
        self.timeout_s = TIMEOUT_SHARE * bound_s
        self.avoidance_s = AVOIDANCE_SHARE * bound_s
        self.has_lease = False
        self._avoided_until = {}

    async def run(self):
        """Renew the lease until cancelled."""
        while True:
            asked_at = trio.current_time()
            renewed = await self.renew()
            self._log_change()
            jitter = self.links.rng.uniform(MIN_JITTER, 1.0)
            if renewed:
                await trio.sleep_until(asked_at + jitter * self.interval_s)
            else:
                await trio.sleep(jitter * self.timeout_s)

    async def renew(self):
        """Ask one control after another for a lease.

        Returns
        -------
        bool
            Whether a control has granted one.
        """
        for link in self._choose_order():
            asked_at = trio.current_time()
            try:
                reply = await link.calls.call(LeaseRequest(), self.timeout_s)
            except InvariantError:
                raise
            except SnipeleadError as error:
                await self._record_failure(link, error)
                continue
            if reply.release is not None:
                self.leases.record(reply.release, asked_at)
                return True
            await self._record_failure(link)
        return False

    def _choose_order(self):
        now = trio.current_time()
        return sorted(
            self.links.failover_order(),
            key=lambda link: (
                self._avoided_until.get(link.peer.address, 0.0) > now
            ),
        )

    async def _record_failure(self, link, error=None):
        address = link.peer.address
        now = trio.current_time()
        failed_before = self._avoided_until.get(address, 0.0) > now
        self._avoided_until[address] = now + self.avoidance_s
        if failed_before and isinstance(error, RpcTimeoutError):
            # The connection may be silent without being broken.
            await link.calls.reset()

    def _log_change(self):
        end = max(self.leases.ends.values(), default=0.0)
        had_lease = self.has_lease
        self.has_lease = end > trio.current_time()
        if self.has_lease and not had_lease:
            log_event(LEASE_OBTAINED, release=self.leases.newest_release)
        elif had_lease and not self.has_lease:
            log_event(LEASE_LOST, release=self.leases.newest_release)
