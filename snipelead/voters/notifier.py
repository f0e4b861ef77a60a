"""Wake-up of all tasks that wait for a change."""

import trio

__all__ = ['Notifier']


class Notifier:
    """Condition variable without a lock.

    Each notification wakes the tasks that are waiting at that moment; it is
    not kept for tasks that wait later.
    """

    def __init__(self):
        self.event = trio.Event()

    def notify(self):
        """Wake all tasks that are waiting."""
        self.event.set()
        self.event = trio.Event()

    async def wait(self):
        """Wait for the next notification."""
        await self.event.wait()
