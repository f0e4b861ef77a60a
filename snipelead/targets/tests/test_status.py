from math import inf

from testtools import TestCase
import trio
from trio.testing import MockClock

from snipelead.targets.status import StatusSource
from snipelead.targets.status import TargetStatus
from snipelead.targets.status import TargetStatuses

NOT_LIMITED = TargetStatus()


class StatusTestCase(TestCase):
    def setUp(self):
        super().setUp()
        self.statuses = TargetStatuses()
        self.clock = MockClock()

    def run_in_trio(self, test):
        async def main():
            test()

        trio.run(main, clock=self.clock)

    def record(self, status, age_s=0.0, incarnation=1, **options):
        """Record a response whose request was sent some time ago."""
        self.clock.jump(0.001)
        sent_at = trio.current_time() - age_s
        self.statuses.record('t', incarnation, status, sent_at, **options)

    def limit(self, incarnation=1):
        return self.statuses.find_rate_limit('t', incarnation)


class RateLimitTest(StatusTestCase):
    def test_limit_ends_with_a_request_sent_after_it_was_stated(self):
        def test():
            self.record(TargetStatus(20.0))
            self.record(NOT_LIMITED, age_s=1.0)
            self.assertEqual(20.0, self.limit())
            self.record(NOT_LIMITED)
            self.assertIsNone(self.limit())

        self.run_in_trio(test)

    def test_late_response_does_not_raise_a_limit(self):
        def test():
            self.record(TargetStatus(20.0))
            self.record(TargetStatus(2.0))
            self.record(TargetStatus(20.0), age_s=1.0)
            self.assertEqual(2.0, self.limit())
            self.record(TargetStatus(20.0))
            self.assertEqual(20.0, self.limit())

        self.run_in_trio(test)

    def test_lower_limit_of_a_late_response_applies_at_once(self):
        def test():
            self.record(TargetStatus(20.0))
            self.record(TargetStatus(0.0), age_s=5.0)
            self.assertEqual(0.0, self.limit())

        self.run_in_trio(test)

    def test_invalid_limit_neither_sets_nor_ends_one(self):
        def test():
            invalid = TargetStatus(invalid_rate_limit='1,5')
            self.record(invalid)
            self.assertIsNone(self.limit())
            self.record(TargetStatus(20.0))
            self.record(invalid)
            self.assertEqual(20.0, self.limit())

        self.run_in_trio(test)

    def test_limit_does_not_pass_to_the_next_incarnation(self):
        def test():
            self.record(TargetStatus(20.0))
            self.record(NOT_LIMITED, incarnation=2)
            self.assertIsNone(self.limit(incarnation=2))
            self.record(TargetStatus(5.0), incarnation=1)
            self.assertIsNone(self.limit(incarnation=2))

        self.run_in_trio(test)

    def test_limit_from_another_node_applies_until_the_target_responds(self):
        def test():
            self.statuses.adopt_rate_limit('t', 1, 20.0)
            self.assertEqual(20.0, self.limit())
            self.record(NOT_LIMITED)
            self.assertIsNone(self.limit())
            self.statuses.adopt_rate_limit('t', 1, 20.0)
            self.assertIsNone(self.limit())

        self.run_in_trio(test)

    def test_health_check_without_a_limit_neither_ends_nor_hides_one(self):
        # A restarted node that had checked the health of its target ignored
        # the limit that other nodes sent.
        def test():
            source = StatusSource.OTHER_RESPONSE
            self.record(NOT_LIMITED, source=source)
            self.statuses.adopt_rate_limit('t', 1, 20.0)
            self.assertEqual(20.0, self.limit())
            self.record(NOT_LIMITED, source=source)
            self.assertEqual(20.0, self.limit())
            self.record(TargetStatus(5.0), source=source)
            self.assertEqual(5.0, self.limit())

        self.run_in_trio(test)


class LeavingTest(StatusTestCase):
    def test_only_a_local_target_is_reported_as_leaving(self):
        def test():
            reports = []
            self.statuses.on_leaving = lambda *args: reports.append(args)
            leaving = TargetStatus(is_leaving=True)
            self.record(leaving, source=StatusSource.TARGET_NODE)
            self.assertEqual([], reports)
            self.record(leaving, incarnation=2)
            self.record(leaving, incarnation=2)
            self.assertEqual([('t', 2)], reports)

        self.run_in_trio(test)

    def test_leaving_is_never_taken_back_within_an_incarnation(self):
        def test():
            self.record(TargetStatus(is_leaving=True), age_s=inf)
            self.record(NOT_LIMITED)
            self.assertTrue(self.statuses.is_leaving('t', 1))
            self.assertFalse(self.statuses.is_leaving('t', 2))

        self.run_in_trio(test)
