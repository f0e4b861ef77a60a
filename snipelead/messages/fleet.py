"""Views of the fleet that control processes request from each other."""

from msgspec import Struct

from snipelead.messages.registry import register_reply
from snipelead.messages.targets import TargetEntry
from snipelead.releases.document import ReleaseId
from snipelead.types import ControlId
from snipelead.types import Count
from snipelead.types import Incarnation
from snipelead.types import NodeId
from snipelead.types import ZoneName

__all__ = [
    'FleetReply',
    'FleetRequest',
    'NodeStatus',
]


class FleetRequest(Struct, frozen=True, omit_defaults=True):
    """Request for a control process's view of the fleet."""


class NodeStatus(Struct, frozen=True, omit_defaults=True):
    """Last known status of a node at a control process.

    Parameters
    ----------
    node_id : NodeId
        Id of the node.
    zone : ZoneName
        Availability zone of the node.
    held : ReleaseId
        Release that the node confirmed last.
    incarnation, sequence : Incarnation, int
        Order of the reports; the status with the greatest pair is the newest.
    age_ms : int
        Time since the last report of the node, in milliseconds.
    live : bool
        Whether the lease of the node is valid.
    """

    node_id: NodeId
    zone: ZoneName
    held: ReleaseId
    incarnation: Incarnation
    sequence: Count
    age_ms: Count
    live: bool


class FleetReply(Struct, frozen=True, omit_defaults=True):
    """View of the fleet of one control process.

    Parameters
    ----------
    control_id : ControlId
        Id of the control process.
    zone : ZoneName
        Availability zone of the control process.
    current : ReleaseId
        Newest release that the control process holds.
    certified : bool
        Whether a majority confirmed during the request that ``current`` is
        the newest accepted release.
    nodes : tuple of NodeStatus
        Nodes that poll this control process.
    targets : tuple of TargetEntry
        Targets of those nodes.
    warming : bool
        Whether the control process restarted less than one lease ago, so
        that ``nodes`` may be incomplete.
    """

    control_id: ControlId
    zone: ZoneName
    current: ReleaseId
    certified: bool = False
    nodes: tuple[NodeStatus, ...] = ()
    targets: tuple[TargetEntry, ...] = ()
    warming: bool = False


register_reply(FleetRequest, FleetReply)
