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
    def test_majorities_of_consecutive_configurations_overlap(self):
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

    def test_lagging_learner_is_not_promoted(self):
        learner = Member('b', '2')
        voters = tuple(Member(name, '1') for name in 'abc')
        current = Configuration(voters, (learner,))
        self.assertIsNone(plan_change(current, [learner], lambda m: False))


class ReplacementTest(ClusterCase):
    def test_second_disk_can_be_lost_after_the_first_was_replaced(self):
        async def test(cluster):
            leader = await cluster.wait_leader()
            lost, isolated = cluster.followers
            # The release is stored on the leader and ``lost`` only.
            cluster.isolate(isolated)
            await cluster.voters[leader].submit(make_note(1))
            old = cluster.voters[lost].replica.member
            await cluster.erase_disk(lost)
            cluster.network.heal()
            await cluster.start(lost)
            await cluster.wait_fully_formed()
            self.assertNotEqual(old, cluster.voters[lost].replica.member)
            await cluster.erase_disk(leader)
            await cluster.wait_leader()
            self.assertTrue(await cluster.voters[isolated].certify())
            self.assertEqual(1, cluster.voters[isolated].current.number)
            await cluster.start(leader)
            await cluster.wait_fully_formed()
            await cluster.voters[leader].submit(make_note(2))
            await cluster.wait_release(2)

        self.run_cluster(test)

    def test_control_with_a_lost_disk_does_not_vote_as_its_old_member(self):
        async def test(cluster):
            leader = await cluster.wait_leader()
            lost, isolated = cluster.followers
            cluster.isolate(isolated)
            await cluster.voters[leader].submit(make_note(1))
            old = cluster.voters[lost].replica.member
            await cluster.erase_disk(lost)
            await cluster.kill(leader)
            cluster.network.heal()
            await cluster.start(lost)
            # Two of three processes run, but only one of them is a voter,
            # and it lacks the accepted release.
            await trio.sleep(30)
            self.assertIsNone(cluster.leader)
            with ExpectedException(NoQuorumError):
                await cluster.voters[isolated].submit(make_note(9))
            replica = cluster.voters[isolated].replica
            request = VoteRequest(
                replica.cluster, old, 99, replica.member, 99, 99, False
            )
            with ExpectedException(WrongMemberError):
                await cluster.voters[lost].election.on_vote(request)
            await cluster.start(leader)
            await cluster.wait_fully_formed()
            await cluster.wait_release(1)

        self.run_cluster(test)

    def test_learner_is_not_promoted_before_it_has_caught_up(self):
        async def test(cluster):
            leader = await cluster.wait_leader()
            lost = cluster.followers[0]
            await cluster.voters[leader].submit(make_note(1))
            await cluster.erase_disk(lost)
            await cluster.start(lost)
            # The new member replies to probes but cannot write entries.
            cluster.disks[lost].max_write_time_s = 1e9
            journal = cluster.voters[leader].replica.journal
            await cluster.wait_until(lambda: journal.configuration.learners)
            await trio.sleep(20)
            member = cluster.voters[lost].replica.member
            self.assertNotIn(member, journal.configuration.voters)
            cluster.disks[lost].max_write_time_s = 0.002
            await cluster.kill(lost)
            await cluster.start(lost)
            await cluster.wait_fully_formed()

        self.run_cluster(test)

    def test_old_disk_returning_after_its_replacement_stops_the_voter(self):
        async def test(cluster):
            await cluster.wait_leader()
            lost = cluster.followers[0]
            await cluster.kill(lost)
            old_contents = dict(cluster.disks[lost].contents)
            cluster.disks[lost].erase()
            await cluster.start(lost)
            await cluster.wait_fully_formed()
            await cluster.kill(lost)
            cluster.disks[lost].contents = old_contents
            await cluster.start(lost)
            await cluster.wait_until(lambda: lost in cluster.failures)
            self.assertIsInstance(cluster.failures[lost], MemberReplacedError)

        self.run_cluster(test)

    def test_old_disk_returning_before_its_replacement_stays_a_voter(self):
        async def test(cluster):
            leader = await cluster.wait_leader()
            lost = cluster.followers[0]
            disk = cluster.disks[lost]
            await cluster.kill(lost)
            old_contents = dict(disk.contents)
            disk.erase()
            await cluster.start(lost)
            disk.max_write_time_s = 1e9
            journal = cluster.voters[leader].replica.journal
            await cluster.wait_until(lambda: journal.configuration.learners)
            await cluster.kill(lost)
            disk.contents = old_contents
            disk.max_write_time_s = 0.002
            await cluster.start(lost)
            await cluster.voters[leader].submit(make_note(1))
            await cluster.wait_release(1)
            await cluster.wait_fully_formed()

        self.run_cluster(test)

    def test_old_member_is_not_removed_while_another_voter_is_silent(self):
        async def test(cluster):
            leader = await cluster.wait_leader()
            lost, isolated = cluster.followers
            disk = cluster.disks[lost]
            await cluster.kill(lost)
            old_contents = dict(disk.contents)
            disk.erase()
            await cluster.start(lost)
            # The new member is a learner, but cannot write entries.
            disk.max_write_time_s = 1e9
            journal = cluster.voters[leader].replica.journal
            await cluster.wait_until(
                lambda: journal.state.configuration.learners
            )
            voters = journal.configuration.voters
            cluster.isolate(isolated)
            # Longer than the minimum election timeout, but too short for the
            # leader to step down before the learner has caught up.
            await trio.sleep(0.6)
            self.assertEqual(leader, cluster.leader)
            await cluster.kill(lost)
            disk.max_write_time_s = 0.002
            await cluster.start(lost)
            learner = cluster.voters[lost].replica
            await cluster.wait_until(
                lambda: (
                    learner.journal.log.last_index == journal.log.last_index
                )
            )
            await cluster.wait_until(lambda: cluster.leader is None)
            self.assertEqual(voters, journal.configuration.voters)
            # The old disk returns.
            await cluster.kill(lost)
            disk.contents = old_contents
            await cluster.start(lost)
            leader = await cluster.wait_leader()
            await cluster.voters[leader].submit(make_note(1))
            cluster.network.heal()
            await cluster.wait_release(1)
            await cluster.wait_fully_formed()

        self.run_cluster(test)

    def test_voters_added_to_the_settings_join_the_cluster(self):
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
            await cluster.wait_fully_formed()
            await cluster.wait_release(1)
            for name in 'ab':
                await cluster.kill(name)
            leader = await cluster.wait_leader()
            await cluster.voters[leader].submit(make_note(2))
            await cluster.wait_release(2)

        self.run_cluster(test)

    def test_no_cluster_is_founded_after_a_majority_lost_its_disks(self):
        async def test(cluster):
            leader = await cluster.wait_leader()
            await cluster.voters[leader].submit(make_note(1))
            followers = cluster.followers
            for name in followers:
                await cluster.erase_disk(name)
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

    def test_two_lost_disks_are_replaced_while_both_old_members_count(self):
        async def test(cluster):
            leader = await cluster.wait_leader()
            await cluster.voters[leader].submit(make_note(1))
            lost = cluster.followers[:2]
            for name in lost:
                await cluster.erase_disk(name)
            # Both old members are silent while either one is removed.
            await trio.sleep(5)
            for name in lost:
                await cluster.start(name)
            await cluster.wait_fully_formed()
            await cluster.voters[leader].submit(make_note(2))
            await cluster.wait_release(2)

        self.run_cluster(test)


class FoundingTest(TestCase):
    def test_cluster_is_not_founded_until_all_voters_reply(self):
        async def main():
            async with open_cluster(start=False) as cluster:
                await cluster.start('a')
                await cluster.start('b')
                await trio.sleep(30)
                self.assertIsNone(cluster.leader)
                await cluster.start('c')
                await cluster.wait_fully_formed()

        run_simulated(main)

    def test_founder_that_loses_its_disk_while_founding(self):
        async def main():
            async with open_cluster(start=False) as cluster:
                cluster.network.dropping_links.add(('address-b', 'address-c'))
                await cluster.start_all()
                await cluster.wait_until(
                    lambda: cluster.disks['a'].write_count > 4
                )
                await cluster.erase_disk('a')
                await cluster.start('a')
                cluster.network.heal()
                await cluster.wait_fully_formed()

        run_simulated(main)
