"""Detection of unreachable nodes.

No requests are sent to an unreachable node until it accepts a connection
again. If a node of another zone does not respond, all nodes of its zone are
probed, because a network partition separates them together and each would
otherwise cost requests.
"""

from enum import Enum

import trio

from snipelead.http.connection import connect
from snipelead.http.exceptions import ConnectFailedError
from snipelead.logs import log_event
from snipelead.nodes.events import PEER_NODE_LOST
from snipelead.nodes.events import PEER_NODE_REACHED

__all__ = ['PeerFailure', 'ReachabilityMonitor']

# Interval between two probes of an unreachable node.
PROBE_INTERVAL_S = 0.4
# Timeout of a probe. It is about ten times the latency across a region and
# longer than the 200 ms after which TCP retransmits a lost packet.
PROBE_TIMEOUT_S = 0.35
# Bounds the probes of a whole zone.
MAX_CONCURRENT_PROBES = 32


class PeerFailure(Enum):
    """How a node turned out to be unreachable."""

    # Its host responded, but the process did not accept the connection.
    REFUSED = 'refused'
    # There was no response.
    NO_RESPONSE = 'silent'


class ReachabilityMonitor:
    """Keeps track of unreachable nodes and probes them until they are back.

    Parameters
    ----------
    directory : TargetDirectory
        Lists the nodes of each zone.
    zone : ZoneName
        Availability zone of this node. A failure in it does not cause the
        other nodes of the zone to be probed.

    Attributes
    ----------
    unreachable_since : dict of Address to float
        Unreachable nodes and the time when this was detected, in seconds of
        trio's clock.
    probing : set of Address
        Nodes that are being probed.
    on_reachable : callable or None
        Called with the address of a node that has become reachable again.
    nursery : trio.Nursery or None
        Runs the probes; without it, none are started.
    """

    def __init__(self, directory, zone):
        self.directory = directory
        self.zone = zone
        self.unreachable_since = {}
        self.probing = set()
        self.on_reachable = None
        self.nursery = None
        self.probe_limiter = trio.CapacityLimiter(MAX_CONCURRENT_PROBES)

    def is_unreachable(self, address):
        """Return whether a node is unreachable."""
        return address in self.unreachable_since

    def report_failure(self, entry, failure):
        """Record that the node of a target could not be reached.

        Parameters
        ----------
        entry : TargetEntry
            Target whose node could not be reached.
        failure : PeerFailure
            How it failed.
        """
        self._mark_unreachable(entry.address, failure)
        if failure is PeerFailure.NO_RESPONSE and entry.zone != self.zone:
            for address in self.directory.addresses_in_zone(entry.zone):
                self._start_probe(address)

    def _mark_unreachable(self, address, failure):
        if address not in self.unreachable_since:
            self.unreachable_since[address] = trio.current_time()
            log_event(PEER_NODE_LOST, address=address, loss=failure.value)
        self._start_probe(address)

    def _start_probe(self, address):
        if self.nursery is not None and address not in self.probing:
            self.probing.add(address)
            self.nursery.start_soon(self._probe_until_reachable, address)

    async def _probe_until_reachable(self, address):
        """Probe a node until it is reachable or has left the directory."""
        try:
            while not await self._accepts_connection(address):
                if address not in self.unreachable_since:
                    self._mark_unresponsive(address)
                if address not in self.directory.addresses():
                    # The node is gone; a successor has its own entry.
                    break
                await trio.sleep(PROBE_INTERVAL_S)
            unreachable_at = self.unreachable_since.pop(address, None)
            if unreachable_at is not None:
                if self.on_reachable is not None:
                    self.on_reachable(address)
                log_event(
                    PEER_NODE_REACHED,
                    address=address,
                    after_s=round(trio.current_time() - unreachable_at, 3),
                )
        finally:
            self.probing.discard(address)

    def _mark_unresponsive(self, address):
        self.unreachable_since[address] = trio.current_time()
        log_event(
            PEER_NODE_LOST, address=address, loss=PeerFailure.NO_RESPONSE.value
        )

    async def _accepts_connection(self, address):
        async with self.probe_limiter:
            with trio.move_on_after(PROBE_TIMEOUT_S):
                try:
                    connection = await connect(address)
                except ConnectFailedError:
                    return False
                connection.close()
                return True
        return False
