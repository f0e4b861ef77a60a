"""Clock of the processes."""

import time

import trio

__all__ = ['SuspendAwareClock']

# trio's default clock, like ``CLOCK_MONOTONIC``, stops while the VM is
# suspended. Other systems than Linux lack ``CLOCK_BOOTTIME``.
_CLOCK_ID = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)
# Added so that 0.0, the initial value of many points in time, is long ago
# also on a VM that has just been booted.
OFFSET_S = 100_000.0


class SuspendAwareClock(trio.abc.Clock):
    """Clock that goes on while the VM is suspended.

    Deadlines, leases and idle timeouts that run out during a suspension have
    passed when the process continues.
    """

    def start_clock(self):
        """Start the clock; it needs no preparation."""

    def current_time(self):
        """Return the current time in seconds."""
        return OFFSET_S + time.clock_gettime(_CLOCK_ID)

    def deadline_to_sleep_time(self, deadline):
        """Return the time until a deadline, in seconds."""
        return deadline - self.current_time()
