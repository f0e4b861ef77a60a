import random

from msgspec.structs import replace
from testtools import TestCase

from snipelead.placement.distribution import ServiceTimeDistribution
from snipelead.placement.expected_cost import draw_weight
from snipelead.placement.expected_cost import expected_cost
from snipelead.placement.expected_cost import TargetOutlook
from snipelead.placement.occupancy import OccupancyAverage

OUTLOOK = TargetOutlook(9, 5.0, 0.2)


def make_shape(*values):
    shape = ServiceTimeDistribution(1.0)
    for value in values:
        shape.record(value)
    return shape


class ServiceTimeDistributionTest(TestCase):
    def test_probabilities_follow_the_samples(self):
        generator = random.Random(1)
        shape = make_shape(*(generator.uniform(0, 2) for _ in range(300)))
        self.assertAlmostEqual(1.0, shape.mean, delta=0.1)
        self.assertAlmostEqual(0.5, shape.survival(1.0), delta=0.08)
        self.assertLess(shape.survival(2.5), 0.02)
        self.assertEqual(1.0, shape.survival(0.0))

    def test_assumption_gives_way_to_samples(self):
        shape = ServiceTimeDistribution(10.0)
        self.assertEqual(10.0, shape.mean)
        for _ in range(100):
            shape.record(0.1)
        self.assertLess(shape.mean, 0.6)

    def test_old_samples_fade(self):
        shape = make_shape(*[5.0] * 400, *[0.5] * 1_500)
        self.assertLess(shape.survival(2.0), 0.05)

    def test_extreme_values_are_accepted(self):
        shape = make_shape(0.0, 1e-9, 1e9)
        self.assertGreaterEqual(shape.survival(1e12), 0.0)


class ExpectedCostTest(TestCase):
    def setUp(self):
        super().setUp()
        generator = random.Random(1)
        self.shape = make_shape(
            *(generator.lognormvariate(-0.1, 0.45) for _ in range(300))
        )

    def cost(self, remaining_s=0.8, **changes):
        return expected_cost(
            replace(OUTLOOK, **changes), remaining_s, self.shape
        )

    def test_free_fast_target_costs_little(self):
        self.assertLess(self.cost(), 0.05)

    def test_cost_grows_with_work_left_and_slowness(self):
        costs = [self.cost(occupancy=n) for n in (4.0, 9.0, 12.0, 20.0)]
        self.assertEqual(sorted(costs), costs)
        self.assertGreater(costs[-1], 0.5)
        self.assertGreater(
            self.cost(service_s=0.5), self.cost(service_s=0.2) + 0.1
        )

    def test_request_with_time_to_spare_may_wait(self):
        """Long objectives make a full target acceptable."""
        self.assertLess(
            self.cost(4.0, occupancy=10.0), self.cost(0.5, occupancy=10.0)
        )

    def test_failing_target_is_expensive_and_rarely_drawn(self):
        self.assertGreater(self.cost(error_rate=0.5), 0.5)
        self.assertLess(
            draw_weight(replace(OUTLOOK, error_rate=0.5)),
            0.3 * draw_weight(OUTLOOK),
        )

    def test_request_that_is_late_already_costs_most(self):
        self.assertGreaterEqual(self.cost(0.0), 0.3)


class DrawWeightTest(TestCase):
    def test_weight_follows_speed_and_room(self):
        fast = replace(OUTLOOK, service_s=0.1)
        full = replace(OUTLOOK, occupancy=10.0)
        self.assertGreater(draw_weight(fast), 2 * draw_weight(OUTLOOK))
        self.assertLess(draw_weight(full), 0.5 * draw_weight(OUTLOOK))

    def test_full_target_still_gets_requests(self):
        # Otherwise a target that was full once would never report again.
        weight = draw_weight(replace(OUTLOOK, occupancy=1_000.0))
        self.assertGreater(weight, 0.0)

    def test_slow_start_limits_the_share(self):
        cold = replace(OUTLOOK, share=0.1)
        self.assertAlmostEqual(0.1 * draw_weight(OUTLOOK), draw_weight(cold))


class OccupancyAverageTest(TestCase):
    def test_average_follows_a_burst_within_a_second(self):
        average = OccupancyAverage()
        for step in range(20):
            average.sample(2, 0.1 * step)
        self.assertAlmostEqual(2.0, average.mean)
        for step in range(20, 30):
            average.sample(12, 0.1 * step)
        self.assertGreater(average.mean, 10.0)

    def test_single_peak_is_damped(self):
        average = OccupancyAverage()
        average.sample(2, 0.0)
        average.sample(20, 0.1)
        self.assertLess(average.mean, 6.0)
