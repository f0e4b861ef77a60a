"""Status of the whole fleet, merged from all controls."""

from enum import Enum

from msgspec import Struct
import trio

from snipelead.controls.events import PEER_LOST
from snipelead.exceptions import SnipeleadError
from snipelead.logs import log_event
from snipelead.messages import FleetRequest
from snipelead.messages import NodeStatus
from snipelead.releases.document import Held
from snipelead.types import ControlId

__all__ = [
    'FleetState',
    'FleetStatus',
    'collect_replies',
    'merge_fleet',
    'newest_statuses',
]

FLEET_TIMEOUT_S = 2.0


class FleetState(Enum):
    """How far the newest release has come.

    ``IN_FORCE``: proved to be the newest, and every known node runs it.
    ``IN_FORCE_ON_REACHABLE``: the same of every node whose lease holds, but
    there are nodes that cannot be reached and did not confirm it.
    ``SPREADING``: some live nodes have not confirmed it yet.
    ``UNKNOWN``: this control cannot prove which release is the newest, or a
    control did not answer or has not heard of all its nodes yet.
    """

    IN_FORCE = 'in force'
    IN_FORCE_ON_REACHABLE = 'in force on reachable nodes'
    SPREADING = 'spreading'
    UNKNOWN = 'unknown'


class FleetStatus(Struct, frozen=True):
    """How far the newest release has come, and on whom.

    Parameters
    ----------
    release : Held
        Newest release that any control holds.
    certified : bool
        Whether a majority confirmed that it is the newest.
    state : FleetState
        Verdict.
    in_force : bool
        Whether the state is one of the two ``IN_FORCE`` ones; see
        ``unreachable_nodes`` for the difference.
    confirmed, total : int
        Live nodes that confirmed the release, and live nodes.
    lagging : tuple of NodeStatus
        Live nodes that did not confirm it.
    unreachable_nodes : tuple of NodeStatus
        Nodes whose lease ended less than the retention time ago.
    unreachable_controls : tuple of ControlId
        Controls that did not answer.
    warming_controls : tuple of ControlId
        Controls that restarted less than a lease ago.
    """

    release: Held
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
    """Ask all peers at once for their view.

    Parameters
    ----------
    links : iterable of ControlLink
        Peers.

    Returns
    -------
    replies : list of FleetReply
    unreachable_controls : list of ControlId
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


def newest_statuses(replies):
    """Return the newest status of each node, in order of their ids.

    A node that changed its control occurs in the views of several.
    """
    newest = {}
    for status in (status for reply in replies for status in reply.nodes):
        known = newest.get(status.node_id)
        if known is None or _latest_poll(status) > _latest_poll(known):
            newest[status.node_id] = status
    return [newest[node_id] for node_id in sorted(newest)]


def _latest_poll(status):
    return (status.incarnation, status.sequence)


def _determine_state(known, lagging, unreachable_nodes, release):
    if not known:
        return FleetState.UNKNOWN
    if lagging:
        return FleetState.SPREADING
    if any(status.held != release for status in unreachable_nodes):
        return FleetState.IN_FORCE_ON_REACHABLE
    return FleetState.IN_FORCE


def merge_fleet(replies, unreachable_controls):
    """Merge the views of the controls.

    Parameters
    ----------
    replies : list of FleetReply
        Views of the controls that answered.
    unreachable_controls : list of ControlId
        Controls that did not.

    Returns
    -------
    FleetStatus
    """
    release = max((r.current for r in replies), key=lambda held: held.number)
    certified = any(r.certified and r.current == release for r in replies)
    statuses = newest_statuses(replies)
    live = [status for status in statuses if status.live]
    unreachable_nodes = tuple(status for status in statuses if not status.live)
    lagging = tuple(status for status in live if status.held != release)
    warming = tuple(r.control_id for r in replies if r.warming)
    known = certified and not unreachable_controls and not warming
    state = _determine_state(known, lagging, unreachable_nodes, release)
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
