from msgspec.structs import replace
from testtools import ExpectedException
from testtools import TestCase
import trio
from trio.testing import MockClock

from snipelead.callers.exceptions import DeadlineExceededError
from snipelead.callers.exceptions import NoTargetError
from snipelead.callers.exceptions import OverloadedError
from snipelead.callers.exceptions import ResponseLostError
from snipelead.callers.exceptions import TargetBusyError
from snipelead.nodes.directory import TargetDirectory
from snipelead.routing.balancer import Balancer
from snipelead.routing.ejection import BASE_EJECTION_S
from snipelead.routing.ejection import MAX_PROBE_S
from snipelead.routing.ejection import UNANSWERED_PROBE_PAUSE_S
from snipelead.routing.tests.test_balancer import make_entry

LOST = ResponseLostError('lost')
# Added to a time so that it has passed.
MARGIN_S = 0.01


class EjectionTestCase(TestCase):
    """A service with one target, which has just been ejected."""

    def setUp(self):
        super().setUp()
        self.clock = MockClock()

    def run_ejected(self, test):
        async def main():
            self.directory = TargetDirectory()
            self.directory.merge(make_entry('only'))
            self.balancer = Balancer('a', self.directory, 0.1, seed=1)
            (self.target,) = self.balancer.get_observations('stock')
            self.eject()
            await test()

        trio.run(main, clock=self.clock)

    def eject(self):
        for _ in range(3):
            with self.begin() as request:
                self.balancer.record_error(self.target, LOST, request)
        self.assertFalse(self.is_usable())

    def begin(self):
        return self.target.begin_request(trio.current_time())

    def begin_probe(self):
        self.clock.jump(BASE_EJECTION_S + MARGIN_S)
        probe = self.begin()
        self.assertTrue(probe.is_probe)
        self.assertFalse(self.is_usable())
        return probe

    def is_usable(self):
        return self.target.is_usable(trio.current_time())

    def respond(self, request):
        now = trio.current_time()
        self.target.record_response(0.01, False, None, now, request)


class ProbeEndTest(EjectionTestCase):
    """A probe that learned nothing was never ended.

    The target was not used again until its node was restarted.
    """

    def test_probe_whose_caller_leaves(self):
        async def test():
            with self.begin_probe():
                pass
            self.assertTrue(self.is_usable())

        self.run_ejected(test)

    def test_probe_that_ends_with_an_unexpected_error(self):
        async def test():
            with ExpectedException(KeyError), self.begin_probe():
                raise KeyError
            self.assertTrue(self.is_usable())

        self.run_ejected(test)

    def test_probe_that_is_cancelled(self):
        async def test():
            with trio.CancelScope() as scope, self.begin_probe():
                scope.cancel()
                await trio.lowlevel.checkpoint()
            self.assertTrue(self.is_usable())

        self.run_ejected(test)

    def test_probe_that_reaches_its_deadline_delays_the_next_one(self):
        async def test():
            for _ in range(3):
                with self.begin_probe() as probe:
                    self.balancer.record_timeout(probe)
                self.assertFalse(self.is_usable())
                # The pause does not grow, unlike that after a lost response.
                self.clock.jump(UNANSWERED_PROBE_PAUSE_S + MARGIN_S)
                self.assertTrue(self.is_usable())

        self.run_ejected(test)

    def test_probe_that_another_node_gives_up_at_its_deadline(self):
        async def test():
            with self.begin_probe() as probe:
                error = DeadlineExceededError('too late')
                self.balancer.record_error(self.target, error, probe)
            self.assertFalse(self.is_usable())
            self.clock.jump(UNANSWERED_PROBE_PAUSE_S + MARGIN_S)
            self.assertTrue(self.is_usable())

        self.run_ejected(test)

    def test_probe_that_is_refused(self):
        async def test():
            refusals = (OverloadedError('full'), TargetBusyError('busy', None))
            for refusal in refusals:
                with self.begin_probe() as probe:
                    self.balancer.record_error(self.target, refusal, probe)
                # A refusal does not show that the target responds.
                self.assertIsNotNone(self.target.ejection)
                self.assertTrue(self.is_usable())

        self.run_ejected(test)

    def test_probe_that_is_responded_to_ends_the_ejection(self):
        async def test():
            with self.begin_probe() as probe:
                self.respond(probe)
                self.assertTrue(self.is_usable())
            self.assertIsNone(self.target.ejection)

        self.run_ejected(test)

    def test_probe_that_is_lost_doubles_the_ejection(self):
        async def test():
            with self.begin_probe() as probe:
                self.balancer.record_error(self.target, LOST, probe)
            self.clock.jump(2 * BASE_EJECTION_S - MARGIN_S)
            self.assertFalse(self.is_usable())
            self.clock.jump(2 * MARGIN_S)
            self.assertTrue(self.is_usable())

        self.run_ejected(test)

    def test_requests_in_flight_are_counted(self):
        async def test():
            with self.begin(), self.begin():
                self.assertEqual(2, self.target.in_flight)
            self.assertEqual(0, self.target.in_flight)

        self.run_ejected(test)


