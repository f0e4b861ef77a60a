"""JSON bodies of the responses of the operator API."""

from enum import Enum

from msgspec import Struct

from snipelead.controls.fleet import FleetState
from snipelead.messages import NodeStatus
from snipelead.messages import TargetEntry
from snipelead.releases.document import Customer
from snipelead.releases.document import Release
from snipelead.releases.document import ReleaseId
from snipelead.releases.document import Route
from snipelead.releases.document import Service
from snipelead.releases.document import Setting
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
    'ReleaseContents',
    'ReleaseList',
    'ReleaseState',
    'ReleaseStatus',
    'SubmissionResult',
]


class ReleaseState(Enum):
    """Rollout state of an accepted release.

    ``ACCEPTED``: durable, but not yet confirmed by all live nodes.
    ``IN_FORCE``: confirmed by all live nodes, and all controls reported
    their nodes.
    ``IN_FORCE_WHERE_KNOWN``: confirmed by all live nodes that were reported,
    but some controls did not respond or started too recently to know all of
    their nodes.
    ``SUPERSEDED``: a later release was accepted.
    """

    ACCEPTED = 'accepted'
    IN_FORCE = 'in_force'
    IN_FORCE_WHERE_KNOWN = 'in_force_where_known'
    SUPERSEDED = 'superseded'


class SubmissionResult(Struct, frozen=True):
    """Result of the submission of a release note.

    Parameters
    ----------
    outcome : OutcomeKind
        Whether the note was accepted or refused, or that this is unknown.
    note : NoteId
        Id of the note.
    held : ReleaseId or None
        Number and digest of the release that the note created; None unless
        it was accepted.
    code, message : str
        Error code and error message; empty if the note was accepted.
    details : dict of str to str
        Further facts about the error, such as the id of the note that was
        accepted for the same release number.
    retry_after_ms : int or None
        Delay after which the same note may be resent, in milliseconds; None
        if the outcome is final.
    """

    outcome: OutcomeKind
    note: NoteId
    held: ReleaseId | None = None
    code: str = ''
    message: str = ''
    details: dict[str, str] = {}
    retry_after_ms: int | None = None


class NoteOutcome(Struct, frozen=True):
    """Durable outcome of a release note that the controls still retain."""

    note: NoteId
    outcome: OutcomeKind
    held: ReleaseId | None = None
    code: str = ''
    message: str = ''


class ReleaseContents(Struct, frozen=True):
    """Entries of the current release, without its API keys.

    Parameters
    ----------
    held : ReleaseId
        Identity of the release; its digest covers the plain keys.
    certified : bool
        Whether a majority confirmed that this was the current release.
    salt : str
        Key of the digests that stand in place of API keys, in hexadecimal.
    services, routes, settings, customers : tuple
        Entries in the order of the release, which decides between routes of
        the same host and prefix.
    """

    held: ReleaseId
    certified: bool
    salt: str
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    settings: tuple[Setting, ...] = ()
    customers: tuple[Customer, ...] = ()

    def to_release(self):
        """Return the release with masked keys."""
        tables = (self.services, self.routes, self.settings, self.customers)
        return Release(
            self.held.number,
            *({entry.name: entry for entry in table} for table in tables),
        )


class ReleaseList(Struct, frozen=True):
    """Current release and outcomes of the most recent release notes.

    Parameters
    ----------
    current : ReleaseId
        Newest release known to the control.
    certified : bool
        Whether a majority of the controls confirmed that the control is up
        to date.
    remembered : int
        Number of outcomes that the controls retain.
    notes : tuple of NoteOutcome
        The newest of these outcomes, most recent submission first.
    """

    current: ReleaseId
    certified: bool
    remembered: int
    notes: tuple[NoteOutcome, ...] = ()


class LaggingNode(Struct, frozen=True):
    """Live node that has not confirmed the release.

    Parameters
    ----------
    node_id : NodeId
        Id of the node.
    zone : ZoneName
        Its availability zone.
    held : ReleaseId
        Release that it last reported.
    age_ms : int
        Time since that report, in milliseconds.
    """

    node_id: NodeId
    zone: ZoneName
    held: ReleaseId
    age_ms: int


class ReleaseStatus(Struct, frozen=True):
    """Rollout status of one release.

    Parameters
    ----------
    held : ReleaseId
        Number and digest of the release.
    note : NoteId or None
        Note that created the release; None if its outcome is no longer
        retained.
    state : ReleaseState
        Rollout state.
    in_force : bool
        Whether the state is ``IN_FORCE``.
    certified : bool
        Whether a majority of the controls confirmed that the control is up
        to date.
    current : ReleaseId
        Newest release known to the control.
    nodes, confirmed : int
        Number of live nodes, and of those that run this release or a later
        one.
    lagging : tuple of LaggingNode
        Live nodes that run an earlier release.
    silent_nodes : tuple of NodeId
        Nodes whose lease expired; they are excluded from the counts.
    unreachable_controls : tuple of ControlId
        Controls that did not respond, so that their nodes are unknown.
    warming_controls : tuple of ControlId
        Controls that started less than a target lease ago and may not have
        received reports from all of their nodes yet.
    """

    held: ReleaseId
    note: NoteId | None
    state: ReleaseState
    in_force: bool
    certified: bool
    current: ReleaseId
    nodes: int
    confirmed: int
    lagging: tuple[LaggingNode, ...] = ()
    silent_nodes: tuple[NodeId, ...] = ()
    unreachable_controls: tuple[ControlId, ...] = ()
    warming_controls: tuple[ControlId, ...] = ()


class ControlStatus(Struct, frozen=True):
    """View of one control that responded.

    Parameters
    ----------
    control_id : ControlId
        Id of the control.
    zone : ZoneName
        Its availability zone.
    current : ReleaseId
        Newest release that it holds.
    nodes : int
        Number of nodes whose newest status came from this control.
    """

    control_id: ControlId
    zone: ZoneName
    current: ReleaseId
    nodes: int


class FleetReport(Struct, frozen=True):
    """Status of the controls, nodes and targets of a deployment.

    Parameters
    ----------
    current : ReleaseId
        Newest release that any control holds.
    certified : bool
        Whether a majority of the controls confirmed that this release is the
        newest.
    state : FleetState
        Rollout state of this release.
    confirmed, total : int
        Number of live nodes that confirmed this release, and of all live
        nodes.
    controls : tuple of ControlStatus
        Controls that responded.
    unreachable_controls, warming_controls : tuple of ControlId
        Controls that did not respond, and controls that started less than a
        target lease ago.
    nodes : tuple of NodeStatus
        All known nodes, live or silent.
    targets : tuple of TargetEntry
        All known targets, except those in the state ``GONE``.
    """

    current: ReleaseId
    certified: bool
    state: FleetState
    confirmed: int
    total: int
    controls: tuple[ControlStatus, ...]
    unreachable_controls: tuple[ControlId, ...]
    warming_controls: tuple[ControlId, ...]
    nodes: tuple[NodeStatus, ...]
    targets: tuple[TargetEntry, ...]
