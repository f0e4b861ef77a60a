"""Views of the fleet that controls give each other."""

from msgspec import Struct

from snipelead.messages.registry import register_reply
from snipelead.messages.targets import TargetEntry
from snipelead.releases.document import Held
from snipelead.types import ControlId
from snipelead.types import Incarnation
from snipelead.types import NodeId
from snipelead.types import ZoneName

__all__ = [
    'FleetReply',
    'FleetRequest',
    'NodeStatus',
]


class FleetRequest(Struct, frozen=True, omit_defaults=True):
    """Asks a control for its view of the fleet."""


class NodeStatus(Struct, frozen=True, omit_defaults=True):
    """A node as a control last saw it.

    Parameters
    ----------
    node_id : NodeId
        The node.
    zone : ZoneName
        Its availability zone.
    held : Held
        Release that it confirmed last.
    incarnation, sequence : Incarnation, int
        Order of the reports; the greater one wins.
    age_ms : int
        Time since the control heard of it, in milliseconds.
    live : bool
        Whether its lease holds.
    """

    node_id: NodeId
    zone: ZoneName
    held: Held
    incarnation: Incarnation
    sequence: int
    age_ms: int
    live: bool


class FleetReply(Struct, frozen=True, omit_defaults=True):
    """A control's view of the fleet.

    Parameters
    ----------
    control_id : ControlId
        The control.
    zone : ZoneName
        Its availability zone.
    current : Held
        Newest release that it holds.
    certified : bool
        Whether a majority confirmed that while it answered.
    nodes : tuple of NodeStatus
        Nodes that poll this control.
    targets : tuple of TargetEntry
        Targets of those nodes.
    warming : bool
        The control restarted less than a lease ago and may not have heard
        of all its nodes yet.
    """

    control_id: ControlId
    zone: ZoneName
    current: Held
    certified: bool = False
    nodes: tuple[NodeStatus, ...] = ()
    targets: tuple[TargetEntry, ...] = ()
    warming: bool = False


register_reply(FleetRequest, FleetReply)
