from itertools import combinations

from testtools import ExpectedException
from testtools import TestCase
import trio

from snipelead.controls.exceptions import NoQuorumError
from snipelead.testing.cluster import make_note
from snipelead.testing.cluster import open_cluster
from snipelead.testing.disk import MemoryDisk
from snipelead.testing.simulation import run_simulated
from snipelead.voters.exceptions import MemberReplacedError
from snipelead.voters.exceptions import QuorumLostError
from snipelead.voters.exceptions import WrongMemberError
from snipelead.voters.membership import plan_change
from snipelead.voters.messages import Configuration
from snipelead.voters.messages import Member
from snipelead.voters.messages import VoteRequest
from snipelead.voters.tests.test_voter import ClusterCase


def majorities(configuration):
    return combinations(configuration.voters, configuration.majority)


class PlanTest(TestCase):
    def test_neighbouring_majorities_always_meet(self):
        old = tuple(Member(name, '1') for name in 'abc')
        new = Member('b', '2')
        current = Configuration(old)
        steps = []
        while current is not None:
            steps.append(current)
            current = plan_change(current, [new], lambda m: True)
        self.assertEqual({old[0], new, old[2]}, set(steps[-1].voters))
        for before, after in zip(steps, steps[1:], strict=False):
            for one in majorities(before):
                for other in majorities(after):
                    self.assertTrue(set(one) & set(other))

    def test_learner_that_lags_is_not_counted(self):
        learner = Member('b', '2')
        voters = tuple(Member(name, '1') for name in 'abc')
        current = Configuration(voters, (learner,))
        self.assertIsNone(plan_change(current, [learner], lambda m: False))


