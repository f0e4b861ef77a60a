import random

from testtools import ExpectedException
from testtools import TestCase
import trio

from snipelead.exceptions import InvariantError
from snipelead.settings.schema import ControlSettings
from snipelead.testing.disk import MemoryDisk
from snipelead.testing.disk import MemoryFiles
from snipelead.testing.simulation import run_simulated
from snipelead.voters.messages import AppendRequest
from snipelead.voters.messages import Configuration
from snipelead.voters.messages import Entry
from snipelead.voters.messages import InstallRequest
from snipelead.voters.messages import Member
from snipelead.voters.replica import Replica
from snipelead.voters.replication import Replication
from snipelead.voters.state import State
from snipelead.voters.storage import Storage
from snipelead.voters.storage import Vote

LEADER = Member('b', '1')
OTHER = Member('c', '1')


def make_entries(first, last, term):
    return tuple(Entry(i, term, 0) for i in range(first, last + 1))


class ReplicaTest(TestCase):
    """Tests of one replica that receives hand-made messages."""

    def run_replica(self, test):
        async def main():
            settings = ControlSettings(
                control_id='a',
                zone='a',
                address='a',
                operator_address='a',
                data_dir='a',
                peers=(),
            )
            storage = Storage(MemoryFiles(MemoryDisk()))
            replica = Replica(settings, storage, random.Random(1))
            replica.on_step_down = lambda: None
            await replica.open()
            self.voters = (replica.member, LEADER, OTHER)
            await test(replica, Replication(replica, None))

        run_simulated(main)

    async def append(self, replication, term, new, commit=0, leader=LEADER):
        log = replication.replica.journal.log
        previous = new[0].index - 1
        return await replication.on_append(
            AppendRequest(
                'cluster',
                replication.replica.member,
                term,
                leader,
                previous,
                log.term_at(previous) or 0,
                new,
                commit,
                0,
            )
        )

    async def install(self, replication, term, index, index_term):
        return await replication.on_install(
            InstallRequest(
                'cluster',
                replication.replica.member,
                term,
                LEADER,
                index,
                index_term,
                State(Configuration(self.voters)).encode(),
                0,
            )
        )

    def test_entries_of_earlier_terms_are_not_committed_by_counting(self):
        async def test(replica, replication):
            await self.install(replication, 1, 1, 1)
            await self.append(replication, 2, make_entries(2, 3, 2), 1)
            async with replica.exclusive():
                await replica.save_vote(Vote(4, replica.member))
                await replica.become_leader()
            progress = replica.leadership.progress_of(OTHER)
            progress.match_index = 3
            replica.advance_commit()
            self.assertEqual(1, replica.journal.commit_index)
            progress.match_index = 4
            replica.advance_commit()
            self.assertEqual(4, replica.journal.commit_index)

        self.run_replica(test)

    def test_new_leader_confirms_no_read_before_committing_its_own_entry(self):
        async def test(replica, replication):
            await self.install(replication, 1, 1, 1)
            # Entry 3 may be committed; the new leader cannot know that yet.
            await self.append(replication, 2, make_entries(2, 3, 2), 1)
            async with replica.exclusive():
                await replica.save_vote(Vote(4, replica.member))
                await replica.become_leader()
            progress = replica.leadership.progress_of(OTHER)
            progress.acked_barrier_round = 99
            indexes = []

            async def confirm_leadership():
                indexes.append(await replication.confirm_leadership())

            async with trio.open_nursery() as nursery:
                nursery.start_soon(confirm_leadership)
                await trio.sleep(1)
                self.assertEqual([], indexes)
                progress.match_index = 4
                replica.advance_commit()
            self.assertEqual([4], indexes)

        self.run_replica(test)

    def test_late_snapshot_keeps_acknowledged_entries(self):
        async def test(replica, replication):
            await self.install(replication, 1, 1, 1)
            reply = await self.append(replication, 1, make_entries(2, 9, 1), 1)
            self.assertEqual(9, reply.match_index)
            await self.install(replication, 1, 5, 1)
            self.assertEqual(9, replica.journal.log.last_index)
            self.assertEqual(5, replica.journal.commit_index)

        self.run_replica(test)

    def test_late_append_does_not_shorten_the_log(self):
        async def test(replica, replication):
            await self.append(replication, 1, make_entries(1, 9, 1))
            reply = await self.append(replication, 1, make_entries(1, 4, 1))
            self.assertEqual(4, reply.match_index)
            self.assertEqual(9, replica.journal.log.last_index)

        self.run_replica(test)

    def test_append_of_an_earlier_term_is_refused(self):
        async def test(replica, replication):
            await self.append(replication, 3, make_entries(1, 1, 3))
            reply = await self.append(replication, 2, make_entries(2, 2, 2))
            self.assertFalse(reply.success)
            self.assertEqual(1, replica.journal.log.last_index)

        self.run_replica(test)

    def test_overwriting_a_committed_entry_stops_the_replica(self):
        async def test(replica, replication):
            await self.append(replication, 1, make_entries(1, 4, 1), 4)
            with ExpectedException(InvariantError):
                await self.append(replication, 2, make_entries(3, 3, 2))
            self.assertIsInstance(replica.failure, InvariantError)
            with ExpectedException(InvariantError):
                await self.append(replication, 2, make_entries(5, 5, 2))

        self.run_replica(test)

    def test_second_leader_of_a_term_violates_an_invariant(self):
        async def test(replica, replication):
            await self.append(replication, 1, make_entries(1, 1, 1))
            with ExpectedException(InvariantError):
                await self.append(
                    replication, 1, make_entries(2, 2, 1), leader=OTHER
                )

        self.run_replica(test)

    def test_term_never_decreases_and_vote_never_changes(self):
        async def test(replica, replication):
            await replica.save_vote(Vote(5, LEADER))
            for vote in (Vote(4), Vote(5, OTHER), Vote(5)):
                with ExpectedException(InvariantError):
                    await replica.save_vote(vote)

        self.run_replica(test)
