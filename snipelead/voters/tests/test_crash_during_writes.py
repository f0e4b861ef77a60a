from functools import partial

from testtools import TestCase

from snipelead.testing.disk import MemoryDisk
from snipelead.testing.disk import MemoryFiles
from snipelead.testing.simulation import run_simulated
from snipelead.voters.exceptions import StorageWriteError
from snipelead.voters.journal import Journal
from snipelead.voters.messages import Configuration
from snipelead.voters.messages import Entry
from snipelead.voters.messages import Member
from snipelead.voters.state import State
from snipelead.voters.storage import Snapshot
from snipelead.voters.storage import Storage
from snipelead.voters.storage import Vote

SNAPSHOT_ENTRIES = 2
SNAPSHOT_INDEX = 5
SNAPSHOT_TERM = 2
# More than any of the operations makes, opening of the directory included.
MAX_WRITES = 8
CONFIGURATION = Configuration((Member('a', 'epoch', '', ''),))


def make_entries(first, last, term):
    return tuple(Entry(i, term, 0, b'') for i in range(first, last + 1))


def make_snapshot(index=SNAPSHOT_INDEX):
    state = State(CONFIGURATION).encode()
    return Snapshot(index, SNAPSHOT_TERM, state)


async def install_snapshot(journal):
    await journal.install(make_snapshot())


async def install_newer_snapshot(journal):
    await journal.install(make_snapshot(SNAPSHOT_INDEX + 4))


async def compact(journal):
    journal.commit_to(journal.log.last_index)
    await journal.compact()


class CrashDuringWritesTest(TestCase):
    """A control that crashes while it installs a snapshot keeps its log.

    It crashes in each write of an operation, then again in each write after
    its restart. Entries that it acknowledged are in its log at each start.
    """

    def test_joining_control_keeps_acknowledged_entries(self):
        """The log file did not follow the snapshot: no start succeeded."""
        self.check_each_pair_of_crashes((), install_snapshot)

    def test_lagging_control_keeps_acknowledged_entries(self):
        self.check_each_pair_of_crashes(
            make_entries(1, 3, term=1), install_snapshot
        )

    def test_control_with_conflicting_log_keeps_acknowledged_entries(self):
        """Acknowledged entries were dropped along with the replaced log."""
        for last in (SNAPSHOT_INDEX, SNAPSHOT_INDEX + 2):
            self.check_each_pair_of_crashes(
                make_entries(1, last, term=1), install_snapshot
            )

    def test_control_with_older_snapshot_keeps_acknowledged_entries(self):
        self.check_each_pair_of_crashes(
            (), install_snapshot, install_newer_snapshot
        )

    def test_compacting_control_keeps_acknowledged_entries(self):
        self.check_each_pair_of_crashes(make_entries(1, 6, term=1), compact)

    def check_each_pair_of_crashes(self, entries, *operations):
        for first in range(MAX_WRITES):
            for second in range(MAX_WRITES):
                with self.subTest(entries=entries, first=first, second=second):
                    self.check_pair_of_crashes(
                        entries, operations, first, second
                    )

    def check_pair_of_crashes(self, entries, operations, first, second):
        self.disk = MemoryDisk(seed=first)
        self.acknowledged = ()
        self.run_process(partial(self.prepare, entries, operations[:-1]))
        self.run_process(operations[-1], crash_after_writes=first)
        self.run_process(self.append_more, crash_after_writes=second)
        self.run_process(self.append_more)
        last_log = self.run_process(self.append_more)
        self.assertEqual(last_log, self.run_process())
        # Files that a crash left behind are removed.
        self.assertEqual(
            1, sum(name.startswith('log-') for name in self.disk.contents)
        )

    def run_process(self, operation=None, crash_after_writes=None):
        """Open the data directory, run an operation and return the log."""

        async def main():
            self.disk.crash()
            self.disk.crash_after_writes = crash_after_writes
            storage = Storage(MemoryFiles(self.disk))
            journal = Journal(storage, SNAPSHOT_ENTRIES)
            try:
                await journal.open('a')
                self.check_acknowledged(journal.log)
                if operation is not None:
                    await operation(journal)
            except StorageWriteError:
                self.assertIsNotNone(crash_after_writes)
            return journal.log.base_index, journal.log.entries

        return run_simulated(main)

    async def prepare(self, entries, operations, journal):
        await journal.storage.save_vote(Vote(SNAPSHOT_TERM))
        if entries:
            await journal.append_as_follower(entries)
        for operation in operations:
            await operation(journal)

    async def append_more(self, journal):
        first = journal.log.last_index + 1
        entries = make_entries(first, first + 1, SNAPSHOT_TERM)
        await journal.append_as_follower(entries)
        self.acknowledged += entries

    def check_acknowledged(self, log):
        for entry in self.acknowledged:
            self.assertEqual(entry.term, log.term_at(entry.index))
