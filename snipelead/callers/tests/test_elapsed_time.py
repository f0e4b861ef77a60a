from testtools import TestCase

from snipelead.callers.elapsed_time import ElapsedTimeEstimator


class ElapsedTimeEstimatorTest(TestCase):
    def test_shorter_deadline_implies_earlier_attempt(self):
        estimator = ElapsedTimeEstimator()
        self.assertEqual(0, estimator.estimate_ms('r', 800))
        self.assertAlmostEqual(250, estimator.estimate_ms('r', 550), delta=2)
        self.assertEqual(0, estimator.estimate_ms('other', 550))

    def test_small_differences_are_ignored(self):
        estimator = ElapsedTimeEstimator()
        estimator.estimate_ms('r', 800)
        self.assertEqual(0, estimator.estimate_ms('r', 790))

    def test_longer_deadlines_are_forgotten(self):
        estimator = ElapsedTimeEstimator()
        estimator.estimate_ms('r', 8_000)
        for _ in range(5_000):
            last_estimate_ms = estimator.estimate_ms('r', 800)
        self.assertEqual(0, last_estimate_ms)
