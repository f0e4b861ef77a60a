"""Rollouts with voters, controls and nodes on an in-memory network."""

from random import Random
from types import SimpleNamespace

import msgspec
from testtools import TestCase
import trio

from snipelead.controls.exceptions import NoQuorumError
from snipelead.controls.tests.mesh import open_mesh
from snipelead.controls.tests.mesh import run_mesh
from snipelead.controls.tests.mesh import wait_until
from snipelead.messages import RolloutPhase
from snipelead.messages import RolloutReport
from snipelead.platform.rollouts import handle_rollouts
from snipelead.rollouts.coordinator import RolloutCoordinator
from snipelead.rollouts.reporter import RolloutReporter
from snipelead.rollouts.tests.fleet import GUARANTEES
from snipelead.settings.schema import ControlSettings
from snipelead.testing.cluster import make_note
from snipelead.testing.disk import MemoryDisk
from snipelead.testing.disk import MemoryFiles
from snipelead.types import TargetState
from snipelead.voters.voter import Voter

ZONES = ('a', 'b', 'c')
NODES = 12
SERVICE = 'service-1'
REQUEST_INTERVAL_S = 0.05
RESPONSE_S = 0.1
DURATION_S = 12
ORDER = {
    'service': SERVICE,
    'target-version': 'v2',
    'duration': f'{DURATION_S}s',
}


class RolloutVoter(Voter):
    """Voter whose control also serves the reports of nodes."""

    coordinator = None

    def handlers(self):
        return super().handlers() | {RolloutReport: self.handle_report}

    async def handle_report(self, request):
        return await self.coordinator.handle_report(request)


