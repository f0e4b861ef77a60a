"""Simpler ways to distribute releases, to measure against."""

from enum import Enum

from snipelead.controls.updates import UpdateMaker
from snipelead.messages import SyncReply
from snipelead.releases.delta import make_delta

__all__ = ['SnapshotUpdates', 'StepUpdates', 'Way', 'make_updates']


class Way(Enum):
    """How nodes are brought from one release to a newer one."""

    NET_DELTA = 'net-delta'
    SNAPSHOT = 'snapshot'
    STEPS = 'steps'


class SnapshotUpdates(UpdateMaker):
    """Sends a whole compressed snapshot each time."""

    def delta(self, held, release):
        """Return None, so that a snapshot is sent."""
        return


class StepUpdates(UpdateMaker):
    """Sends the delta to the next release only, one after another.

    Numbers of releases follow each other without gaps in the bench.
    """

    def __init__(self, source):
        super().__init__(source)
        self.releases = {}

    def record(self, release):
        """Remember a release that nodes may have to pass through."""
        self.releases[release.number] = release

    def delta(self, held, release):
        """Return the delta from ``held`` to its successor."""
        base = self.releases.get(held.number)
        number = held.number + 1
        following = self.releases.get(number)
        if number == release.number:
            following = release
        if base is None or following is None:
            return None
        return SyncReply(delta=make_delta(base, following))


def make_updates(way, source):
    """Return the maker of updates for one way."""
    match way:
        case Way.NET_DELTA:
            return UpdateMaker(source)
        case Way.SNAPSHOT:
            return SnapshotUpdates(source)
        case Way.STEPS:
            return StepUpdates(source)
