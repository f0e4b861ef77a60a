"""What a control knows of the nodes that poll it."""

from math import inf

import trio

from snipelead.controls.exceptions import StaleRequestError
from snipelead.controls.polling import MS_PER_S
from snipelead.messages import NodeStatus
from snipelead.releases.document import EMPTY_RELEASE
from snipelead.types import ZoneName

__all__ = ['NodeSession', 'NodeSessions']


class NodeSession:
    """A node that polls this control.

    Attributes
    ----------
    order : tuple of Incarnation and int
        Newest request; older ones are dropped.
    registration : Registration or None
        What the node said of itself in this incarnation.
    registered_incarnation : Incarnation
        Incarnation that the registration belongs to.
    held : Held
        Release that the node confirmed last.
    heard_at : float
        Time of the newest request in seconds.
    told_at : float
        When the node was last told of targets, in seconds.
    since : float
        Time of the first request of this incarnation in seconds.
    targets_live, live, left : bool
        Whether the lease of the targets and of the node holds, and whether
        the node announced that it stops.
    """

    def __init__(self, node_id):
        self.node_id = node_id
        self.latest_poll = (0, 0)
        self.registration = None
        self.registered_incarnation = 0
        self.held = EMPTY_RELEASE.held
        self.last_polled_at = -inf
        self.directory_sent_at = -inf
        self.first_polled_at = inf
        self.targets_live = False
        self.live = False
        self.has_left = False
        self._wake_event = trio.Event()

    @property
    def incarnation(self):
        """Incarnation of the newest request."""
        return self.latest_poll[0]

    @property
    def zone(self):
        """Availability zone of the node, empty when not registered."""
        return self.registration.zone if self.registration else ZoneName('')

    @property
    def services(self):
        """Services whose targets the node wants."""
        return self.registration.subscriptions if self.registration else ()

    @property
    def targets(self):
        """Targets of the node."""
        return self.registration.targets if self.registration else ()

    def record_poll(self, request):
        """Take in a poll, renewing the lease.

        Raises
        ------
        StaleRequestError
            If a newer poll came before.
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
        # An empty digest asks for a snapshot; it says nothing of what runs.
        if request.held.digest:
            self.held = request.held
        if superseded:
            self.wake()

    def wake(self):
        """Let the polls that are held look for news."""
        self._wake_event.set()
        self._wake_event = trio.Event()

    @property
    def wake_event(self):
        """Event set at the next :meth:`wake`."""
        return self._wake_event

    def status(self):
        """Return what the fleet status says of the node."""
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
    """Sessions by node, with an index from service to subscribers."""

    def __init__(self):
        self.by_node = {}
        self._subscribers = {}

    def get_or_create(self, node_id):
        """Return the session of a node, a new one if there is none."""
        return self.by_node.setdefault(node_id, NodeSession(node_id))

    def remove(self, node_id):
        """Drop a session."""
        session = self.by_node.pop(node_id)
        self._unsubscribe(session)

    def register(self, session, registration):
        """Replace what a node said of itself."""
        self._unsubscribe(session)
        session.registration = registration
        for service in session.services:
            subscribers = self._subscribers.setdefault(service, {})
            subscribers[session.node_id] = session

    def wake(self, services=None):
        """Wake the polls of subscribers of some services, or all polls."""
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
