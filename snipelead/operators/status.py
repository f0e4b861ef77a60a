"""Status of releases and of the fleet, merged from the views of controls."""

from snipelead.controls.fleet import get_newest_statuses
from snipelead.controls.fleet import merge_fleet
from snipelead.nodes.directory import supersedes
from snipelead.operators.messages import ControlStatus
from snipelead.operators.messages import FleetReport
from snipelead.operators.messages import LaggingNode
from snipelead.operators.messages import ReleaseState
from snipelead.operators.messages import ReleaseStatus
from snipelead.types import TargetState

__all__ = ['make_fleet_report', 'make_release_status']


def merge_targets(replies):
    """Return the newest entries of the targets that are not ``GONE``."""
    newest = {}
    for reply in replies:
        for entry in reply.targets:
            if supersedes(entry, newest.get(entry.target_id)):
                newest[entry.target_id] = entry
    return tuple(
        newest[target_id]
        for target_id in sorted(newest)
        if newest[target_id].state is not TargetState.GONE
    )


def find_unreachable_controls(peers, replies):
    """Return the sorted ids of the controls that did not respond."""
    answering_ids = {reply.control_id for reply in replies}
    missing_ids = {peer.control_id for peer in peers} - answering_ids
    return tuple(sorted(missing_ids))


def find_warming_controls(replies):
    """Return the sorted ids of the controls that started recently."""
    return tuple(sorted(r.control_id for r in replies if r.warming))


def _has_confirmed(status, release):
    return status.held.number > release.number or status.held == release


def _get_release_state(release, current, live, lagging, incomplete_controls):
    if release.number < current.number:
        return ReleaseState.SUPERSEDED
    if lagging or not live:
        return ReleaseState.ACCEPTED
    if incomplete_controls:
        return ReleaseState.IN_FORCE_WHERE_KNOWN
    return ReleaseState.IN_FORCE


def make_release_status(release, note_id, current, certified, peers, replies):
    """Compute the rollout status of a release.

    Parameters
    ----------
    release : ReleaseId
        Release whose status is computed.
    note_id : NoteId or None
        Note that created the release, if known.
    current : ReleaseId
        Newest accepted release.
    certified : bool
        Whether a majority of the controls confirmed ``current``.
    peers : sequence of Peer
        All controls.
    replies : sequence of FleetReply
        Views of the controls that responded.

    Returns
    -------
    ReleaseStatus
    """
    nodes = get_newest_statuses(replies)
    unreachable = find_unreachable_controls(peers, replies)
    warming = find_warming_controls(replies)
    live = [status for status in nodes if status.live]
    lagging = tuple(
        LaggingNode(s.node_id, s.zone, s.held, s.age_ms)
        for s in live
        if not _has_confirmed(s, release)
    )
    state = _get_release_state(
        release, current, live, lagging, unreachable + warming
    )
    return ReleaseStatus(
        held=release,
        note=note_id,
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


def _count_current_nodes(reply, newest):
    # A node that changed its control is in the views of several controls.
    return sum(status in newest for status in reply.nodes)


def _get_control_id(reply):
    return reply.control_id


def make_fleet_report(peers, replies):
    """Merge the views of the controls into one report.

    Parameters
    ----------
    peers : sequence of Peer
        All controls.
    replies : sequence of FleetReply
        Views of the controls that responded.

    Returns
    -------
    FleetReport
    """
    fleet_status = merge_fleet(
        replies, find_unreachable_controls(peers, replies)
    )
    nodes = get_newest_statuses(replies)
    return FleetReport(
        current=fleet_status.release,
        certified=fleet_status.certified,
        state=fleet_status.state,
        confirmed=fleet_status.confirmed,
        total=fleet_status.total,
        controls=tuple(
            ControlStatus(
                r.control_id, r.zone, r.current, _count_current_nodes(r, nodes)
            )
            for r in sorted(replies, key=_get_control_id)
        ),
        unreachable_controls=fleet_status.unreachable_controls,
        warming_controls=fleet_status.warming_controls,
        nodes=tuple(nodes),
        targets=merge_targets(replies),
    )
