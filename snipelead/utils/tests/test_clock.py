import time
from unittest import mock

from testtools import TestCase
import trio

from snipelead.callers.call import Call
from snipelead.callers.exceptions import DeadlineExceededError
from snipelead.types import RequestClass
from snipelead.utils.clock import SuspendAwareClock

SUSPENSION_S = 5.0


class SuspensionTest(TestCase):
    """The VM is suspended: only the boot time clock goes on."""

    def setUp(self):
        super().setUp()
        self.suspended_s = 0.0
        read_clock = time.clock_gettime

        def read_boot_time(clock_id):
            now = read_clock(clock_id)
            if clock_id == time.CLOCK_BOOTTIME:
                now += self.suspended_s
            return now

        patcher = mock.patch.object(time, 'clock_gettime', read_boot_time)
        patcher.start()
        self.addCleanup(patcher.stop)

    def test_deadline_of_a_call_passes_during_a_suspension(self):
        """The deadline of a call moved on by the time of a suspension."""

        async def main():
            call = Call(RequestClass.INTERACTIVE, 'default', False, 2_000)
            call.check_deadline()
            self.suspended_s = SUSPENSION_S
            self.assertRaises(DeadlineExceededError, call.check_deadline)
            self.assertEqual(0, call.remaining_ms())

        trio.run(main, clock=SuspendAwareClock())

    def test_timers_fire_after_a_suspension(self):
        async def main():
            with trio.move_on_after(SUSPENSION_S) as scope:
                self.suspended_s = SUSPENSION_S
                await trio.sleep_forever()
            self.assertTrue(scope.cancelled_caught)

        started_s = time.monotonic()
        trio.run(main, clock=SuspendAwareClock())
        self.assertLess(time.monotonic() - started_s, SUSPENSION_S)
