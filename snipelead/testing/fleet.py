"""Fakes for the operators' interface and the command line."""

from msgspec import Struct

from snipelead.exceptions import SnipeleadError
from snipelead.messages import FleetReply
from snipelead.messages import NodeStatus
from snipelead.messages import SubmitReply
from snipelead.releases.changes import apply_note
from snipelead.releases.document import EMPTY_RELEASE
from snipelead.settings.schema import Peer
from snipelead.testing.source import FakeSource
from snipelead.types import ControlId
from snipelead.types import OutcomeKind
from snipelead.types import ZoneName

__all__ = ['FailingSource', 'FakeService', 'make_node_status']


class FailingSource(FakeSource):
    """Source of which submissions fail on demand.

    Attributes
    ----------
    failures : list of SnipeleadError
        Raised by the next submissions, one each.
    apply_failed : bool
        Whether a failing submission takes effect all the same.
    """

    def __init__(self):
        super().__init__()
        self.failures = []
        self.apply_failed = False

    async def submit(self, note):
        """Apply a note once, or fail."""
        if self.failures:
            if self.apply_failed:
                self.apply(note)
            raise self.failures.pop(0)
        return self.apply(note)

    def apply(self, note):
        """Apply a note once and return its outcome."""
        if note.note not in self.notes:
            self.notes[note.note] = self._decide(note)
        return self.notes[note.note]

    def _decide(self, note):
        try:
            self.publish(apply_note(self.current, note))
        except SnipeleadError as error:
            return SubmitReply(
                OutcomeKind.REFUSED,
                code=error.code,
                message=error.message,
                details=error.details,
            )
        return SubmitReply(OutcomeKind.ACCEPTED, self.current.held)


def make_node_status(node_id, held, sequence=1, live=True):
    """Return a node's status as a control would give it."""
    return NodeStatus(node_id, 'z1', held, 1, sequence, 10, live)


class _Settings(Struct):
    peers: tuple[Peer, ...]


class FakeService:
    """Control service with given views of the fleet.

    Parameters
    ----------
    current : Held
        Release that the only control that answers holds.
    nodes : sequence of NodeStatus
        Nodes that it sees.
    unreachable : sequence of ControlId
        Controls that do not answer.
    warming : bool
        Whether the control has just started.

    Attributes
    ----------
    certified : bool
        Whether the control can prove that it is current.
    """

    def __init__(
        self,
        current=EMPTY_RELEASE.held,
        nodes=(),
        unreachable=(),
        warming=False,
    ):
        self.current = current
        self.nodes = nodes
        self.unreachable = unreachable
        self.warming = warming
        self.certified = True

    @property
    def settings(self):
        """Settings that list all controls."""
        return _Settings(
            tuple(
                Peer(control_id=c, zone='z1', address=f'127.0.0.1:{port}')
                for port, c in enumerate(('c1', *self.unreachable), 7_100)
            )
        )

    async def fleet(self):
        """Return the view of the control that answers."""
        reply = FleetReply(
            ControlId('c1'),
            ZoneName('z1'),
            self.current,
            certified=self.certified,
            nodes=tuple(self.nodes),
            warming=self.warming,
        )
        return [reply]
