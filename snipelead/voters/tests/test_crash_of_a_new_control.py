from testtools import TestCase
import trio

from snipelead.testing.cluster import make_note
from snipelead.testing.cluster import open_cluster
from snipelead.testing.simulation import run_simulated

# A control that founds or joins has written its first log after fewer writes.
MAX_WRITES = 9
# Enough for two of the three controls to elect a leader and commit.
QUIET_S = 1.5


class NewControlCrashTest(TestCase):
    """A control crashes twice while it founds a cluster or joins one.

    It crashes in each write, and in each write of its next start. It starts
    again each time, and no release that was accepted is lost.
    """

    def check_each_pair_of_crashes(self, check):
        for first in range(MAX_WRITES):
            for second in range(MAX_WRITES):
                with self.subTest(first=first, second=second):
                    run_simulated(lambda f=first, s=second: check((f, s)))

    async def crash(self, cluster, name, write_counts):
        """Start a control once for each crash, then for good."""
        for write_count in write_counts:
            cluster.kill_after_writes(name, write_count)
            await cluster.start(name)
            with trio.move_on_after(QUIET_S):
                while name in cluster.voters:
                    await trio.sleep(0.01)
            await cluster.kill(name)
        await cluster.start(name)

    async def check_cluster(self, cluster, name, number):
        """Check that each control counts: any two of them go on."""
        await cluster.wait_fully_formed()
        await cluster.kill(name)
        await cluster.start(name)
        await cluster.wait_fully_formed()
        lost = next(n for n in cluster.names if n != name)
        await cluster.erase_disk(lost)
        leader = await cluster.wait_leader()
        await cluster.voters[leader].submit(make_note(number))
        await cluster.wait_release(number)
        accepted = {f'service-{n}' for n in range(1, number + 1)}
        for voter in cluster.voters.values():
            self.assertEqual(accepted, set(voter.current.services))

    def test_control_that_joins(self):
        async def check(write_counts):
            async with open_cluster() as cluster:
                await cluster.wait_fully_formed()
                leader = await cluster.wait_leader()
                await cluster.voters[leader].submit(make_note(1))
                await cluster.wait_release(1)
                name = cluster.followers[0]
                await cluster.erase_disk(name)
                await self.crash(cluster, name, write_counts)
                await self.check_cluster(cluster, name, 2)

        self.check_each_pair_of_crashes(check)

    def test_control_that_founds(self):
        async def check(write_counts):
            async with open_cluster(start=False) as cluster:
                for name in 'bc':
                    await cluster.start(name)
                await self.crash(cluster, 'a', write_counts)
                await self.check_cluster(cluster, 'a', 1)

        self.check_each_pair_of_crashes(check)
