from functools import partial

from msgspec.structs import replace
from testtools import TestCase
import trio

from snipelead.settings.schema import ControlSettings
from snipelead.settings.schema import Peer
from snipelead.testing.cluster import Cluster
from snipelead.testing.cluster import make_note
from snipelead.testing.disk import MemoryDisk
from snipelead.testing.network import MemoryNetwork
from snipelead.testing.simulation import run_simulated
from snipelead.types import MembershipSource
from snipelead.voters.membership import MAX_VOTERS
from snipelead.voters.membership import plan_change
from snipelead.voters.messages import Configuration
from snipelead.voters.messages import Member

SEEDS = 'abc'


class LearnedCluster(Cluster):
    """Voters with three seeds; controls added later have empty disks."""

    founds = True

    def make_settings(self, name):
        peers = tuple(
            Peer(control_id=n, zone='unknown', address=self.address(n))
            for n in SEEDS
        )
        return ControlSettings(
            control_id=name,
            zone=f'zone-{name}',
            address=self.address(name),
            operator_address='127.0.0.1:0',
            data_dir=name,
            peers=peers,
            membership=MembershipSource.LEARNED,
            may_found=self.founds,
            snapshot_entries=self.snapshot_entries,
        )

    def add(self, name):
        """Add a control with a new address and an empty disk."""
        self.names += name
        self.disks[name] = MemoryDisk(f'{self.seed}-{name}')

    def voter_names(self):
        """Return the voters of the leader's configuration once committed."""
        leader = self.leader
        if leader is None:
            return ''
        journal = self.voters[leader].replica.journal
        if journal.commit_index < journal.configurations[-1][0]:
            return ''
        voters = journal.configuration.voters
        return ''.join(sorted(m.control_id for m in voters))

    async def wait_voters(self, names):
        """Wait until exactly the named controls are voters."""
        await self.wait_until(lambda: self.voter_names() == names)


class LearnedMembershipTest(TestCase):
    def run_cluster(self, test, seeds=range(3)):
        for seed in seeds:
            run_simulated(partial(self.run_one, test, seed), seed)

    async def run_one(self, test, seed):
        network = MemoryNetwork(seed)
        async with trio.open_nursery() as nursery:
            cluster = LearnedCluster(SEEDS, network, nursery, seed)
            await cluster.start_all()
            await cluster.wait_voters('abc')
            cluster.founds = False
            await test(cluster)
            for disk in cluster.disks.values():
                disk.crash()
            nursery.cancel_scope.cancel()

    def test_lost_control_is_replaced_at_a_new_address(self):
        async def test(cluster):
            await cluster.voters['a'].submit(make_note(1))
            await cluster.kill('c')
            cluster.add('d')
            await cluster.start('d')
            await cluster.wait_voters('abd')
            # The cluster must tolerate another loss immediately.
            await cluster.kill('a')
            await cluster.wait_leader(other_than='a')
            await cluster.voters['d'].submit(make_note(2))
            self.assertTrue(await cluster.voters['d'].certify())

        self.run_cluster(test)

    def test_controls_are_listed_with_zone_and_address(self):
        async def test(cluster):
            cluster.add('d')
            await cluster.start('d')
            await cluster.wait_voters('abcd')
            places = cluster.voters['d'].controls()
            self.assertEqual(
                {(f'zone-{n}', cluster.address(n)) for n in 'abcd'},
                {(p.zone, p.address) for p in places},
            )

        self.run_cluster(test, range(1))

    def test_silent_control_stays_a_voter_without_a_replacement(self):
        async def test(cluster):
            cluster.isolate('c')
            await trio.sleep(30)
            self.assertEqual('abc', cluster.voter_names())
            cluster.network.heal()
            replica = cluster.voters['c'].replica
            await cluster.wait_until(lambda: replica.leader is not None)
            await cluster.voters['c'].submit(make_note(1))

        self.run_cluster(test)

    def test_removed_control_that_was_only_isolated_rejoins(self):
        async def test(cluster):
            cluster.isolate('c')
            cluster.add('d')
            cluster.network.cut(cluster.address('c'), cluster.address('d'))
            await cluster.start('d')
            await cluster.wait_voters('abd')
            await cluster.voters['d'].submit(make_note(1))
            cluster.network.heal()
            await cluster.wait_voters('abcd')
            await cluster.wait_release(1)

        self.run_cluster(test)

    def test_control_restarts_after_all_its_seeds_were_replaced(self):
        async def test(cluster):
            voters = 'abc'
            for old, new in zip('abc', 'def', strict=True):
                cluster.add(new)
                await cluster.start(new)
                await cluster.wait_voters(voters + new)
                await cluster.kill(old)
                voters = voters[1:] + new
                await cluster.wait_voters(voters)
            await cluster.voters['f'].submit(make_note(1))
            await cluster.kill('f')
            await cluster.start('f')
            await cluster.wait_release(1)

        self.run_cluster(test, range(2))

    def test_no_cluster_is_founded_without_may_found(self):
        async def test(cluster):
            for name in SEEDS:
                await cluster.erase_disk(name)
            for name in SEEDS:
                await cluster.start(name)
            await trio.sleep(30)
            self.assertIsNone(cluster.leader)

        self.run_cluster(test, range(1))

    def test_control_with_a_lost_disk_rejoins_as_another_member(self):
        async def test(cluster):
            await cluster.voters['a'].submit(make_note(1))
            leader = await cluster.wait_leader()
            await cluster.erase_disk(leader)
            await cluster.wait_leader(other_than=leader)
            await cluster.start(leader)
            await cluster.wait_until(cluster.is_fully_formed)
            await cluster.wait_release(1)

        self.run_cluster(test)


class PlanTest(TestCase):
    def setUp(self):
        super().setUp()
        self.members = tuple(Member(name, '1') for name in 'abcdefg')

    def plan(self, voters, learners=(), joins=(), silent=()):
        return plan_change(
            Configuration(voters, learners),
            joins,
            lambda m: True,
            lambda m: m in silent,
        )

    def test_number_of_voters_is_bounded(self):
        voters, more = self.members[:MAX_VOTERS], self.members[MAX_VOTERS:]
        self.assertIsNone(self.plan(voters, more))

    def test_one_voter_is_removed_at_a_time(self):
        voters = self.members[:5]
        change = self.plan(voters, silent=voters[:2])
        self.assertEqual(voters[1:], change.voters)

    def test_silent_voter_is_kept_if_only_three_are_left(self):
        voters = self.members[:3]
        self.assertIsNone(self.plan(voters, silent=voters[:1]))

    def test_silent_learner_is_removed(self):
        voters, learner = self.members[:3], self.members[3:4]
        change = plan_change(
            Configuration(voters, learner),
            (),
            lambda m: False,
            lambda m: m in learner,
        )
        self.assertEqual((), change.learners)

    def test_address_is_part_of_a_member(self):
        member = replace(self.members[0], zone='z', address='10.0.0.1:1')
        self.assertNotEqual(member, self.members[0])
