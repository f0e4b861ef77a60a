"""Tests of the detection of calls that work in progress makes."""

from types import SimpleNamespace

from testtools import TestCase
import trio
from trio.testing import MockClock

from snipelead.admission.standing import RequestStanding
from snipelead.admission.standings import StandingTracker
from snipelead.admission.work_calls import WorkCallTracker
from snipelead.callers.call import Call
from snipelead.nodes.latency_queue import LatencyQueue
from snipelead.nodes.latency_queue import LatencyWaiter
from snipelead.settings.schema import NodeLimits
from snipelead.types import RequestClass

FROM_WORK = RequestStanding(from_work=True)


class WorkCallTrackerTest(TestCase):
    def record(self, tracker, busy, idle=0):
        for _ in range(idle):
            tracker.record('r', False, 1.0)
        for _ in range(busy):
            result = tracker.record('r', True, 1.0)
        return result

    def test_route_that_enters_only_beside_running_work_is_a_call(self):
        tracker = WorkCallTracker()
        self.assertFalse(self.record(tracker, 10))
        self.assertTrue(self.record(tracker, 30))

    def test_route_of_callers_is_none_even_when_the_target_is_never_idle(self):
        """Guards against a burst in which callers' routes look like calls."""
        tracker = WorkCallTracker()
        self.assertFalse(self.record(tracker, 300, idle=5))

    def test_call_that_enters_beside_an_idle_target_is_not_of_its_work(self):
        tracker = WorkCallTracker()
        self.record(tracker, 300)
        self.assertFalse(tracker.record('r', False, 1.0))
        self.assertTrue(tracker.record('r', True, 1.0))


class StandingTest(TestCase):
    def test_standing_survives_its_encoding(self):
        for from_work in (False, True):
            for beyond_usual in (False, True):
                standing = RequestStanding(from_work, beyond_usual)
                self.assertEqual(
                    standing, RequestStanding.decode(standing.encode())
                )
        # A later version may send further flags.
        self.assertEqual(FROM_WORK, RequestStanding.decode(5))

    def test_request_of_a_customer_is_not_a_call_of_work(self):
        async def main():
            tracker = StandingTracker(
                SimpleNamespace(running=1, limits=NodeLimits())
            )
            standings = []
            for tenant in ('acme', 'default'):
                for _ in range(40):
                    call = Call(RequestClass.INTERACTIVE, tenant, False, 900)
                    call.route = 'r'
                    call.set_latency_deadline(500)
                    tracker.assess(call)
                standings.append(call.standing.from_work)
            return standings

        self.assertEqual([False, True], trio.run(main, clock=MockClock()))


class QueueOrderTest(TestCase):
    def run_async(self, test):
        async def main():
            test()

        trio.run(main)

    def test_call_of_work_goes_first_and_may_be_late(self):
        def test():
            queue = LatencyQueue()
            urgent = LatencyWaiter(0, 0.1, 9.0, 9.0)
            call = LatencyWaiter(2, 0.1, 1.0, 9.0, standing=FROM_WORK)
            queue.push(urgent)
            queue.push(call)
            self.assertTrue(call.may_wait(0.5, 0.1, 2.0))
            self.assertFalse(call.may_wait(7.0, 0.1, 2.0))
            self.assertIs(call, queue.pop(2.0))

        self.run_async(test)

    def test_request_beyond_the_usual_rate_goes_after_others(self):
        def test():
            queue = LatencyQueue()
            beyond = LatencyWaiter(
                0, 0.1, 5.0, 9.0, standing=RequestStanding(beyond_usual=True)
            )
            usual = LatencyWaiter(0, 0.1, 6.0, 9.0)
            queue.push(beyond)
            queue.push(usual)
            self.assertIs(usual, queue.pop(0.0))

        self.run_async(test)

    def test_request_that_outlasts_its_deadline_is_late(self):
        """Guards against a latency objective beyond the caller's deadline.

        Requests waited for slots until no caller was left.
        """

        def test():
            waiter = LatencyWaiter(2, 0.5, 3.0, 1.0)
            self.assertLess(waiter.latest_start, 0.5)
            self.assertFalse(waiter.may_wait(0.3, 0.1, 0.0))

        self.run_async(test)
