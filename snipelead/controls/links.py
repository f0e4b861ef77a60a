"""Links from a process to the controls, and their failover order."""

import random

import trio
import xxhash

__all__ = ['ControlLink', 'ControlLinks']

# A failed control is avoided for 0.5 to 1.5 times this duration, which doubles
# with each consecutive failure up to the maximum. The first value is short,
# because the first failure may just mean that the control is still starting.
FIRST_AVOIDANCE_S = 2.0
MAX_AVOIDANCE_S = 30.0
MAX_DOUBLINGS = 8
# A possibly stale control is avoided for 0.5 to 1.5 times this duration.
STALE_AVOIDANCE_S = 30.0
SKIP_AVOIDANCE_S = 2.0


class ControlLink:
    """Channels to one control and its state for failover.

    All times are in seconds of the trio clock.

    Parameters
    ----------
    peer : Peer or ControlEndpoint
        Id, availability zone and address of the control.
    transport : Transport
        Creates the channels.

    Attributes
    ----------
    polls, calls : Channel
        Separate channels for long polls and for all other calls, so that
        replacing the connection of a long poll does not break calls in
        flight.
    responsive : bool
        Whether the last poll succeeded and the control was not avoided since.
    polled : bool
        Whether any poll was sent to the control.
    avoided_until : float
        Time until which other controls are preferred after a failure.
    failed_at : float
        Time of the last failure.
    failures : int
        Number of consecutive failures.
    possibly_stale_until : float
        Time until which controls that are not possibly stale are preferred.
    registered_version : int
        Version of this process's registration that the control has
        confirmed.
    reported_crashes : int
        Version of this process's crash records that the control has.
    crash_epoch, crash_version : str, int
        Version of the control's crash records that this process has.
    closed : bool
        Whether the link was closed because the control was removed.
    """

    def __init__(self, peer, transport):
        self.peer = peer
        self.control_id = peer.control_id
        self.zone = peer.zone
        self.polls = transport.connect(peer.address)
        self.calls = transport.connect(peer.address)
        self.responsive = False
        self.polled = False
        self.avoided_until = 0.0
        self.failed_at = 0.0
        self.failures = 0
        self.possibly_stale_until = 0.0
        self.registered_version = 0
        self.reported_crashes = 0
        self.crash_epoch = ''
        self.crash_version = 0
        self.closed = False

    def update_identity(self, endpoint):
        """Update the id and availability zone of the control.

        Parameters
        ----------
        endpoint : ControlEndpoint
            Id and availability zone, as learned from a control.
        """
        self.control_id = endpoint.control_id
        self.zone = endpoint.zone

    async def aclose(self):
        """Close the channels."""
        self.closed = True
        await self.polls.aclose()
        await self.calls.aclose()


class ControlLinks:
    """Links to all controls, in the order of preference of a process.

    Controls in the process's own availability zone come first. Within each
    of the two groups a rendezvous hash of the process id sets the order, so
    that processes are spread evenly over the controls.

    Parameters
    ----------
    peers : tuple of Peer
        The controls.
    zone : ZoneName
        Availability zone of the process.
    owner_id : str
        Id of the process.
    transport : Transport
        Creates the channels.
    rng : random.Random or None
        Source of jitter.

    Attributes
    ----------
    links : list of ControlLink
        Links, most preferred first.
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
        """Replace the set of controls, keeping links that are still listed.

        Parameters
        ----------
        endpoints : tuple of ControlEndpoint
            All current controls. Links to any other control are closed.

        Returns
        -------
        list of ControlLink
            Links that were added.
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
        """Add links to those peers whose address has none yet."""
        known = {link.peer.address for link in self.links}
        self.links += [
            ControlLink(peer, self.transport)
            for peer in peers
            if peer.address not in known
        ]
        self._sort()

    def choose(self):
        """Return the link to poll.

        This is the most preferred control that neither failed recently nor
        is possibly stale; failing that, a possibly stale one; failing that,
        the one whose last failure is oldest.
        """
        return self.failover_order()[0]

    def failover_order(self):
        """Return all links, sorted by the order in which to try them."""
        now = trio.current_time()
        return sorted(
            self.links,
            key=lambda link: (
                link.avoided_until > now,
                # Among failed controls, try the one whose failure is oldest.
                # Their avoidance times vary widely with jitter and backoff
                # and do not tell which control has recovered.
                link.failed_at if link.avoided_until > now else 0.0,
                link.possibly_stale_until > now,
            ),
        )

    def record_failure(self, link):
        """Record a failure and avoid the control with exponential backoff."""
        link.responsive = False
        link.failed_at = trio.current_time()
        doublings = min(link.failures, MAX_DOUBLINGS)
        link.failures += 1
        link.avoided_until = self._jittered_time(
            min(MAX_AVOIDANCE_S, FIRST_AVOIDANCE_S * 2**doublings)
        )

    def skip(self, link):
        """Avoid a control briefly without counting a failure."""
        link.responsive = False
        link.failed_at = trio.current_time()
        link.avoided_until = link.failed_at + SKIP_AVOIDANCE_S

    def mark_possibly_stale(self, link):
        """Record a reply of a possibly stale control and avoid the control.

        It is still preferred over controls that failed recently.
        """
        link.failures = 0
        link.possibly_stale_until = self._jittered_time(STALE_AVOIDANCE_S)

    def is_possibly_stale(self, link):
        """Return whether a control was possibly stale when it last replied."""
        return link.possibly_stale_until > trio.current_time()

    def mark_current(self, link):
        """Record a reply of a control that is not possibly stale."""
        link.failures = 0
        link.avoided_until = 0.0
        link.possibly_stale_until = 0.0

    def clear_avoidance(self):
        """Stop avoiding the controls that failed or were skipped."""
        for link in self.links:
            link.avoided_until = 0.0

    def _jittered_time(self, delay_s):
        # Jitter keeps processes from returning to a control all at once.
        return trio.current_time() + delay_s * self.rng.uniform(0.5, 1.5)

    async def aclose(self):
        """Close all channels."""
        for link in self.links:
            await link.aclose()
