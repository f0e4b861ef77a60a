"""Loads of targets, shared among nodes through the controls."""

from msgspec import Struct

from snipelead.messages.registry import register_reply
from snipelead.types import ControlId
from snipelead.types import Count
from snipelead.types import NodeId
from snipelead.types import ServiceName
from snipelead.types import TargetId

__all__ = [
    'LoadExchangeReply',
    'LoadExchangeRequest',
    'LoadReply',
    'LoadRequest',
    'TargetLoad',
]


class TargetLoad(Struct, frozen=True, array_like=True):
    """Load of a target as measured by the node beside it.

    Parameters
    ----------
    target_id : TargetId
        The target.
    service : ServiceName
        Service of the target.
    occupancy_percent : int
        Recent mean number of requests in service or queued, times 100.
    relative_permille : int
        Recent mean service time in proportion to the latency objectives of
        the routes, times 1,000; 0 if not known.
    age_ms : int
        Time since the load was measured, in milliseconds.
    """

    target_id: TargetId
    service: ServiceName
    occupancy_percent: Count
    relative_permille: Count = 0
    age_ms: Count = 0


class LoadRequest(Struct, frozen=True, array_like=True):
    """Report of the loads of a node's targets, and request for others.

    Parameters
    ----------
    node_id : NodeId
        The node.
    loads : tuple of TargetLoad
        Loads of its own targets.
    services : tuple of ServiceName
        Services whose loads the node asks for.
    """

    node_id: NodeId
    loads: tuple[TargetLoad, ...]
    services: tuple[ServiceName, ...]


class LoadReply(Struct, frozen=True, array_like=True):
    """Reply to a :class:`LoadRequest`.

    Parameters
    ----------
    loads : tuple of TargetLoad
        Recent loads of all targets of the requested services.
    """

    loads: tuple[TargetLoad, ...]


class LoadExchangeRequest(Struct, frozen=True, array_like=True):
    """Request of a control for the loads that nodes report to another one.

    Parameters
    ----------
    control_id : ControlId
        The control that asks.
    """

    control_id: ControlId


class LoadExchangeReply(Struct, frozen=True, array_like=True):
    """Reply to a :class:`LoadExchangeRequest`.

    Parameters
    ----------
    loads : tuple of TargetLoad
        Recent loads that nodes have reported to the replying control.
    """

    loads: tuple[TargetLoad, ...]


register_reply(LoadRequest, LoadReply)
register_reply(LoadExchangeRequest, LoadExchangeReply)
