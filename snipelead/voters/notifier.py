"""Notification of any number of waiting tasks."""

import trio

__all__ = ['Notifier']


class Notifier:
    """Condition without a lock: waiters wake at the next notification."""

    def __init__(self):
        self.event = trio.Event()

    def notify(self):
        """Wake all waiters."""
        self.event.set()
        self.event = trio.Event()

    async def wait(self):
        """Wait for the next notification."""
        await self.event.wait()
