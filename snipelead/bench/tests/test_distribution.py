import pytest
from testtools import TestCase
import trio

from snipelead.bench.baselines import UpdateStrategy
from snipelead.bench.distribution import DistributionOptions
from snipelead.bench.distribution import run_cases
from snipelead.bench.message_loss import run_with_message_loss
from snipelead.bench.tables import summarize_ms


@pytest.mark.processes
class DistributionBenchTest(TestCase):
    def measure(self, strategy):
        options = DistributionOptions(
            nodes=4,
            services=40,
            hosts=2,
            strategy=strategy,
            changes=2,
            burst_changes=10,
            missed_changes=40,
            outage_s=0.1,
            idle_s=0.1,
        )
        cases = ('change', 'burst', 'missed', 'herd', 'down', 'idle')
        return trio.run(run_cases, options, cases)

    def test_all_cases_finish_and_net_deltas_transfer_the_fewest_bytes(self):
        results = {
            strategy: self.measure(strategy) for strategy in UpdateStrategy
        }
        net_delta = results[UpdateStrategy.NET_DELTA]
        self.assertGreater(net_delta['change'].node_bytes, 0)
        for baseline in (UpdateStrategy.SNAPSHOT, UpdateStrategy.STEPS):
            self.assertLess(
                net_delta['missed'].node_bytes,
                results[baseline]['missed'].node_bytes,
            )


class MessageLossTest(TestCase):
    def test_all_changes_reach_all_nodes(self):
        options = DistributionOptions(nodes=5, services=5)
        delays_s = run_with_message_loss(options)
        self.assertEqual(100, len(delays_s))
        self.assertEqual(delays_s, run_with_message_loss(options))


class SummaryTest(TestCase):
    def test_quantiles(self):
        delays_s = [index / 1_000 for index in range(1, 101)]
        self.assertEqual((50.0, 99.0, 100.0), summarize_ms(delays_s))
