"""Answers of the operators' interface, as JSON."""

from enum import Enum

from msgspec import Struct

from snipelead.controls.fleet import FleetState
from snipelead.messages import NodeStatus
from snipelead.messages import TargetEntry
from snipelead.releases.document import Held
from snipelead.types import ControlId
from snipelead.types import NodeId
from snipelead.types import NoteId
from snipelead.types import OutcomeKind
from snipelead.types import ZoneName

__all__ = [
    'ControlStatus',
    'FleetReport',
    'LaggingNode',
    'NoteOutcome',
    'ReleaseList',
    'ReleaseState',
    'ReleaseStatus',
    'SubmitAnswer',
]


class ReleaseState(Enum):
    """How far an accepted release has got.

    ``ACCEPTED``: durable, not yet confirmed by all live nodes.
    ``IN_FORCE``: confirmed by every live node, and every control told of its
    nodes. ``IN_FORCE_WHERE_KNOWN``: confirmed by every live node heard of,
    but some controls did not answer or have just started.
    ``SUPERSEDED``: a later release was accepted.
    """

    ACCEPTED = 'accepted'
    IN_FORCE = 'in_force'
    IN_FORCE_WHERE_KNOWN = 'in_force_where_known'
    SUPERSEDED = 'superseded'


class SubmitAnswer(Struct, frozen=True):
    """Outcome of a submission.

    Parameters
    ----------
    outcome : OutcomeKind
        What became of the note.
    note : NoteId
        Id of the note.
    held : Held or None
        The release that the note created, when accepted.
    code, message : str
        Error code and sentence unless accepted.
    details : dict of str to str
        Facts, such as the note that won the number.
    retry_after_ms : int or None
        When the same note may be sent again, in milliseconds.
    """

    outcome: OutcomeKind
    note: NoteId
    held: Held | None = None
    code: str = ''
    message: str = ''
    details: dict[str, str] = {}
    retry_after_ms: int | None = None


class NoteOutcome(Struct, frozen=True):
    """Durable outcome of a note that the controls still remember."""

    note: NoteId
    outcome: OutcomeKind
    held: Held | None = None
    code: str = ''
    message: str = ''


class ReleaseList(Struct, frozen=True):
    """Current release and recent outcomes, newest submission first.

    Parameters
    ----------
    current : Held
        Newest release known.
    certified : bool
        Whether the control proved itself current by a majority.
    remembered : int
        Outcomes that the controls remember, of which these are the newest.
    notes : tuple of NoteOutcome
        Outcomes.
    """

    current: Held
    certified: bool
    remembered: int
    notes: tuple[NoteOutcome, ...] = ()


class LaggingNode(Struct, frozen=True):
    """A live node that has not confirmed the release."""

    node_id: NodeId
    zone: ZoneName
    held: Held
    age_ms: int


class ReleaseStatus(Struct, frozen=True):
    """Read-back of one release.

    Parameters
    ----------
    held : Held
        Number and digest.
    note : NoteId or None
        Note that created it, when still remembered.
    state : ReleaseState
        How far it has got.
    in_force : bool
        Whether the state is ``IN_FORCE``.
    certified : bool
        Whether the control proved itself current by a majority.
    current : Held
        Newest release known.
    nodes, confirmed : int
        Live nodes, and those that run this release (or a later one).
    lagging : tuple of LaggingNode
        Live nodes that do not yet.
    silent_nodes : tuple of NodeId
        Nodes whose lease ran out; they count as gone.
    unreachable_controls : tuple of ControlId
        Controls that could not be asked for their nodes.
    warming_controls : tuple of ControlId
        Controls that started less than a target lease ago and may not have
        heard of all their nodes yet.
    """

    held: Held
    note: NoteId | None
    state: ReleaseState
    in_force: bool
    certified: bool
    current: Held
    nodes: int
    confirmed: int
    lagging: tuple[LaggingNode, ...] = ()
    silent_nodes: tuple[NodeId, ...] = ()
    unreachable_controls: tuple[ControlId, ...] = ()
    warming_controls: tuple[ControlId, ...] = ()


class ControlStatus(Struct, frozen=True):
    """A control as it answered."""

    control_id: ControlId
    zone: ZoneName
    current: Held
    nodes: int


class FleetReport(Struct, frozen=True):
    """Read-back of the fleet.

    Parameters
    ----------
    current : Held
        Newest release that any control holds.
    certified : bool
        Whether a majority confirmed that it is the newest.
    state : FleetState
        How far it has come.
    confirmed, total : int
        Live nodes that confirmed it, and live nodes.
    controls : tuple of ControlStatus
        Controls that answered.
    unreachable_controls, warming_controls : tuple of ControlId
        Controls that did not answer, and that have just started.
    nodes : tuple of NodeStatus
        All known nodes, live or silent.
    targets : tuple of TargetEntry
        Targets that are not gone.
    """

    current: Held
    certified: bool
    state: FleetState
    confirmed: int
    total: int
    controls: tuple[ControlStatus, ...]
    unreachable_controls: tuple[ControlId, ...]
    warming_controls: tuple[ControlId, ...]
    nodes: tuple[NodeStatus, ...]
    targets: tuple[TargetEntry, ...]
