from testtools import TestCase

from benchmarks.quotas import Load
from benchmarks.quotas import make_arrivals
from benchmarks.quotas import run_fleet
from benchmarks.quotas import run_static


class QuotaLoadTest(TestCase):
    def test_requests_within_the_limit_are_served(self):
        # Guards against grants that do not follow demand: a burst of one
        # customer at nodes that change each second.
        arrivals = make_arrivals(Load('', 9, 7.5, 'moving', 3.0), seed=2)
        static = run_static(arrivals)
        granted = run_fleet(arrivals)
        self.assertGreater(static.wrongly_refused(), 0.3)
        self.assertLess(granted.wrongly_refused(), 0.01)
        self.assertLess(granted.wrongly_refused('customer-9'), 0.05)
        self.assertLessEqual(granted.worst, 1.0)
        self.assertLess(granted.wait_quantile(0.5), 0.01)
