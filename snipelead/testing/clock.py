"""Runs tests in virtual time."""

import trio
from trio.testing import MockClock

__all__ = ['run_in_virtual_time']

LIMIT_S = 1_000


def run_in_virtual_time(async_function, *args):
    """Run an async function with a clock that jumps while all tasks wait.

    Parameters
    ----------
    async_function : callable
        Function to run.
    *args : object
        Its arguments.

    Returns
    -------
    object
        Its result.
    """

    async def run():
        with trio.fail_after(LIMIT_S):
            return await async_function(*args)

    return trio.run(run, clock=MockClock(autojump_threshold=0))
