"""Controls as a process reaches them, with the order of failover."""

import random

import trio
import xxhash

__all__ = ['ControlLink', 'ControlLinks']

# A control that failed is tried again after 0.5 to 1.5 times this.
RETURN_S = 30.0


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
    registered : int
        Version of the own registration that the control confirmed.
    """

    def __init__(self, peer, transport):
        self.peer = peer
        self.control_id = peer.control_id
        self.zone = peer.zone
        self.polls = transport.connect(peer.address)
        self.calls = transport.connect(peer.address)
        self.proven = False
        self.asked = False
        self.retry_at = 0.0
        self.registered = 0

    async def aclose(self):
        """Close the channels."""
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
    """

    def __init__(self, peers, zone, member_id, transport, rng=None):
        self.rng = rng or random.Random()
        self.links = [
            ControlLink(peer, transport)
            for peer in sorted(
                peers,
                key=lambda peer: (
                    peer.zone != zone,
                    xxhash.xxh3_64_intdigest(
                        f'{member_id}|{peer.control_id}'.encode()
                    ),
                ),
            )
        ]

    def choose(self):
        """Return the most preferred control that did not fail lately."""
        now = trio.current_time()
        for link in self.links:
            if link.retry_at <= now:
                return link
        return min(self.links, key=lambda link: link.retry_at)

    def ordered(self):
        """Return all controls, those that failed lately at the end."""
        now = trio.current_time()
        return sorted(self.links, key=lambda link: max(0, link.retry_at - now))

    def defer(self, link):
        """Prefer other controls for a while."""
        link.proven = False
        delay_s = RETURN_S * self.rng.uniform(0.5, 1.5)
        link.retry_at = trio.current_time() + delay_s

    async def aclose(self):
        """Close all channels."""
        for link in self.links:
            await link.aclose()
