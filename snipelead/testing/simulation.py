"""Deterministic runs of async code on a simulated clock."""

import trio
from trio._core import _run as trio_scheduler
from trio.testing import MockClock

__all__ = ['run_simulated']


def run_simulated(main, seed=0):
    """Run an async function on a clock that skips idle time.

    Parameters
    ----------
    main : callable
        Async function without parameters.
    seed : int
        Seed of the order in which tasks that are ready together run.

    Returns
    -------
    object
        Return value of ``main``.
    """
    # Trio has no public option for deterministic scheduling; pytest-trio sets
    # the same two private names.
    trio_scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio_scheduler._r.seed(seed)
    return trio.run(main, clock=MockClock(autojump_threshold=0))
