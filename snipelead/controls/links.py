"""Controls as a process reaches them, with the order of failover."""

import random

import trio
import xxhash

__all__ = ['ControlLink', 'ControlLinks']

# A control that failed is tried again after 0.5 to 1.5 times this.
RETURN_S = 30.0
SKIP_S = 2.0


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
    doubted_until : float
        Time before which controls that are not doubtful are preferred.
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
        self.doubted_until = 0.0
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
        """Return the control to poll.

        The most preferred one that neither failed nor was doubtful lately;
        else one that is doubtful; else the one that failed first.
        """
        return self.ordered()[0]

    def ordered(self):
        """Return all controls, the one to try first at the front."""
        now = trio.current_time()
        return sorted(
            self.links,
            key=lambda link: (
                max(0.0, link.retry_at - now),
                link.doubted_until > now,
            ),
        )

    def defer(self, link):
        """Prefer other controls for a while, since this one failed."""
        link.proven = False
        link.retry_at = self._return_time()

    def skip(self, link):
        """Prefer other controls for a moment."""
        link.proven = False
        link.retry_at = trio.current_time() + SKIP_S

    def doubt(self, link):
        """Prefer controls that are not doubtful for a while."""
        link.doubted_until = self._return_time()

    def trust(self, link):
        """Stay with a control that is no longer doubtful."""
        link.doubted_until = 0.0

    def forget_failures(self):
        """Return to the order of preference."""
        for link in self.links:
            link.retry_at = 0.0

    def _return_time(self):
        # Jitter keeps a herd from returning at once.
        return trio.current_time() + RETURN_S * self.rng.uniform(0.5, 1.5)

    async def aclose(self):
        """Close all channels."""
        for link in self.links:
            await link.aclose()
