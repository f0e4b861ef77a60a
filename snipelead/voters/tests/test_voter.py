from testtools import TestCase
import trio
from trio.testing import MockClock

from snipelead.testing.cluster import make_note
from snipelead.testing.cluster import open_cluster
from snipelead.types import OutcomeKind


def run(main):
    return trio.run(main, clock=MockClock(autojump_threshold=0))


class VoterTest(TestCase):
    def test_single_voter_accepts_and_remembers(self):
        async def main():
            async with open_cluster('a') as cluster:
                await cluster.wait_leader()
                reply = await cluster.voters['a'].submit(make_note(1))
                self.assertEqual(OutcomeKind.ACCEPTED, reply.outcome)
                await cluster.kill('a')
                await cluster.start('a')
                await cluster.wait_leader()
                self.assertTrue(await cluster.voters['a'].certify())
                self.assertEqual(1, cluster.voters['a'].current.number)

        run(main)

    def test_followers_forward_and_apply(self):
        async def main():
            async with open_cluster() as cluster:
                await cluster.wait_leader()
                name = cluster.followers[0]
                reply = await cluster.voters[name].submit(make_note(1))
                self.assertEqual(OutcomeKind.ACCEPTED, reply.outcome)
                self.assertTrue(await cluster.voters[name].certify())
                self.assertEqual(reply.held, cluster.voters[name].current.held)
                await cluster.wait_release(1)

        run(main)

    def test_new_leader_after_kill_keeps_what_was_accepted(self):
        async def main():
            async with open_cluster() as cluster:
                old = await cluster.wait_leader()
                await cluster.voters[old].submit(make_note(1))
                await cluster.kill(old)
                new = await cluster.wait_leader()
                await cluster.voters[new].submit(make_note(2))
                await cluster.start(old)
                await cluster.wait_release(2)

        run(main)
