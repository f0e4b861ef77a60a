"""Sessions of the nodes that poll a control."""

from math import inf

import trio

from snipelead.controls.exceptions import StaleRequestError
from snipelead.controls.polling import MS_PER_S
from snipelead.messages import NodeStatus
from snipelead.releases.document import EMPTY_RELEASE
from snipelead.types import ZoneName

__all__ = ['NodeSession', 'NodeSessions']


class NodeSession:
    """State of one node that polls this control.

    All times are in seconds of the trio clock.

    Parameters
    ----------
    node_id : NodeId
        Id of the node.

    Attributes
    ----------
    latest_poll : tuple of Incarnation and int
        Incarnation and sequence number of the latest poll. Older polls are
        rejected.
    registration : Registration or None
        Latest registration of the node.
    registered_incarnation : Incarnation
        Incarnation of the node that sent the registration.
    held : ReleaseId
        Release that the node confirmed last.
    last_polled_at : float
        Time of the latest poll.
    directory_sent_at : float
        Time of the last directory update to the node.
    first_polled_at : float
        Time of the first poll of this incarnation.
    targets_live, live : bool
        Whether the lease of the node's targets, and that of the node
        itself, is valid.
    has_left : bool
        Whether the node announced that it is stopping.
    """

    def __init__(self, node_id):
        self.node_id = node_id
        self.latest_poll = (0, 0)
        self.registration = None
        self.registered_incarnation = 0
        self.held = EMPTY_RELEASE.release_id
        self.last_polled_at = -inf
        self.directory_sent_at = -inf
        self.first_polled_at = inf
        self.targets_live = False
        self.live = False
        self.has_left = False
        self._wake_event = trio.Event()

    @property
    def incarnation(self):
        """Incarnation of the latest poll."""
        return self.latest_poll[0]

    @property
    def zone(self):
        """Availability zone of the node, or empty if not registered."""
        return self.registration.zone if self.registration else ZoneName('')

    @property
    def services(self):
        """Services whose targets the node subscribes to."""
        return self.registration.subscriptions if self.registration else ()

    @property
    def targets(self):
        """Targets announced by the node."""
        return self.registration.targets if self.registration else ()

    def record_poll(self, request):
        """Record a poll of the node.

        Parameters
        ----------
        request : SyncRequest
            The poll.

        Raises
        ------
        StaleRequestError
            If a newer poll was received before.
        """
        poll = (request.incarnation, request.sequence)
        if poll < self.latest_poll:
            raise StaleRequestError(
                f'poll {poll} of node {self.node_id} is older than the'
                f' latest poll {self.latest_poll}',
                incarnation=self.incarnation,
            )
        if request.incarnation != self.incarnation:
            self.has_left = False
            self.first_polled_at = trio.current_time()
        superseded = poll != self.latest_poll
        self.latest_poll = poll
        self.last_polled_at = trio.current_time()
        # An empty digest requests a snapshot and does not identify the
        # release that the node runs.
        if request.held.digest:
            self.held = request.held
        if superseded:
            self.wake()

    def wake(self):
        """Wake the held polls of the node so that they check for updates."""
        self._wake_event.set()
        self._wake_event = trio.Event()

    @property
    def wake_event(self):
        """Event that the next call of :meth:`wake` sets."""
        return self._wake_event

    def status(self):
        """Return the node's entry in the fleet status."""
        age_s = trio.current_time() - self.last_polled_at
        return NodeStatus(
            self.node_id,
            self.zone,
            self.held,
            *self.latest_poll,
            int(age_s * MS_PER_S),
            self.live,
        )


class NodeSessions:
    """Sessions of all nodes, indexed by node and by subscribed service."""

    def __init__(self):
        self.by_node = {}
        self._subscribers = {}

    def get_or_create(self, node_id):
        """Return the session of a node, creating it if there is none."""
        return self.by_node.setdefault(node_id, NodeSession(node_id))

    def remove(self, node_id):
        """Remove the session of a node."""
        session = self.by_node.pop(node_id)
        self._unsubscribe(session)

    def register(self, session, registration):
        """Replace the registration of a node and index its subscriptions."""
        self._unsubscribe(session)
        session.registration = registration
        for service in session.services:
            subscribers = self._subscribers.setdefault(service, {})
            subscribers[session.node_id] = session

    def wake(self, services=None):
        """Wake the polls of the subscribers of some services, or all polls."""
        if services is None:
            sessions = self.by_node
        else:
            sessions = {}
            for service in sorted(services):
                sessions |= self._subscribers.get(service, {})
        for session in sessions.values():
            session.wake()

    def _unsubscribe(self, session):
        for service in session.services:
            self._subscribers.get(service, {}).pop(session.node_id, None)
