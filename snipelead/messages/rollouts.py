"""Messages and records of rollouts."""

from enum import Enum

from msgspec import Struct

from snipelead.messages.registry import register_reply
from snipelead.types import Count
from snipelead.types import Incarnation
from snipelead.types import LogIndex
from snipelead.types import Milliseconds
from snipelead.types import NodeId
from snipelead.types import Ratio
from snipelead.types import RouteName
from snipelead.types import ServiceName

__all__ = [
    'Grant',
    'OrderReply',
    'Rollout',
    'RolloutPhase',
    'RolloutReply',
    'RolloutReport',
    'RolloutUpdate',
    'RouteCounts',
    'RouteProgress',
    'ServiceReport',
]


class RolloutPhase(Enum):
    """Phase of a rollout; phases only follow each other in this order."""

    # Nodes send to the new version what they were granted.
    RUNNING = 1
    # Nodes send everything to the new version.
    PROMOTING = 2
    COMPLETED = 3
    ROLLED_BACK = 4

    @property
    def is_final(self):
        """Whether the rollout has ended."""
        return self in (RolloutPhase.COMPLETED, RolloutPhase.ROLLED_BACK)


class RouteCounts(Struct, frozen=True, array_like=True):
    """Responses to the requests of one route to one side of a rollout.

    Parameters
    ----------
    route : RouteName
        Route of the requests.
    is_new : bool
        Whether the target had the new version.
    failures : int
        Responses that were server errors.
    times : tuple of int
        Responses by time, see ``TIME_BOUNDS_S``.
    """

    route: RouteName
    is_new: bool
    failures: Count
    times: tuple[Count, ...]


class RouteProgress(Struct, frozen=True, array_like=True):
    """Requests of one route to the new version after the promotion.

    Parameters
    ----------
    route : RouteName
        Route of the requests.
    sent : int
        Requests sent.
    answered : int
        Requests that got a response, or none until their deadline.
    """

    route: RouteName
    sent: Count
    answered: Count


class Rollout(Struct, frozen=True, array_like=True):
    """Rollout of a service.

    Parameters
    ----------
    order : LogIndex
        Index of the log entry with the order; identifies the rollout.
    service : ServiceName
        Service whose traffic moves.
    version : str
        Version that the traffic moves to.
    duration_ms : int
        Time in which the rollout has to end, in ms.
    accepted_ms : int
        Log time of the order in ms.
    phase : RolloutPhase
        Current phase.
    approved : tuple of str
        Versions that were in service before.
    rejected : tuple of str
        Versions that were rolled back; they get no traffic.
    reserved : int
        Requests to the new version that the leaders have reserved. Nodes
        are granted reserved requests only.
    total : int
        Requests to the service since the order, as far as reported.
    counts : tuple of RouteCounts
        Responses since the order, as far as reported.
    """

    order: LogIndex
    service: ServiceName
    version: str
    duration_ms: Count
    accepted_ms: Count
    phase: RolloutPhase = RolloutPhase.RUNNING
    approved: tuple[str, ...] = ()
    rejected: tuple[str, ...] = ()
    reserved: Count = 0
    total: Count = 0
    counts: tuple[RouteCounts, ...] = ()

    @property
    def precedence(self):
        """Key that increases with each order and each of its phases."""
        return (self.order, self.phase.value)


class RolloutUpdate(Struct, frozen=True, array_like=True):
    """Rollouts that a control knows.

    Parameters
    ----------
    version : LogIndex
        Index of the last log entry that changed a phase.
    rollouts : tuple of Rollout
        Newest rollout of each service, without exposure and counts.
    """

    version: LogIndex
    rollouts: tuple[Rollout, ...]


class OrderReply(Struct, frozen=True, array_like=True):
    """Result of a command of a rollout; False if it had no effect."""

    accepted: bool


class ServiceReport(Struct, frozen=True, array_like=True):
    """What a node has sent to a service since it learned of an order.

    All numbers are totals of the node's incarnation, so that lost and
    repeated reports do no harm.

    Parameters
    ----------
    order : LogIndex
        The rollout.
    service : ServiceName
        The service.
    total : int
        Requests that reached targets of any version.
    sent : int
        Requests sent to the new version under grants.
    has_moved : bool
        Whether the node sends nothing more to the previous versions and has
        no request in flight to them.
    counts : tuple of RouteCounts
        Responses by route and version.
    promoted : tuple of RouteProgress
        Requests to the new version since the node learned of the promotion.
    """

    order: LogIndex
    service: ServiceName
    total: Count
    sent: Count
    has_moved: bool
    counts: tuple[RouteCounts, ...] = ()
    promoted: tuple[RouteProgress, ...] = ()


class RolloutReport(Struct, frozen=True, array_like=True):
    """Report of a node; asks for grants.

    Parameters
    ----------
    node_id, incarnation : NodeId, Incarnation
        The node.
    services : tuple of ServiceReport
        One for each rollout in progress.
    is_forwarded : bool
        Whether a control has forwarded the report to the leader.
    """

    node_id: NodeId
    incarnation: Incarnation
    services: tuple[ServiceReport, ...]
    is_forwarded: bool = False


class Grant(Struct, frozen=True, array_like=True):
    """Permission to send requests to the new version.

    Parameters
    ----------
    order : LogIndex
        The rollout.
    service : ServiceName
        The service.
    limit : int
        Value of ``ServiceReport.sent`` that the node must not exceed.
    lease_ms : int
        Time after the node sent its report when the permission ends, in ms.
    share : float
        Share of the service's targets of the new version to use, and of the
        requests to send to them.
    round : int
        Which of the targets of the new version to use; increases with time,
        so that each of them gets its turn.
    """

    order: LogIndex
    service: ServiceName
    limit: Count
    lease_ms: Milliseconds
    share: Ratio
    round: Count = 0


class RolloutReply(Struct, frozen=True, array_like=True):
    """Reply of the leader to a report; empty if it grants nothing."""

    grants: tuple[Grant, ...] = ()


register_reply(RolloutReport, RolloutReply)
