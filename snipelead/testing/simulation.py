"""Runs with a simulated clock and a repeatable order of tasks."""

import trio
from trio._core import _run as trio_scheduler
from trio.testing import MockClock

__all__ = ['run_simulated']


def run_simulated(main, seed=0):
    """Run an async function on a clock that jumps over idle times.

    Parameters
    ----------
    main : callable
        Async function without arguments.
    seed : int
        Seed of the order in which tasks run that are ready together.

    Returns
    -------
    object
        What ``main`` returns.
    """
    # Trio has no public switch for a repeatable order; pytest-trio sets
    # the same two names.
    trio_scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio_scheduler._r.seed(seed)
    return trio.run(main, clock=MockClock(autojump_threshold=0))
