"""Read-back of releases and of the fleet, from the controls' views."""

from snipelead.controls.fleet import merge_fleet
from snipelead.controls.fleet import newest_statuses
from snipelead.nodes.directory import is_newer
from snipelead.operators.messages import ControlStatus
from snipelead.operators.messages import FleetReport
from snipelead.operators.messages import LaggingNode
from snipelead.operators.messages import ReleaseState
from snipelead.operators.messages import ReleaseStatus
from snipelead.types import TargetState

__all__ = ['make_fleet_status', 'make_release_status']


def merge_targets(replies):
    """Return the newest entry of each target that is not gone."""
    newest = {}
    for reply in replies:
        for entry in reply.targets:
            if is_newer(entry, newest.get(entry.target_id)):
                newest[entry.target_id] = entry
    return tuple(
        newest[target_id]
        for target_id in sorted(newest)
        if newest[target_id].state is not TargetState.GONE
    )


def find_unreachable(peers, replies):
    """Return the ids of the controls that did not answer, in order."""
    answered = {reply.control_id for reply in replies}
    missing = {peer.control_id for peer in peers} - answered
    return tuple(sorted(missing))


def find_warming(replies):
    """Return the ids of the controls that have just started, in order."""
    return tuple(sorted(r.control_id for r in replies if r.warming))


def _runs(status, held):
    return status.held.number > held.number or status.held == held


def _state(held, current, live, lagging, unknown):
    if held.number < current.number:
        return ReleaseState.SUPERSEDED
    if lagging or not live:
        return ReleaseState.ACCEPTED
    if unknown:
        return ReleaseState.IN_FORCE_WHERE_KNOWN
    return ReleaseState.IN_FORCE


def make_release_status(held, note, current, certified, peers, replies):
    """Tell on how many nodes a release is in force.

    Parameters
    ----------
    held : Held
        Release that is asked for.
    note : NoteId or None
        Note that created it.
    current : Held
        Newest accepted release.
    certified : bool
        Whether ``current`` was proved by a majority.
    peers : sequence of Peer
        All controls.
    replies : sequence of FleetReply
        Views of those that answered.

    Returns
    -------
    ReleaseStatus
    """
    nodes = newest_statuses(replies)
    unreachable = find_unreachable(peers, replies)
    warming = find_warming(replies)
    live = [status for status in nodes if status.live]
    lagging = tuple(
        LaggingNode(s.node_id, s.zone, s.held, s.age_ms)
        for s in live
        if not _runs(s, held)
    )
    state = _state(held, current, live, lagging, unreachable + warming)
    return ReleaseStatus(
        held=held,
        note=note,
        state=state,
        in_force=state is ReleaseState.IN_FORCE,
        certified=certified,
        current=current,
        nodes=len(live),
        confirmed=len(live) - len(lagging),
        lagging=lagging,
        silent_nodes=tuple(s.node_id for s in nodes if not s.live),
        unreachable_controls=unreachable,
        warming_controls=warming,
    )


def _count_own(reply, newest):
    # A node that moved occurs in the views of several controls.
    return sum(status in newest for status in reply.nodes)


def _control_id(reply):
    return reply.control_id


def make_fleet_status(peers, replies):
    """Put the controls' views together.

    Parameters
    ----------
    peers : sequence of Peer
        All controls.
    replies : sequence of FleetReply
        Views of those that answered.

    Returns
    -------
    FleetReport
    """
    status = merge_fleet(replies, find_unreachable(peers, replies))
    nodes = newest_statuses(replies)
    return FleetReport(
        current=status.release,
        certified=status.certified,
        state=status.state,
        confirmed=status.confirmed,
        total=status.total,
        controls=tuple(
            ControlStatus(
                r.control_id, r.zone, r.current, _count_own(r, nodes)
            )
            for r in sorted(replies, key=_control_id)
        ),
        unreachable_controls=status.unreachable_controls,
        warming_controls=status.warming_controls,
        nodes=tuple(nodes),
        targets=merge_targets(replies),
    )
