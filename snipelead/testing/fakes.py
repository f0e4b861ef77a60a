"""Fakes for tests of the operator API and the command line."""

from msgspec import Struct

from snipelead.exceptions import SnipeleadError
from snipelead.messages import FleetReply
from snipelead.messages import NodeStatus
from snipelead.messages import SubmitReply
from snipelead.releases.document import EMPTY_RELEASE
from snipelead.releases.note_application import apply_note
from snipelead.settings.schema import Peer
from snipelead.testing.source import FakeSource
from snipelead.types import ControlId
from snipelead.types import OutcomeKind
from snipelead.types import ZoneName

__all__ = ['FailingSource', 'FakeService', 'make_node_status']


class FailingSource(FakeSource):
    """Release source whose submissions fail on demand.

    Attributes
    ----------
    failures : list of SnipeleadError
        Errors that the next submissions raise, one each.
    apply_before_failure : bool
        Whether a failing submission takes effect nevertheless.
    """

    def __init__(self):
        super().__init__()
        self.failures = []
        self.apply_before_failure = False

    async def submit(self, note):
        """Apply a note, or raise the next error of ``failures``."""
        if self.failures:
            if self.apply_before_failure:
                self.apply(note)
            raise self.failures.pop(0)
        return self.apply(note)

    def apply(self, note):
        """Apply a note and return its outcome.

        A note that was applied before keeps its outcome.
        """
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
        return SubmitReply(OutcomeKind.ACCEPTED, self.current.release_id)


def make_node_status(node_id, held, sequence=1, live=True):
    """Return the status of a node as a control reports it."""
    return NodeStatus(node_id, 'z1', held, 1, sequence, 10, live)


class _Settings(Struct):
    peers: tuple[Peer, ...]


class FakeService:
    """Control service that returns a given view of the fleet.

    Parameters
    ----------
    current : ReleaseId
        Release held by the only control that responds.
    nodes : sequence of NodeStatus
        Status of the nodes that this control reports.
    unreachable : sequence of ControlId
        Controls that do not respond.
    warming : bool
        Whether the responding control is still warming up.

    Attributes
    ----------
    certified : bool
        Whether the responding control is certified as current.
    """

    def __init__(
        self,
        current=EMPTY_RELEASE.release_id,
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
        """Settings with the addresses of all controls."""
        return _Settings(
            tuple(
                Peer(control_id=c, zone='z1', address=f'127.0.0.1:{port}')
                for port, c in enumerate(('c1', *self.unreachable), 7_100)
            )
        )

    async def collect_fleet_replies(self):
        """Return the view of the fleet of the responding control."""
        reply = FleetReply(
            ControlId('c1'),
            ZoneName('z1'),
            self.current,
            certified=self.certified,
            nodes=tuple(self.nodes),
            warming=self.warming,
        )
        return [reply]
