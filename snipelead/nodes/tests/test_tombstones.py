from testtools import TestCase

from snipelead.messages import TargetEntry
from snipelead.nodes.directory import TargetDirectory
from snipelead.types import TargetState


def make_entry(sequence, state):
    return TargetEntry(
        't', 'n', 'a', 'stock', '127.0.0.1:1', 1, sequence, state
    )


class RepeatedTombstoneTest(TestCase):
    """Guards against a withdrawn target that returns by a delayed entry."""

    def test_tombstone_received_twice_supersedes_older_entry(self):
        directory = TargetDirectory()
        for _ in range(2):
            directory.merge(make_entry(2, TargetState.GONE))
        directory.merge(make_entry(1, TargetState.SERVING))
        self.assertEqual((), directory.get_targets('stock'))
