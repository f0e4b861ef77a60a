"""Controls as a process reaches them, with the order of failover."""

import random

import trio
import xxhash

__all__ = ['ControlLink', 'ControlLinks']

# A control that failed is tried again after 0.5 to 1.5 times this, doubled
# with each further failure up to the limit. The first failure may be no more
# than a start at the same time.
FIRST_AVOIDANCE_S = 2.0
MAX_AVOIDANCE_S = 30.0
MAX_DOUBLINGS = 8
# A control that was doubtful is taken again after 0.5 to 1.5 times this.
STALE_AVOIDANCE_S = 30.0
SKIP_AVOIDANCE_S = 2.0


class ControlLink:
    """One control.

    Attributes
    ----------
    polls, calls : Channel
        Channel of the long poll, and of all other calls: a long poll that
        is replaced does not break calls in flight.
    proven, asked : bool
        Whether the last poll was answered, and whether there was any.
    retry_at : float
        Time before which others are preferred, in seconds.
    failed_at : float
        Time of the last failure, in seconds.
    failures : int
        Failures since the last answer.
    doubted_until : float
        Time before which controls that are not doubtful are preferred.
    registered : int
        Version of the own registration that the control confirmed.
    closed : bool
        Whether the control is no longer one.
    """

    def __init__(self, peer, transport):
        self.peer = peer
        self.control_id = peer.control_id
        self.zone = peer.zone
        self.polls = transport.connect(peer.address)
        self.calls = transport.connect(peer.address)
        self.proven = False
        self.polled = False
        self.avoided_until = 0.0
        self.failed_at = 0.0
        self.failures = 0
        self.possibly_stale_until = 0.0
        self.registered_version = 0
        self.closed = False

    def update_identity(self, endpoint):
        """Take over id and availability zone as the control tells them."""
        self.control_id = endpoint.control_id
        self.zone = endpoint.zone

    async def aclose(self):
        """Close the channels."""
        self.closed = True
        await self.polls.aclose()
        await self.calls.aclose()


class ControlLinks:
    """Controls in the order in which a process prefers them.

    Those of the own availability zone come first, spread over the processes
    by rendezvous hash, then the others in the same manner.

    Parameters
    ----------
    peers : tuple of Peer
        Controls.
    zone : ZoneName
        Availability zone of the process.
    member_id : str
        Id of the process.
    transport : Transport
        Makes the channels.
    rng : random.Random or None
        Source of jitter.

    Attributes
    ----------
    links : list of ControlLink
        Controls, the most preferred first.
    """

    def __init__(self, peers, zone, owner_id, transport, rng=None):
        self.zone = zone
        self.owner_id = owner_id
        self.transport = transport
        self.rng = rng or random.Random()
        self.links = [ControlLink(peer, transport) for peer in peers]
        self._sort()

    def _sort(self):
        self.links.sort(key=self._preference_key)

    def _preference_key(self, link):
        name = f'{self.owner_id}|{link.control_id}'.encode()
        return (link.zone != self.zone, xxhash.xxh3_64_intdigest(name))

    async def replace_controls(self, endpoints):
        """Take over the controls that another process told of.

        Parameters
        ----------
        places : tuple of ControlPlace
            All controls; links to others are closed.

        Returns
        -------
        list of ControlLink
            The links that are new.
        """
        known = {link.peer.address: link for link in self.links}
        listed = {endpoint.address: endpoint for endpoint in endpoints}
        added = [
            ControlLink(endpoint, self.transport)
            for address, endpoint in listed.items()
            if address not in known
        ]
        dropped = [
            link for address, link in known.items() if address not in listed
        ]
        for address, endpoint in listed.items():
            if address in known:
                known[address].update_identity(endpoint)
        self.links = [
            link for link in self.links if link not in dropped
        ] + added
        self._sort()
        for link in dropped:
            await link.aclose()
        return added

    def add(self, peers):
        """Add the controls among some peers that are not known."""
        known = {link.peer.address for link in self.links}
        self.links += [
            ControlLink(peer, self.transport)
            for peer in peers
            if peer.address not in known
        ]
        self._sort()

    def choose(self):
        """Return the control to poll.

        The most preferred one that neither failed nor was doubtful lately;
        else one that is doubtful; else the one that failed first.
        """
        return self.failover_order()[0]

    def failover_order(self):
        """Return all controls, the one to try first at the front."""
        now = trio.current_time()
        return sorted(
            self.links,
            key=lambda link: (
                link.avoided_until > now,
                # Of those that failed the one that did so first: the times
                # of return differ widely and say nothing of which is well.
                link.failed_at if link.avoided_until > now else 0.0,
                link.possibly_stale_until > now,
            ),
        )

    def defer(self, link):
        """Prefer other controls for a while, since this one failed."""
        link.proven = False
        link.failed_at = trio.current_time()
        doublings = min(link.failures, MAX_DOUBLINGS)
        link.failures += 1
        link.avoided_until = self._jittered_time(
            min(MAX_AVOIDANCE_S, FIRST_AVOIDANCE_S * 2**doublings)
        )

    def skip(self, link):
        """Prefer other controls for a moment."""
        link.proven = False
        link.failed_at = trio.current_time()
        link.avoided_until = link.failed_at + SKIP_AVOIDANCE_S

    def mark_possibly_stale(self, link):
        """Prefer controls that are not doubtful for a while."""
        link.failures = 0
        link.possibly_stale_until = self._jittered_time(STALE_AVOIDANCE_S)

    def mark_current(self, link):
        """Stay with a control that is no longer doubtful."""
        link.failures = 0
        link.possibly_stale_until = 0.0

    def clear_avoidance(self):
        """Return to the order of preference."""
        for link in self.links:
            link.avoided_until = 0.0

    def _jittered_time(self, delay_s):
        # Jitter keeps a herd from returning at once.
        return trio.current_time() + delay_s * self.rng.uniform(0.5, 1.5)

    async def aclose(self):
        """Close all channels."""
        for link in self.links:
            await link.aclose()
