"""Choice of versions and counting of requests in the call path of nodes."""

from types import SimpleNamespace

import trio

from snipelead.callers.tests.fakes import Caller
from snipelead.callers.tests.fakes import CallPathTestCase
from snipelead.callers.tests.fakes import FakeNode
from snipelead.daemons.control import ControlDaemon
from snipelead.daemons.node import NodeDaemon
from snipelead.messages import Grant
from snipelead.messages import Rollout
from snipelead.messages import RolloutPhase
from snipelead.messages import RolloutUpdate
from snipelead.rollouts.selector import VersionSelector
from snipelead.rollouts.tests.fleet import GUARANTEES
from snipelead.settings.schema import ControlSettings
from snipelead.settings.schema import Guarantees
from snipelead.testing.network import MemoryNetwork
from snipelead.types import TargetState


async def send_server_error(connection, request, body):
    await connection.send(
        b'HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n'
    )


class VersionsInCallPathTest(CallPathTestCase):
    """Requests are sent to n1; n1 has a target of v1, n2 and n3 of v2."""

    def setUp(self):
        super().setUp()
        self.nodes = [FakeNode(f'n{n}') for n in (1, 2, 3)]
        self.versions = VersionSelector()
        self.nodes[0].path.versions = self.versions

    def announce_versions(self):
        for node, version in zip(self.nodes, ('v1', 'v2', 'v2'), strict=True):
            node.local_targets.announce(
                node.target_id,
                'stock',
                node.target.address,
                node.slots,
                130,
                TargetState.SERVING,
                version=version,
            )
        self.nodes[0].merge_targets_of(*self.nodes)

    def set_phase(self, phase, approved=('v1',), rejected=()):
        rollout = Rollout(7, 'stock', 'v2', 9_000, 0, phase, approved)
        self.versions.apply(RolloutUpdate(phase.value, (rollout,)))

    def grant(self, limit, lease_ms=60_000):
        self.versions.apply_grants(
            (Grant(7, 'stock', limit, lease_ms, 0.5),), trio.current_time()
        )

    async def call(self, path='/reads/1', count=1):
        caller = await Caller.open(self.nodes[0].path.caller_address)
        statuses = [(await caller.call(path))[0].status for _ in range(count)]
        caller.connection.close()
        return statuses

    def count_runs(self):
        old, *new = [len(node.target.runs) for node in self.nodes]
        return old, sum(new)

    def run_versions(self, test):
        async def main(nursery):
            self.announce_versions()
            await test()

        self.run_nodes(main, *self.nodes)

    def test_node_sends_what_it_was_granted(self):
        async def test():
            self.set_phase(RolloutPhase.RUNNING)
            await self.call(count=10)
            self.assertEqual((10, 0), self.count_runs())
            self.grant(4)
            self.assertEqual([200] * 30, await self.call(count=30))
            self.assertEqual((36, 4), self.count_runs())
            self.grant(20, lease_ms=0)
            await self.call(count=10)
            self.assertEqual((46, 4), self.count_runs())
            (report,) = self.versions.make_reports()
            self.assertEqual((50, 4), (report.total, report.sent))
            self.assertEqual(
                {('reads', False): 46, ('reads', True): 4},
                {(c.route, c.is_new): sum(c.times) for c in report.counts},
            )

        self.run_versions(test)

    def test_retries_are_counted_and_stay_within_the_grant(self):
        async def test():
            for node in self.nodes[1:]:
                node.target.respond = send_server_error
            self.set_phase(RolloutPhase.RUNNING)
            self.grant(3)
            await self.call(count=30)
            self.assertEqual(3, self.count_runs()[1])
            (report,) = self.versions.make_reports()
            failures = {c.is_new: c.failures for c in report.counts}
            self.assertEqual({False: 0, True: 3}, failures)

        self.run_versions(test)

    def test_promotion_moves_all_requests(self):
        async def test():
            self.set_phase(RolloutPhase.RUNNING)
            old_target = self.nodes[0].target
            old_target.hold = trio.Event()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.call)
                while not old_target.running:
                    await trio.sleep(0.001)
                self.set_phase(RolloutPhase.PROMOTING)
                # A request in flight would be cut when old targets stop.
                self.assertFalse(self.versions.make_reports()[0].has_moved)
                old_target.hold.set()
            self.assertTrue(self.versions.make_reports()[0].has_moved)
            await self.call(count=10)
            self.assertEqual((1, 10), self.count_runs())
            # A control that is behind tells of the earlier phase.
            self.set_phase(RolloutPhase.RUNNING)
            await self.call(count=5)
            self.assertEqual((1, 15), self.count_runs())

        self.run_versions(test)

    def test_rolled_back_version_gets_nothing_without_another(self):
        async def test():
            self.set_phase(RolloutPhase.ROLLED_BACK)
            await self.call(count=5)
            self.assertEqual((5, 0), self.count_runs())
            self.nodes[0].announce(TargetState.GONE)
            self.nodes[0].merge_targets_of(self.nodes[0])
            self.assertEqual([503], await self.call())
            self.assertEqual((5, 0), self.count_runs())

        self.run_versions(test)

    def test_version_without_an_order_gets_nothing(self):
        async def test():
            self.set_phase(RolloutPhase.COMPLETED, approved=('v2',))
            await self.call(count=5)
            self.assertEqual((0, 5), self.count_runs())

        self.run_versions(test)

    def test_all_versions_are_used_alike_without_an_order(self):
        async def test():
            await self.call(count=40)
            self.assertNotIn(0, self.count_runs())
            self.assertEqual((), self.versions.make_reports())

        self.run_versions(test)


class EnablingTest(CallPathTestCase):
    def test_rollouts_need_a_bound_in_the_settings(self):
        frontend = SimpleNamespace(protocols=self, is_known_service=bool)
        transport = MemoryNetwork().transport('x')
        for guarantees, is_enabled in (
            (Guarantees(revocation_ms=5_000), False),
            (GUARANTEES, True),
            (Guarantees(rollback_ms=5_000), True),
        ):
            settings = ControlSettings(
                control_id='c',
                zone='a',
                address='x',
                operator_address='x',
                data_dir='unused',
                peers=(),
                guarantees=guarantees,
            )
            control = ControlDaemon(settings, transport, frontend)
            self.assertEqual(is_enabled, control.rollouts is not None)
            self.assertEqual(is_enabled, control.service.rollouts is not None)
            settings = FakeNode('n').settings
            settings = type(settings)(
                **{
                    name: getattr(settings, name)
                    for name in settings.__struct_fields__
                    if name != 'guarantees'
                },
                guarantees=guarantees,
            )
            node = NodeDaemon(settings, transport, frontend)
            self.assertEqual(is_enabled, node.call_path.versions is not None)
