from testtools import TestCase

from snipelead.nodes.relative_service_time import MIN_INTERVAL_S
from snipelead.nodes.relative_service_time import PUBLISHED_SAMPLE_COUNTS
from snipelead.nodes.relative_service_time import RelativeServiceTime

FIRST, *_, LAST = PUBLISHED_SAMPLE_COUNTS


class RelativeServiceTimeTest(TestCase):
    def setUp(self):
        super().setUp()
        self.average = RelativeServiceTime()

    def record(self, service_s, count, reference_s=1.0):
        for _ in range(count):
            self.average.record(service_s, reference_s)

    def test_average_of_few_responses_is_not_published(self):
        self.record(0.3, FIRST - 1)
        self.assertIsNone(self.average.take_update(0.0))
        self.record(0.3, 1)
        self.assertEqual(0.3, self.average.take_update(0.0))

    def test_routes_count_in_proportion_to_their_objectives(self):
        self.record(0.3, FIRST)
        self.record(3.0, FIRST, reference_s=10.0)
        self.assertEqual(0.3, self.average.take_update(0.0))

    def test_average_is_published_as_it_becomes_more_precise(self):
        published = []
        for number in range(2 * LAST):
            self.record(0.3, 1)
            if self.average.take_update(number * MIN_INTERVAL_S):
                published.append(number + 1)
        self.assertEqual(list(PUBLISHED_SAMPLE_COUNTS), published)

    def test_unchanged_average_is_not_published_again(self):
        self.record(0.3, LAST)
        self.average.take_update(0.0)
        self.record(0.33, 1_000)
        self.assertIsNone(self.average.take_update(1_000.0))

    def test_changes_are_published_at_intervals(self):
        self.record(0.3, LAST)
        self.average.take_update(0.0)
        self.record(0.45, 1_000)
        self.assertIsNone(self.average.take_update(MIN_INTERVAL_S - 0.1))
        self.assertAlmostEqual(
            0.45, self.average.take_update(MIN_INTERVAL_S), places=2
        )

    def test_target_that_turns_slow_is_published_after_a_few_responses(self):
        self.record(0.3, 1_000)
        self.average.take_update(0.0)
        self.record(1.5, 8)
        self.assertGreater(self.average.take_update(MIN_INTERVAL_S), 0.55)
