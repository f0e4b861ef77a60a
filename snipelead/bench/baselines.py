"""Simpler update strategies as baselines for net deltas."""

from enum import Enum

from snipelead.controls.updates import UpdateBuilder
from snipelead.messages import SyncReply
from snipelead.releases.delta import make_delta

__all__ = [
    'SnapshotUpdates',
    'StepUpdates',
    'UpdateStrategy',
    'make_update_builder',
]


class UpdateStrategy(Enum):
    """How nodes are updated from one release to a newer one."""

    NET_DELTA = 'net-delta'
    SNAPSHOT = 'snapshot'
    STEPS = 'steps'


class SnapshotUpdates(UpdateBuilder):
    """Sends a compressed snapshot for every update."""

    def delta_reply(self, held, release):
        """Return None, which makes the control send a snapshot."""
        return


class StepUpdates(UpdateBuilder):
    """Sends one delta per release.

    Requires release numbers without gaps, as the benchmark assigns them.
    """

    def __init__(self, source):
        super().__init__(source)
        self.releases = {}

    def record(self, release):
        """Keep a release as an intermediate step for later updates."""
        self.releases[release.number] = release

    def delta_reply(self, held, release):
        """Return the delta from ``held`` to its successor."""
        base = self.releases.get(held.number)
        number = held.number + 1
        next_release = self.releases.get(number)
        if number == release.number:
            next_release = release
        if base is None or next_release is None:
            return None
        return SyncReply(delta=make_delta(base, next_release))


def make_update_builder(strategy, source):
    """Return the update maker of a strategy."""
    match strategy:
        case UpdateStrategy.NET_DELTA:
            return UpdateBuilder(source)
        case UpdateStrategy.SNAPSHOT:
            return SnapshotUpdates(source)
        case UpdateStrategy.STEPS:
            return StepUpdates(source)
