"""Waiting for the first of several events."""

import trio

__all__ = ['wait_any']


async def wait_any(*waits):
    """Wait until one of several coroutine functions returns.

    Parameters
    ----------
    *waits : callable
        Coroutine functions without parameters; the others are cancelled.
    """
    async with trio.open_nursery() as nursery:
        for wait in waits:
            nursery.start_soon(_cancel_after, wait, nursery)


async def _cancel_after(wait, nursery):
    await wait()
    nursery.cancel_scope.cancel()