class ReplacementTest(ClusterCase):
    def test_lost_disk_comes_back_as_a_new_member_and_a_second_is_lost(self):
        async def test(cluster):
            leader = await cluster.wait_leader()
            one, other = cluster.followers
            # What is accepted is on the leader and ``one`` only.
            cluster.cut_off(other)
            await cluster.voters[leader].submit(make_note(1))
            old = cluster.voters[one].replica.member
            await cluster.lose_disk(one)
            cluster.network.heal()
            await cluster.start(one)
            await cluster.wait_whole()
            self.assertNotEqual(old, cluster.voters[one].replica.member)
            await cluster.lose_disk(leader)
            await cluster.wait_leader()
            self.assertTrue(await cluster.voters[other].certify())
            self.assertEqual(1, cluster.voters[other].current.number)
            await cluster.start(leader)
            await cluster.wait_whole()
            await cluster.voters[leader].submit(make_note(2))
            await cluster.wait_release(2)

        self.run_cluster(test)

    def test_lost_disk_does_not_vote_in_its_old_name(self):
        async def test(cluster):
            leader = await cluster.wait_leader()
            one, other = cluster.followers
            cluster.cut_off(other)
            await cluster.voters[leader].submit(make_note(1))
            old = cluster.voters[one].replica.member
            await cluster.lose_disk(one)
            await cluster.kill(leader)
            cluster.network.heal()
            await cluster.start(one)
            # Two of three processes run, but only one of them is a voter
            # that may be asked; it lacks the accepted release.
            await trio.sleep(30)
            self.assertIsNone(cluster.leader)
            with ExpectedException(NoQuorumError):
                await cluster.voters[other].submit(make_note(9))
            replica = cluster.voters[other].replica
            request = VoteRequest(
                replica.cluster, old, 99, replica.member, 99, 99, False
            )
            with ExpectedException(WrongMemberError):
                await cluster.voters[one].election.on_vote(request)
            await cluster.start(leader)
            await cluster.wait_whole()
            await cluster.wait_release(1)

        self.run_cluster(test)

    def test_learner_is_not_a_voter_before_it_has_caught_up(self):
        async def test(cluster):
            leader = await cluster.wait_leader()
            one = cluster.followers[0]
            await cluster.voters[leader].submit(make_note(1))
            await cluster.lose_disk(one)
            await cluster.start(one)
            # The new member answers probes but cannot write entries.
            cluster.disks[one].max_write_s = 1e9
            journal = cluster.voters[leader].replica.journal
            await cluster.wait_until(lambda: journal.configuration.learners)
            await trio.sleep(20)
            member = cluster.voters[one].replica.member
            self.assertNotIn(member, journal.configuration.voters)
            cluster.disks[one].max_write_s = 0.002
            await cluster.kill(one)
            await cluster.start(one)
            await cluster.wait_whole()

        self.run_cluster(test)

    def test_old_disk_that_returns_stops(self):
        async def test(cluster):
            await cluster.wait_leader()
            one = cluster.followers[0]
            await cluster.kill(one)
            saved = dict(cluster.disks[one].contents)
            cluster.disks[one].erase()
            await cluster.start(one)
            await cluster.wait_whole()
            await cluster.kill(one)
            cluster.disks[one].contents = saved
            await cluster.start(one)
            await cluster.wait_until(lambda: one in cluster.failures)
            self.assertIsInstance(cluster.failures[one], MemberReplacedError)

        self.run_cluster(test)

    def test_old_disk_that_returns_before_it_is_replaced_goes_on(self):
        async def test(cluster):
            leader = await cluster.wait_leader()
            one = cluster.followers[0]
            disk = cluster.disks[one]
            await cluster.kill(one)
            saved = dict(disk.contents)
            disk.erase()
            await cluster.start(one)
            disk.max_write_s = 1e9
            journal = cluster.voters[leader].replica.journal
            await cluster.wait_until(lambda: journal.configuration.learners)
            await cluster.kill(one)
            disk.contents = saved
            disk.max_write_s = 0.002
            await cluster.start(one)
            await cluster.voters[leader].submit(make_note(1))
            await cluster.wait_release(1)
            await cluster.wait_whole()

        self.run_cluster(test)

    def test_old_member_stays_while_another_voter_is_silent(self):
        async def test(cluster):
            leader = await cluster.wait_leader()
            one, other = cluster.followers
            disk = cluster.disks[one]
            await cluster.kill(one)
            saved = dict(disk.contents)
            disk.erase()
            await cluster.start(one)
            # The new member is a learner, but cannot write entries.
            disk.max_write_s = 1e9
            journal = cluster.voters[leader].replica.journal
            await cluster.wait_until(
                lambda: journal.state.configuration.learners
            )
            voters = journal.configuration.voters
            cluster.cut_off(other)
            # Longer than the least election timeout, but not long enough
            # for the leader to step down before the learner has caught up.
            await trio.sleep(0.6)
            self.assertEqual(leader, cluster.leader)
            await cluster.kill(one)
            disk.max_write_s = 0.002
            await cluster.start(one)
            learner = cluster.voters[one].replica
            await cluster.wait_until(
                lambda: (
                    learner.journal.log.last_index == journal.log.last_index
                )
            )
            await cluster.wait_until(lambda: cluster.leader is None)
            self.assertEqual(voters, journal.configuration.voters)
            # The old disk was not lost after all.
            await cluster.kill(one)
            disk.contents = saved
            await cluster.start(one)
            leader = await cluster.wait_leader()
            await cluster.voters[leader].submit(make_note(1))
            cluster.network.heal()
            await cluster.wait_release(1)
            await cluster.wait_whole()

        self.run_cluster(test)

    def test_voters_added_to_the_settings_are_taken_in(self):
        async def test(cluster):
            leader = await cluster.wait_leader()
            await cluster.voters[leader].submit(make_note(1))
            cluster.names = 'abcde'
            for name in 'abc':
                await cluster.kill(name)
                await cluster.start(name)
                await cluster.wait_leader()
            for name in 'de':
                cluster.disks[name] = MemoryDisk()
                await cluster.start(name)
            await cluster.wait_whole()
            await cluster.wait_release(1)
            for name in 'ab':
                await cluster.kill(name)
            leader = await cluster.wait_leader()
            await cluster.voters[leader].submit(make_note(2))
            await cluster.wait_release(2)

        self.run_cluster(test)

    def test_all_but_one_lost_founds_nothing(self):
        async def test(cluster):
            leader = await cluster.wait_leader()
            await cluster.voters[leader].submit(make_note(1))
            followers = cluster.followers
            for name in followers:
                await cluster.lose_disk(name)
            for name in followers:
                await cluster.start(name)
            await trio.sleep(30)
            self.assertIsNone(cluster.leader)
            for name in followers:
                self.assertFalse(await cluster.voters[name].certify())
                with ExpectedException(QuorumLostError):
                    await cluster.voters[name].submit(make_note(2))
            with ExpectedException(NoQuorumError):
                await cluster.voters[leader].submit(make_note(2))
            self.assertEqual(1, cluster.voters[leader].current.number)

        self.run_cluster(test)


class FiveVotersTest(ClusterCase):
    names = 'abcde'

    def test_two_lost_disks_are_replaced_while_both_old_ones_count(self):
        async def test(cluster):
            leader = await cluster.wait_leader()
            await cluster.voters[leader].submit(make_note(1))
            lost = cluster.followers[:2]
            for name in lost:
                await cluster.lose_disk(name)
            # Each old member is silent while the other one is removed.
            await trio.sleep(5)
            for name in lost:
                await cluster.start(name)
            await cluster.wait_whole()
            await cluster.voters[leader].submit(make_note(2))
            await cluster.wait_release(2)

        self.run_cluster(test)


class FoundingTest(TestCase):
    def test_missing_voter_delays_the_first_start(self):
        async def main():
            async with open_cluster(start=False) as cluster:
                await cluster.start('a')
                await cluster.start('b')
                await trio.sleep(30)
                self.assertIsNone(cluster.leader)
                await cluster.start('c')
                await cluster.wait_whole()

        run_simulated(main)

    def test_founder_killed_while_founding(self):
        async def main():
            async with open_cluster(start=False) as cluster:
                cluster.network.silent.add(('address-b', 'address-c'))
                await cluster.start_all()
                await cluster.wait_until(lambda: cluster.disks['a'].writes > 4)
                await cluster.lose_disk('a')
                await cluster.start('a')
                cluster.network.heal()
                await cluster.wait_whole()

        run_simulated(main)
