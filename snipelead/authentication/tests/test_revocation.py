"""A revoked key is refused within the bound, whatever befalls the node."""

import random

from testtools import TestCase
import trio

from snipelead.authentication.tests.mesh import KEY
from snipelead.authentication.tests.mesh import LeasingNode
from snipelead.authentication.tests.mesh import make_release
from snipelead.authentication.tests.mesh import REVOCATION_MS
from snipelead.authentication.tests.mesh import start_controls
from snipelead.authentication.tests.mesh import suspend
from snipelead.authentication.tests.mesh import ZONES
from snipelead.controls.tests.mesh import CONTROL_TIMINGS
from snipelead.controls.tests.mesh import open_mesh
from snipelead.controls.tests.mesh import run_mesh
from snipelead.controls.tests.mesh import STABLE_WINDOW_S
from snipelead.controls.tests.mesh import wait_until
from snipelead.testing.source import FakeSource

BOUND_S = REVOCATION_MS / 1_000
# A node that is cut off must still serve for this time.
SERVED_SHARE = 0.6
ACCEPTED, UNKNOWN, NO_LEASE = '', 'SL3031', 'SL3032'


class RevocationTest(TestCase):
    def run_with_node(self, test):
        """Run a test with three controls and a node that accepts the key."""

        async def main():
            async with open_mesh(ZONES, handshakes=True) as mesh:
                source = await start_controls(mesh)
                node = await LeasingNode.start(mesh)
                await wait_until(lambda: node.try_key() == ACCEPTED)
                await test(mesh, source, node)

        run_mesh(main)

    def isolate(self, mesh, node):
        mesh.network.isolate(
            node.node.address, [peer.address for peer in mesh.peers]
        )

    def test_node_in_touch_follows_within_two_seconds(self):
        async def test(mesh, source, node):
            self.assertEqual(UNKNOWN, node.try_key('k-new'))
            source.publish(make_release(2, 'k-new'))
            await trio.sleep(2)
            self.assertEqual(UNKNOWN, node.try_key())
            self.assertEqual(ACCEPTED, node.try_key('k-new'))

        self.run_with_node(test)

    def test_node_that_is_cut_off(self):
        async def test(mesh, source, node):
            await trio.sleep(10)
            self.isolate(mesh, node)
            source.publish(make_release(2))
            acknowledged_at = trio.current_time()
            await trio.sleep(SERVED_SHARE * BOUND_S)
            self.assertEqual(ACCEPTED, node.try_key())
            await trio.sleep_until(acknowledged_at + BOUND_S)
            # Neither a key that it knows nor another one: it cannot tell.
            self.assertEqual(NO_LEASE, node.try_key())
            self.assertEqual(NO_LEASE, node.try_key('k-new'))
            await trio.sleep(60)
            self.assertEqual(NO_LEASE, node.try_key())
            mesh.network.heal()
            with trio.fail_after(STABLE_WINDOW_S):
                await wait_until(lambda: node.try_key() == UNKNOWN)

        self.run_with_node(test)

    def test_node_that_was_suspended(self):
        """The first request after the suspension comes before any task."""

        async def test(mesh, source, node):
            source.publish(make_release(2))
            suspend(BOUND_S)
            self.assertEqual(NO_LEASE, node.try_key())

        self.run_with_node(test)

    def test_reply_that_arrives_after_a_suspension(self):
        """Guards against a lease that is counted from the reply."""

        async def test(mesh, source, node):
            for link in node.client.links.links:
                link.calls.call = delay_replies(link.calls.call)
            self.assertTrue(await node.client.renew())
            self.assertEqual(NO_LEASE, node.try_key())

        def delay_replies(call):
            async def call_slowly(request, timeout_s):
                reply = await call(request, timeout_s)
                suspend(BOUND_S)
                return reply

            return call_slowly

        self.run_with_node(test)

    def test_node_that_was_frozen(self):
        """Messages are held meanwhile, and all arrive when it is thawed."""

        async def test(mesh, source, node):
            mesh.network.freeze(node.node.address)
            source.publish(make_release(2))
            suspend(BOUND_S)
            mesh.network.thaw(node.node.address)
            while node.node.number == 1:
                self.assertEqual(NO_LEASE, node.try_key())
                await trio.sleep(0.001)
            await wait_until(lambda: node.try_key() == UNKNOWN)

        self.run_with_node(test)

    def test_node_that_was_restarted_has_no_lease(self):
        async def test(mesh, source, node):
            node.node.scope.cancel()
            self.isolate(mesh, node)
            restarted = await LeasingNode.start(mesh)
            restarted.node.holder.replace(make_release(1, KEY))
            for _ in range(100):
                self.assertEqual(NO_LEASE, restarted.try_key())
                await trio.sleep(0.1)

        self.run_with_node(test)

    def test_node_behind_a_control_that_is_cut_off(self):
        """The control answers, does not know it, and cannot certify."""

        async def main():
            async with open_mesh(('a',)) as mesh:
                source = FakeSource()
                source.publish(make_release(1, KEY))
                await mesh.start_control(0, source, timings=CONTROL_TIMINGS)
                node = await LeasingNode.start(mesh)
                await wait_until(lambda: node.try_key() == ACCEPTED)
                source.certification_succeeds = False
                await trio.sleep(BOUND_S)
                self.assertEqual(NO_LEASE, node.try_key())
                await trio.sleep(60)
                self.assertEqual(NO_LEASE, node.try_key())

        run_mesh(main)

    def test_lease_for_a_release_that_the_node_lacks(self):
        """Guards against a new lease that makes an old release valid."""

        async def main():
            async with open_mesh(('a',)) as mesh:
                source = await start_controls(mesh)
                node = await LeasingNode.start(mesh)
                await wait_until(lambda: node.try_key() == ACCEPTED)
                node.node.scope.cancel()
                await node.client.links.links[0].calls.reset()
                source.publish(make_release(2))
                await trio.sleep(BOUND_S)
                self.assertEqual(2, node.authenticator.leases.newest_release)
                self.assertEqual(1, node.node.number)
                self.assertEqual(NO_LEASE, node.try_key())

        run_mesh(main)

    def test_lease_lasts_while_one_control_is_dead(self):
        """Each node has more than 0.6 of the bound left at any time."""

        async def test(mesh, source, node):
            await trio.sleep(5)
            for peer in mesh.peers:
                mesh.network.cut(node.node.address, peer.address)
                for _ in range(2_000):
                    await trio.sleep(0.01)
                    left_s = node.authenticator.lease_remaining_s()
                    self.assertGreater(left_s, SERVED_SHARE * BOUND_S)
                mesh.network.heal()
                await trio.sleep(BOUND_S)

        self.run_with_node(test)

    def test_random_faults(self):
        for seed in range(12):
            self.check_random_faults(seed)

    def check_random_faults(self, seed):
        rng = random.Random(seed)

        async def main():
            async with open_mesh(
                ZONES, seed=seed, max_delay_s=0.2, loss_probability=0.02
            ) as mesh:
                source = await start_controls(mesh)
                nodes = [
                    await LeasingNode.start(mesh, index, zone)
                    for index, zone in enumerate(ZONES)
                ]
                acknowledged_at = {}
                for number in range(2, 12):
                    source.publish(make_release(number, f'k-{number}'))
                    acknowledged_at[f'k-{number - 1}'] = trio.current_time()
                    for _ in range(rng.randrange(60)):
                        self.disturb(mesh, nodes, rng)
                        await trio.sleep(rng.random() / 5)
                        self.check_keys(nodes, acknowledged_at)
                mesh.network.heal()
                await wait_until(
                    lambda: all(n.try_key('k-11') == ACCEPTED for n in nodes)
                )

        run_mesh(main, seed)

    def disturb(self, mesh, nodes, rng):
        node = rng.choice(nodes)
        address = node.node.address
        match rng.randrange(12):
            case 0:
                self.isolate(mesh, node)
            case 1:
                mesh.network.cut(address, rng.choice(mesh.peers).address)
            case 2:
                mesh.network.freeze(address)
            case 3:
                mesh.network.thaw(address)
            case 4:
                mesh.network.heal()
            case 5:
                suspend(rng.random() * 6)

    def check_keys(self, nodes, acknowledged_at):
        now = trio.current_time()
        for key, removed_at in acknowledged_at.items():
            if now - removed_at >= BOUND_S:
                for node in nodes:
                    self.assertNotEqual(ACCEPTED, node.try_key(key), key)
