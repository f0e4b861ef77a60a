from types import SimpleNamespace

from testtools import TestCase
import trio

from snipelead.controls.loads import LoadService
from snipelead.messages.loads import LoadExchangeRequest
from snipelead.messages.loads import LoadRequest
from snipelead.messages.loads import TargetLoad
from snipelead.nodes.load_reporter import LoadReporter
from snipelead.placement.loads import LoadTable
from snipelead.rpc.exceptions import RpcUnreachableError
from snipelead.testing.simulation import run_simulated


class LoadTableTest(TestCase):
    def test_reports_that_overtake_each_other_keep_the_newest(self):
        table = LoadTable()
        table.merge([TargetLoad('t', 's', 500, 0, 100)], 10.0)
        self.assertEqual(
            [], table.merge([TargetLoad('t', 's', 900, 0, 900)], 10.2)
        )
        (load,) = table.select(10.4)
        self.assertEqual((500, 500), (load.occupancy_percent, load.age_ms))

    def test_old_loads_are_dropped(self):
        table = LoadTable()
        table.merge([TargetLoad('t', 's', 500)], 10.0)
        table.expire(12.0)
        self.assertEqual(1, len(table.by_target))
        table.expire(14.0)
        self.assertEqual({}, table.by_target)


class LoadServiceTest(TestCase):
    def test_nodes_get_loads_of_their_services_across_controls(self):
        async def main():
            first, second = LoadService('c1'), LoadService('c2')
            link = SimpleNamespace(
                closed=False, calls=SimpleNamespace(call=self.call_peer(first))
            )
            await first.report(
                LoadRequest('n1', (TargetLoad('t1', 's', 700),), ('s',))
            )
            await second.report(LoadRequest('n2', (), ('s',)))
            with trio.move_on_after(1.0):
                await second.poll_peer(link)
            return [
                await second.report(LoadRequest('n2', (), (name,)))
                for name in ('s', 'other')
            ]

        own, other = run_simulated(main)
        self.assertEqual(['t1'], [load.target_id for load in own.loads])
        self.assertEqual((), other.loads)

    def call_peer(self, service):
        async def call(request, timeout_s):
            self.assertIsInstance(request, LoadExchangeRequest)
            return await service.exchange(request)

        return call

    def test_control_without_reports_asks_nobody(self):
        # Deployments that do not share loads must not pay for it.
        async def fail(request, timeout_s):
            raise AssertionError(request)

        async def main():
            link = SimpleNamespace(
                closed=False, calls=SimpleNamespace(call=fail)
            )
            with trio.move_on_after(5.0):
                await LoadService('c1').poll_peer(link)

        run_simulated(main)


class LoadReporterTest(TestCase):
    def make_reporter(self, call, interval_ms=500):
        statistics = SimpleNamespace(
            relative_service_time=SimpleNamespace(recent_mean=0.25)
        )
        limiter = SimpleNamespace(
            in_flight=3, waiting=1, statistics=statistics
        )
        target = SimpleNamespace(entry=SimpleNamespace(service='s'))
        limiters = SimpleNamespace(
            by_target={'t': limiter},
            local_targets=SimpleNamespace(targets={'t': target}),
        )
        link = SimpleNamespace(calls=SimpleNamespace(call=call))
        links = SimpleNamespace(failover_order=lambda: [link])
        self.balancer = SimpleNamespace(
            known_services={'s'}, record_shared_loads=self.record
        )
        self.recorded = []
        return LoadReporter('n', limiters, links, self.balancer, interval_ms)

    def record(self, loads):
        self.recorded.extend(r.load.target_id for r in loads)

    def test_report_holds_the_mean_occupancy(self):
        requests = []

        async def call(request, timeout_s):
            requests.append(request)
            return SimpleNamespace(loads=(TargetLoad('t2', 's', 100),))

        async def main():
            reporter = self.make_reporter(call)
            reporter.sample(trio.current_time())
            with trio.move_on_after(2.2):
                await reporter.run()

        run_simulated(main)
        self.assertEqual((TargetLoad('t', 's', 400, 250),), requests[-1].loads)
        self.assertIn('t2', self.recorded)
        self.assertIn(len(requests), (3, 4))

    def test_lost_control_does_not_end_the_reports(self):
        count = 0

        async def call(request, timeout_s):
            nonlocal count
            count += 1
            raise RpcUnreachableError('no route to host')

        async def main():
            with trio.move_on_after(2.2):
                await self.make_reporter(call).run()

        run_simulated(main)
        self.assertGreaterEqual(count, 3)
        self.assertEqual([], self.recorded)

    def test_node_without_interval_reports_nothing(self):
        async def main():
            await self.make_reporter(None, 0).run()

        run_simulated(main)
