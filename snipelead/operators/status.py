"""Read-back of releases and of the fleet, from the controls' views."""

from snipelead.nodes.directory import is_newer
from snipelead.operators.messages import ControlStatus
from snipelead.operators.messages import FleetStatus
from snipelead.operators.messages import LaggingNode
from snipelead.operators.messages import ReleaseState
from snipelead.operators.messages import ReleaseStatus
from snipelead.types import TargetState

__all__ = ['make_fleet_status', 'make_release_status', 'merge_nodes']


def merge_nodes(replies):
    """Return the newest status of each node, in order of their ids.

    Parameters
    ----------
    replies : sequence of FleetReply
        Views of the controls that answered; a node that changed its control
        occurs in several.
    """
    newest = {}
    for reply in replies:
        for status in reply.nodes:
            if is_newer(status, newest.get(status.node_id)):
                newest[status.node_id] = status
    return tuple(newest[node_id] for node_id in sorted(newest))


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
    """Return the ids of the controls that did not answer."""
    answered = {reply.control_id for reply in replies}
    missing = {peer.control_id for peer in peers} - answered
    return tuple(sorted(missing))


def _runs(status, held):
    return status.held.number > held.number or status.held == held


def _state(held, current, live, lagging, unreachable):
    if held.number < current.number:
        return ReleaseState.SUPERSEDED
    if lagging or not live:
        return ReleaseState.ACCEPTED
    if unreachable:
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
    nodes = merge_nodes(replies)
    live = [status for status in nodes if status.live]
    lagging = tuple(
        LaggingNode(s.node_id, s.zone, s.held, s.age_ms)
        for s in live
        if not _runs(s, held)
    )
    unreachable = find_unreachable(peers, replies)
    state = _state(held, current, live, lagging, unreachable)
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
    )


def make_fleet_status(current, certified, peers, replies):
    """Put the controls' views together; see :func:`make_release_status`."""
    return FleetStatus(
        current=current,
        certified=certified,
        controls=tuple(
            ControlStatus(
                r.control_id, r.zone, r.current, r.certified, len(r.nodes)
            )
            for r in replies
        ),
        unreachable_controls=find_unreachable(peers, replies),
        nodes=merge_nodes(replies),
        targets=merge_targets(replies),
    )
