"""Fakes of a release source and a control service, for the interfaces."""

from msgspec import Struct

from snipelead.controls.source import ReleaseSource
from snipelead.exceptions import SnipeleadError
from snipelead.messages import FleetReply
from snipelead.messages import NodeStatus
from snipelead.messages import SubmitReply
from snipelead.releases.changes import apply_note
from snipelead.releases.document import EMPTY_RELEASE
from snipelead.settings.schema import Peer
from snipelead.types import OutcomeKind

__all__ = ['FakeService', 'FakeSource', 'make_node_status']


class FakeSource(ReleaseSource):
    """Release source in memory.

    Attributes
    ----------
    certified : bool
        What :meth:`certify` returns.
    failures : list of SnipeleadError
        Raised by the next submissions, one each.
    apply_failed : bool
        Whether a failing submission takes effect all the same.
    """

    def __init__(self):
        self.current = EMPTY_RELEASE
        self.certified = True
        self.failures = []
        self.apply_failed = False
        self.known = {}

    async def certify(self):
        """Tell whether this source counts as current."""
        return self.certified

    async def outcomes(self):
        """Return the outcome of each note."""
        return self.known

    async def submit(self, note):
        """Apply a note once."""
        if self.failures:
            if self.apply_failed:
                self.apply(note)
            raise self.failures.pop(0)
        return self.apply(note)

    def apply(self, note):
        """Apply a note once and return its outcome."""
        if note.note not in self.known:
            self.known[note.note] = self._decide(note)
        return self.known[note.note]

    def _decide(self, note):
        try:
            self.current = apply_note(self.current, note)
        except SnipeleadError as error:
            return SubmitReply(
                OutcomeKind.REFUSED,
                code=error.code,
                message=error.message,
                details=error.details,
            )
        return SubmitReply(OutcomeKind.ACCEPTED, self.current.held)


class FakeSettings(Struct):
    """Part of the settings that the operators' interface reads."""

    peers: tuple[Peer, ...]


def make_node_status(node_id, held, sequence=1, live=True):
    """Return a node's status as a control would give it."""
    return NodeStatus(node_id, 'z1', held, 1, sequence, 10, live)


class FakeService:
    """Control service with given views.

    Parameters
    ----------
    replies : dict of ControlId to FleetReply or None
        View of each control; None when it cannot be reached.
    """

    def __init__(self, replies):
        self.replies = replies
        self.settings = FakeSettings(
            tuple(
                Peer(control_id=c, zone='z1', address=f'127.0.0.1:{port}')
                for port, c in enumerate(replies, 7100)
            )
        )

    @classmethod
    def with_nodes(cls, current, nodes, unreachable=()):
        """Make a service whose first control sees all nodes."""
        replies = {'c1': FleetReply('c1', 'z1', current, True, tuple(nodes))}
        return cls(replies | dict.fromkeys(unreachable))

    async def fleet(self):
        """Return the views of the controls that can be reached."""
        return [r for r in self.replies.values() if r is not None]
