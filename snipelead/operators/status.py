"""Read-back of releases and of the fleet, from the controls' views."""

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


def _runs(status, held):
    return status.held.number > held.number or status.held == held


def _state(held, current, live, lagging, fleet):
    if held.number < current.number:
        return ReleaseState.SUPERSEDED
    if lagging or not live:
        return ReleaseState.ACCEPTED
    if fleet.unreachable_controls or fleet.warming_controls:
        return ReleaseState.IN_FORCE_WHERE_KNOWN
    return ReleaseState.IN_FORCE


def make_release_status(held, note, current, certified, fleet):
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
    fleet : FleetStatus
        Views of all controls.

    Returns
    -------
    ReleaseStatus
    """
    nodes = newest_statuses(fleet.replies)
    live = [status for status in nodes if status.live]
    lagging = tuple(
        LaggingNode(s.node_id, s.zone, s.held, s.age_ms)
        for s in live
        if not _runs(s, held)
    )
    state = _state(held, current, live, lagging, fleet)
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
        unreachable_controls=tuple(sorted(fleet.unreachable_controls)),
        warming_controls=tuple(sorted(fleet.warming_controls)),
    )


def _control_id(reply):
    return reply.control_id


def make_fleet_status(fleet):
    """Put the controls' views together.

    Parameters
    ----------
    fleet : FleetStatus
        Views of all controls.

    Returns
    -------
    FleetReport
    """
    return FleetReport(
        current=fleet.release,
        certified=fleet.certified,
        controls=tuple(
            ControlStatus(r.control_id, r.zone, r.current, len(r.nodes))
            for r in sorted(fleet.replies, key=_control_id)
        ),
        unreachable_controls=tuple(sorted(fleet.unreachable_controls)),
        warming_controls=tuple(sorted(fleet.warming_controls)),
        nodes=tuple(newest_statuses(fleet.replies)),
        targets=merge_targets(fleet.replies),
    )
