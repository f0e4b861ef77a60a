import pytest
from testtools import TestCase
import trio

from snipelead.bench.baselines import Way
from snipelead.bench.distribution import DistributionOptions
from snipelead.bench.distribution import run_bench
from snipelead.bench.lossy import run_lossy
from snipelead.bench.tables import summarize_ms


@pytest.mark.processes
class DistributionBenchTest(TestCase):
    def measure(self, way):
        options = DistributionOptions(
            nodes=4,
            services=40,
            hosts=2,
            way=way,
            changes=2,
            burst=10,
            missed=40,
            down_s=0.1,
            idle_s=0.1,
        )
        cases = ('change', 'burst', 'missed', 'herd', 'down', 'idle')
        return trio.run(run_bench, options, cases)

    def test_all_cases_end_and_a_net_delta_costs_least(self):
        results = {way: self.measure(way) for way in Way}
        best = results[Way.NET_DELTA]
        self.assertGreater(best['change'].node_bytes, 0)
        for other in (Way.SNAPSHOT, Way.STEPS):
            self.assertLess(
                best['missed'].node_bytes, results[other]['missed'].node_bytes
            )


class LossyTest(TestCase):
    def test_all_changes_reach_all_nodes(self):
        options = DistributionOptions(nodes=5, services=5)
        delays_s = run_lossy(options)
        self.assertEqual(100, len(delays_s))
        self.assertEqual(delays_s, run_lossy(options))


class SummaryTest(TestCase):
    def test_quantiles(self):
        delays_s = [index / 1_000 for index in range(1, 101)]
        self.assertEqual((50.0, 99.0, 100.0), summarize_ms(delays_s))
