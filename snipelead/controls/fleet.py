"""Status of the whole fleet, merged from the views of all controls."""

from enum import Enum

from msgspec import Struct
import trio

from snipelead.controls.events import PEER_LOST
from snipelead.exceptions import SnipeleadError
from snipelead.logs import log_event
from snipelead.messages import FleetRequest
from snipelead.messages import NodeStatus
from snipelead.releases.document import ReleaseId
from snipelead.types import ControlId

__all__ = [
    'FleetState',
    'FleetStatus',
    'collect_replies',
    'get_newest_statuses',
    'merge_fleet',
]

FLEET_TIMEOUT_S = 2.0


class FleetState(Enum):
    """Rollout state of the newest release.

    ``IN_FORCE``: the release is certified as the newest, and every known
    node runs it.
    ``IN_FORCE_ON_REACHABLE``: the release is certified as the newest and
    every live node runs it, but some unreachable nodes have not confirmed it.
    ``SPREADING``: some live nodes have not confirmed the release yet.
    ``UNKNOWN``: the newest release could not be certified, or a control did
    not reply or is still warming up.
    """

    IN_FORCE = 'in force'
    IN_FORCE_ON_REACHABLE = 'in force on reachable nodes'
    SPREADING = 'spreading'
    UNKNOWN = 'unknown'


class FleetStatus(Struct, frozen=True):
    """Rollout status of the newest release.

    Parameters
    ----------
    release : ReleaseId
        Newest release that any control holds.
    certified : bool
        Whether a majority of voters confirmed that it is the newest.
    state : FleetState
        Rollout state.
    in_force : bool
        Whether ``state`` is ``IN_FORCE`` or ``IN_FORCE_ON_REACHABLE``. In
        the latter case, see ``unreachable_nodes``.
    confirmed, total : int
        Number of live nodes that confirmed the release, and of live nodes.
    lagging : tuple of NodeStatus
        Live nodes that have not confirmed the release.
    unreachable_nodes : tuple of NodeStatus
        Nodes whose lease expired, until the control forgets them.
    unreachable_controls : tuple of ControlId
        Controls that did not reply.
    warming_controls : tuple of ControlId
        Controls that started less than one lease ago, so that some of their
        nodes may not have registered yet.
    """

    release: ReleaseId
    certified: bool
    state: FleetState
    in_force: bool
    confirmed: int
    total: int
    lagging: tuple[NodeStatus, ...]
    unreachable_nodes: tuple[NodeStatus, ...]
    unreachable_controls: tuple[ControlId, ...]
    warming_controls: tuple[ControlId, ...]


async def collect_replies(links):
    """Request the fleet views of all peers concurrently.

    Parameters
    ----------
    links : iterable of ControlLink
        Links to the peers.

    Returns
    -------
    replies : list of FleetReply
        Views of the peers that replied.
    unreachable_controls : list of ControlId
        Peers whose request failed.
    """
    replies = []
    unreachable_controls = []

    async def query(link):
        try:
            replies.append(
                await link.calls.call(FleetRequest(), FLEET_TIMEOUT_S)
            )
        except SnipeleadError as error:
            log_event(PEER_LOST, control=link.control_id, error=str(error))
            unreachable_controls.append(link.control_id)

    async with trio.open_nursery() as nursery:
        for link in links:
            nursery.start_soon(query, link)
    return replies, unreachable_controls


def get_newest_statuses(replies):
    """Return the newest status of each node, sorted by node id.

    A node that switched to another control appears in several views.

    Parameters
    ----------
    replies : list of FleetReply
        Views of the controls.

    Returns
    -------
    list of NodeStatus
    """
    newest = {}
    for status in (status for reply in replies for status in reply.nodes):
        known = newest.get(status.node_id)
        if known is None or _latest_poll(status) > _latest_poll(known):
            newest[status.node_id] = status
    return [newest[node_id] for node_id in sorted(newest)]


def _latest_poll(status):
    return (status.incarnation, status.sequence)


def _determine_state(conclusive, lagging, unreachable_nodes, release):
    if not conclusive:
        return FleetState.UNKNOWN
    if lagging:
        return FleetState.SPREADING
    if any(status.held != release for status in unreachable_nodes):
        return FleetState.IN_FORCE_ON_REACHABLE
    return FleetState.IN_FORCE


def merge_fleet(replies, unreachable_controls):
    """Merge the views of the controls into one status.

    Parameters
    ----------
    replies : list of FleetReply
        Views of the controls that replied.
    unreachable_controls : list of ControlId
        Controls that did not reply.

    Returns
    -------
    FleetStatus
    """
    release = max((r.current for r in replies), key=lambda held: held.number)
    certified = any(r.certified and r.current == release for r in replies)
    statuses = get_newest_statuses(replies)
    live = [status for status in statuses if status.live]
    unreachable_nodes = tuple(status for status in statuses if not status.live)
    lagging = tuple(status for status in live if status.held != release)
    warming = tuple(r.control_id for r in replies if r.warming)
    conclusive = certified and not unreachable_controls and not warming
    state = _determine_state(conclusive, lagging, unreachable_nodes, release)
    return FleetStatus(
        release=release,
        certified=certified,
        state=state,
        in_force=state
        in (FleetState.IN_FORCE, FleetState.IN_FORCE_ON_REACHABLE),
        confirmed=len(live) - len(lagging),
        total=len(live),
        lagging=lagging,
        unreachable_nodes=unreachable_nodes,
        unreachable_controls=tuple(sorted(unreachable_controls)),
        warming_controls=warming,
    )