class LongProbeTest(EjectionTestCase):
    """A probe that takes long does not keep the target from being used."""

    def test_next_probe_replaces_a_long_one(self):
        async def test():
            with self.begin_probe() as long_probe:
                self.clock.jump(MAX_PROBE_S + MARGIN_S)
                self.assertTrue(self.is_usable())
                with self.begin() as probe:
                    self.assertTrue(probe.is_probe)
                    self.assertFalse(long_probe.is_probe)
                    self.assertFalse(self.is_usable())

        self.run_ejected(test)

    def test_end_of_the_long_probe_does_not_end_the_next_one(self):
        async def test():
            long_probe = self.begin_probe()
            self.clock.jump(MAX_PROBE_S + MARGIN_S)
            with self.begin():
                self.balancer.record_error(self.target, LOST, long_probe)
                self.balancer.record_timeout(long_probe)
                long_probe.end()
                self.assertFalse(self.is_usable())
            self.assertTrue(self.is_usable())

        self.run_ejected(test)

    def test_response_to_the_long_probe_ends_the_ejection(self):
        async def test():
            with self.begin_probe() as long_probe:
                self.clock.jump(MAX_PROBE_S + MARGIN_S)
                with self.begin():
                    self.respond(long_probe)
                    self.assertTrue(self.is_usable())

        self.run_ejected(test)

    def test_rejection_meanwhile_tells_when_to_return(self):
        async def test():
            with self.begin_probe():
                self.clock.jump(0.4)
                error = self.assertRaises(
                    NoTargetError, self.balancer.choose, 'stock'
                )
                # The time left is rounded up.
                self.assertIn(error.retry_after_ms, (600, 601))

        self.run_ejected(test)


class OlderRequestTest(EjectionTestCase):
    """What an older request learns is not held against a newer state."""

    def test_request_from_before_the_ejection(self):
        async def test():
            self.target.clear_failures()
            with self.begin() as older:
                self.eject()
                with self.begin_probe():
                    self.balancer.record_error(self.target, LOST, older)
                    self.balancer.record_timeout(older)
                    self.assertFalse(self.is_usable())
                # The probe learned nothing; the target is not ejected longer.
                self.assertTrue(self.is_usable())

        self.run_ejected(test)

    def test_probe_of_an_earlier_ejection(self):
        async def test():
            earlier = self.begin_probe()
            self.target.clear_failures()
            self.eject()
            with self.begin_probe():
                self.balancer.record_timeout(earlier)
                earlier.end()
                self.assertFalse(self.is_usable())
            self.assertTrue(self.is_usable())

        self.run_ejected(test)

    def restart(self, **changes):
        entry = self.target.entry
        changes = {'sequence': entry.sequence + 1, **changes}
        self.directory.merge(replace(entry, **changes))
        self.balancer.get_observations('stock')

    def check_restart(self, **changes):
        async def test():
            requests = [self.begin_probe(), *(self.begin() for _ in range(3))]
            self.restart(**changes)
            self.assertTrue(self.is_usable())
            for request in requests:
                self.balancer.record_error(self.target, LOST, request)
                request.end()
            self.assertTrue(self.is_usable())
            self.assertEqual(0, self.target.failures.consecutive_failures)
            self.assertEqual(0, self.target.in_flight)

        self.run_ejected(test)

    def test_failures_from_before_a_restart_of_the_node(self):
        self.check_restart(incarnation=2)

    def test_failures_from_before_a_restart_of_the_target(self):
        self.check_restart(target_incarnation=2)

    def test_response_from_before_a_restart_ends_no_ejection(self):
        async def test():
            with self.begin() as older:
                self.restart(target_incarnation=2)
                self.eject()
                self.respond(older)
            self.assertIsNotNone(self.target.ejection)

        self.run_ejected(test)