class Deployment:
    """Three controls and nodes, each with a target of v1 or v2."""

    def __init__(self, mesh, failing_share=0.0):
        self.mesh = mesh
        self.failing_share = failing_share
        self.random = Random(1)
        self.disks = [MemoryDisk(index) for index in range(len(ZONES))]
        self.controls = [None] * len(ZONES)
        self.nodes = [None] * NODES
        self.total = 0
        self.sent_at = []
        self.old_sent_at = []
        self.bad_at = []

    async def start(self):
        for index in range(len(ZONES)):
            await self.start_control(index)
        for index in range(NODES):
            await self.start_node(index)
        while True:
            try:
                await self.controls[0].source.submit(make_note(1))
                break
            except NoQuorumError:
                await trio.sleep(0.1)
        await wait_until(self.is_complete)

    def is_complete(self):
        return all(
            n.holder.ready and len(n.directory.get_targets(SERVICE)) == NODES
            for n in self.nodes
        )

    async def start_control(self, index):
        peer = self.mesh.peers[index]
        settings = ControlSettings(
            control_id=peer.control_id,
            zone=peer.zone,
            address=peer.address,
            operator_address=peer.address,
            data_dir=peer.control_id,
            peers=self.mesh.peers,
            guarantees=GUARANTEES,
        )
        source = RolloutVoter(
            settings,
            self.mesh.network.transport(peer.address),
            MemoryFiles(self.disks[index]),
            index,
        )
        control = await self.mesh.start_control(index, source)
        source.coordinator = control.service.rollouts = RolloutCoordinator(
            settings, source, control.service
        )
        self.mesh.nursery.start_soon(
            self.run_until_killed, control, source.coordinator.run
        )
        self.controls[index] = control

    async def run_until_killed(self, process, task):
        process.tasks = getattr(process, 'tasks', [])
        with trio.CancelScope() as scope:
            process.tasks.append(scope)
            await task()

    async def kill(self, process):
        for scope in process.tasks:
            scope.cancel()
        process.scope.cancel()
        await trio.sleep(0.01)

    async def start_node(self, index):
        node = await self.mesh.start_node(
            index, ZONES[index % 3], int(trio.current_time() * 1_000) + 1
        )
        node.local_targets.announce(
            f't-{index}',
            SERVICE,
            node.address,
            6,
            130,
            TargetState.SERVING,
            version='v2' if index % 2 else 'v1',
        )
        node.directory.subscribe(SERVICE)
        reporter = RolloutReporter(
            node.settings.node_id,
            node.client.versions,
            node.client.links,
            node.local_targets,
        )
        self.nodes[index] = node
        for task in (reporter.run, lambda: self.call(node)):
            self.mesh.nursery.start_soon(self.run_until_killed, node, task)

    async def call(self, node):
        """Send requests of callers as the call path does."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(
                    REQUEST_INTERVAL_S * self.random.uniform(0.5, 1.5)
                )
                listed = node.directory.get_targets(SERVICE)
                usable = [SimpleNamespace(entry=entry) for entry in listed]
                permitted = node.client.versions.select(
                    SERVICE, usable, listed, trio.current_time(), self.random
                )
                if permitted:
                    entry = self.random.choice(permitted).entry
                    nursery.start_soon(self.send, node, entry)

    async def send(self, node, entry):
        now = trio.current_time()
        is_new = entry.version == 'v2'
        (self.sent_at if is_new else self.old_sent_at).append(now)
        self.total += 1
        attempt = node.client.versions.begin(entry, 'r')
        await trio.sleep(RESPONSE_S * self.random.uniform(0.5, 2))
        failed = is_new and self.random.random() < self.failing_share
        if failed:
            self.bad_at.append(trio.current_time())
        if attempt is not None:
            attempt.record_response(trio.current_time() - now, failed)
            attempt.end()

    async def order(self, index=0, **changes):
        body = msgspec.json.encode(ORDER | changes)
        response = await handle_rollouts(
            self.controls[index].source.coordinator,
            b'POST',
            b'/rollouts',
            body,
        )
        return response.status

    async def read(self, index=0, service=SERVICE):
        response = await handle_rollouts(
            self.controls[index].source.coordinator,
            b'GET',
            f'/rollouts/{service}'.encode(),
            b'',
        )
        if response.status != 200:
            return response.status
        state = msgspec.json.decode(response.body)
        return (state['state'], state['target-version'])

    async def wait_state(self, state, index=0):
        while await self.read(index) != (state, 'v2'):
            await trio.sleep(0.05)

    def leader(self):
        for index, control in enumerate(self.controls):
            if control.source.replica.leadership is not None:
                return index
        return None

    def addresses(self):
        return [p.address for p in self.mesh.peers] + [
            n.address for n in self.nodes
        ]


class FleetTest(TestCase):
    def check_fleet(self, check, **options):
        async def run():
            async with open_mesh(ZONES) as mesh:
                deployment = Deployment(mesh, **options)
                await deployment.start()
                await check(deployment)

        run_mesh(run)

    async def begin(self, deployment, index=0):
        """Order a rollout; counting starts with the order."""
        deployment.total = 0
        deployment.sent_at.clear()
        started_at = trio.current_time()
        self.assertEqual(200, await deployment.order(index))
        self.assertLess(trio.current_time() - started_at, 4)
        return started_at

    def assert_bounded(self, deployment):
        self.assertLessEqual(
            len(deployment.sent_at),
            GUARANTEES.exposure_share * deployment.total
            + GUARANTEES.exposure_extra,
        )
        bad_at = sorted(deployment.bad_at)
        if len(bad_at) >= 50:
            self.assertLess(deployment.sent_at[-1], bad_at[49] + 5)

    def test_leader_counts_the_targets_of_the_new_version(self):
        async def check(deployment):
            await self.begin(deployment)
            await trio.sleep(2)
            leader = deployment.controls[deployment.leader()]
            (controller,) = leader.source.coordinator.controllers.values()
            self.assertEqual(NODES // 2, controller.target_count)

        self.check_fleet(check)

    def test_good_version_completes_and_is_readable_everywhere(self):
        async def check(deployment):
            # Without an order all versions are used alike.
            await trio.sleep(3)
            self.assertGreater(len(deployment.sent_at), 100)
            self.assertEqual(404, await deployment.read())
            follower = (deployment.leader() + 1) % 3
            started_at = await self.begin(deployment, follower)
            for index in range(3):
                # A resent order is acknowledged by every control.
                self.assertEqual(200, await deployment.order(index))
                self.assertEqual(
                    ('running', 'v2'), await deployment.read(index)
                )
                self.assertEqual(
                    409,
                    await deployment.order(index, **{'target-version': 'v3'}),
                )
            await deployment.wait_state('completed')
            self.assertLess(trio.current_time() - started_at, DURATION_S)
            # Old targets stop at once.
            completed_at = trio.current_time()
            await trio.sleep(2)
            self.assertLess(max(deployment.old_sent_at), completed_at)
            self.assertGreater(deployment.sent_at[-1], completed_at + 1)

        self.check_fleet(check)

    def test_malformed_orders_are_refused(self):
        async def check(deployment):
            for changes in (
                {'service': 'unknown'},
                {'duration': '12'},
                {'duration': '0s'},
                {'target-version': ''},
                {'target-version': 5},
            ):
                self.assertEqual(400, await deployment.order(**changes))
            self.assertEqual(404, await deployment.read())

        self.check_fleet(check)

    def test_bad_version_is_rolled_back_for_good(self):
        async def check(deployment):
            await self.begin(deployment)
            await deployment.wait_state('rolled_back')
            self.assert_bounded(deployment)
            ended_at = trio.current_time()
            # A restart of everything changes nothing, nor does a resend.
            for process in [*deployment.controls, *deployment.nodes]:
                await deployment.kill(process)
            for index in range(3):
                await deployment.start_control(index)
            for index in range(NODES):
                await deployment.start_node(index)
            await wait_until(deployment.is_complete)
            await deployment.wait_state('rolled_back', 1)
            await trio.sleep(5)
            late = [at for at in deployment.sent_at if at > ended_at + 2]
            self.assertEqual([], late)
            self.assertGreater(deployment.old_sent_at[-1], ended_at + 5)

        self.check_fleet(check, failing_share=0.3)

    def test_leader_dies_during_a_step(self):
        async def check(deployment):
            started_at = await self.begin(deployment)
            await trio.sleep(4)
            leader = deployment.leader()
            await deployment.kill(deployment.controls[leader])
            await trio.sleep(3)
            other = (leader + 1) % 3
            self.assertEqual(('running', 'v2'), await deployment.read(other))
            self.assert_bounded(deployment)
            await deployment.wait_state('completed', other)
            self.assertLess(trio.current_time() - started_at, DURATION_S)

        self.check_fleet(check)

    def test_node_and_control_that_are_cut_off(self):
        async def check(deployment):
            await self.begin(deployment)
            await trio.sleep(4)
            cut = (deployment.leader() + 1) % 3
            inside = [deployment.mesh.peers[cut].address] + [
                n.address
                for n in deployment.nodes
                if n.settings.zone == ZONES[cut]
            ]
            outside = set(deployment.addresses()) - set(inside)
            for address in inside:
                deployment.mesh.network.isolate(address, outside)
            await trio.sleep(2)
            nodes = [
                n for n in deployment.nodes if n.settings.zone == ZONES[cut]
            ]
            sent = [n.client.versions.count_sent() for n in nodes]
            # The control on the smaller side neither confirms nor accepts.
            self.assertEqual(503, await deployment.read(cut))
            self.assertEqual(
                503, await deployment.order(cut, **{'target-version': 'v3'})
            )
            await trio.sleep(1)
            # Leases have ended, so the nodes send nothing more to v2.
            self.assertEqual(
                sent, [n.client.versions.count_sent() for n in nodes]
            )
            await deployment.wait_state('completed', (cut + 1) % 3)
            deployment.mesh.network.heal()
            await deployment.wait_state('completed', cut)

        self.check_fleet(check)

    def test_restart_of_all_processes_during_a_rollout(self):
        async def check(deployment):
            await self.begin(deployment)
            await trio.sleep(3)
            reserved = max(
                c.source.coordinator.state.by_service[SERVICE].reserved
                for c in deployment.controls
            )
            for process in [*deployment.controls, *deployment.nodes]:
                await deployment.kill(process)
            for index in range(3):
                await deployment.start_control(index)
            for index in range(NODES):
                await deployment.start_node(index)
            await wait_until(deployment.is_complete)
            self.assertEqual(('running', 'v2'), await deployment.read())
            self.assert_bounded(deployment)
            await deployment.wait_state('completed')
            rollout = deployment.controls[0].source.coordinator.state
            rollout = rollout.by_service[SERVICE]
            self.assertIs(RolloutPhase.COMPLETED, rollout.phase)
            self.assertGreaterEqual(rollout.reserved, reserved)

        self.check_fleet(check)
