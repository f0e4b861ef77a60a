"""Proof that a node holds the newest release, on the in-memory network."""

import random

from testtools import TestCase
import trio

from snipelead.authentication.tests.mesh import KEY
from snipelead.authentication.tests.mesh import make_release
from snipelead.authentication.tests.mesh import start_controls
from snipelead.authentication.tests.mesh import suspend
from snipelead.authentication.tests.mesh import ZONES
from snipelead.controls.newest_release import NewestReleaseProof
from snipelead.controls.newest_release import PROOF_TIMEOUT_S
from snipelead.controls.newest_release import ROUND_INTERVAL_S
from snipelead.controls.tests.mesh import NODE_TIMINGS
from snipelead.controls.tests.mesh import open_mesh
from snipelead.controls.tests.mesh import run_mesh
from snipelead.controls.tests.mesh import STABLE_WINDOW_S
from snipelead.controls.tests.mesh import wait_until
from snipelead.messages import LeaseReply

SEEDS = range(30)


class NewestReleaseProofTest(TestCase):
    def run_with_node(self, test, seed=0):
        async def main():
            async with open_mesh(ZONES, handshakes=True) as mesh:
                source = await start_controls(mesh)
                node = await mesh.start_node(0, 'a', timings=NODE_TIMINGS)
                await wait_until(lambda: node.number == 1)
                proof = NewestReleaseProof(node.client.links, node.holder)
                mesh.nursery.start_soon(proof.run)
                await test(mesh, source, node, proof)

        run_mesh(main, seed)

    def isolate(self, mesh, node):
        mesh.network.isolate(
            node.address, [peer.address for peer in mesh.peers]
        )

    def test_node_in_touch_proves_its_release(self):
        async def test(mesh, source, node, proof):
            self.assertTrue(await proof.obtain())
            source.publish(make_release(2, KEY))
            self.assertTrue(await proof.obtain())
            self.assertEqual(2, node.number)

        self.run_with_node(test)

    def test_node_that_was_suspended_gets_the_newest_release(self):
        """Guards against an answer from what it held before."""

        async def test(mesh, source, node, proof):
            await trio.sleep(3)
            source.publish(make_release(2, KEY))
            suspend(3.5)
            self.assertEqual(1, node.number)
            if await proof.obtain():
                self.assertEqual(2, node.number)

        self.run_with_node(test)

    def test_node_that_is_cut_off_proves_nothing(self):
        async def test(mesh, source, node, proof):
            await trio.sleep(3)
            self.isolate(mesh, node)
            source.publish(make_release(2, KEY))
            asked_at = trio.current_time()
            self.assertFalse(await proof.obtain())
            elapsed_s = trio.current_time() - asked_at
            self.assertLessEqual(elapsed_s, PROOF_TIMEOUT_S)
            mesh.network.heal()
            await trio.sleep(STABLE_WINDOW_S)
            self.assertTrue(await proof.obtain())
            self.assertEqual(2, node.number)

        self.run_with_node(test)

    def test_controls_without_a_majority_prove_nothing(self):
        async def test(mesh, source, node, proof):
            source.certification_succeeds = False
            self.assertFalse(await proof.obtain())

        self.run_with_node(test)

    def test_wrong_number_of_a_control_spoils_no_later_proof(self):
        async def test(mesh, source, node, proof):
            calls = proof.links.choose().calls
            call = calls.call

            async def name_later_release(request, timeout_s):
                calls.call = call
                return LeaseReply(2**40)

            calls.call = name_later_release
            self.assertFalse(await proof.obtain())
            self.assertTrue(await proof.obtain())

        self.run_with_node(test)

    def test_requests_share_rounds(self):
        """Guards against a call to a control for each unknown path."""

        async def test(mesh, source, node, proof):
            started_at = trio.current_time()
            for _ in range(20):
                async with trio.open_nursery() as nursery:
                    for _ in range(50):
                        nursery.start_soon(proof.obtain)
            elapsed_s = trio.current_time() - started_at
            self.assertLess(
                proof.rounds.rounds, elapsed_s / ROUND_INTERVAL_S + 2
            )

        self.run_with_node(test)

    def test_proof_covers_each_release_accepted_before(self):
        """Randomised: suspensions, cuts and releases at any time."""
        proved = 0

        async def test(mesh, source, node, proof):
            nonlocal proved
            rng = random.Random(mesh.seed)
            for number in range(2, 12):
                await trio.sleep(rng.uniform(0, 0.5))
                match rng.randrange(4):
                    case 0:
                        self.isolate(mesh, node)
                    case 1:
                        mesh.network.heal()
                    case 2:
                        source.publish(make_release(number, KEY))
                        suspend(rng.uniform(0, 4))
                if rng.random() < 0.5:
                    source.publish(make_release(number, KEY))
                accepted = source.current.number
                if await proof.obtain():
                    proved += 1
                    self.assertGreaterEqual(node.number, accepted)

        for seed in SEEDS:
            self.run_with_node(test, seed)
        self.assertGreater(proved, len(SEEDS))
