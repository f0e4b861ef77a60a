"""Log events of the limits on callers."""

from math import inf

import trio

from snipelead.callers.events import BUFFERS_FREED
from snipelead.callers.events import CONNECTIONS_CLOSED
from snipelead.callers.events import HEAD_TIMED_OUT
from snipelead.callers.events import REQUEST_MALFORMED
from snipelead.callers.events import RESPONSE_NOT_READ
from snipelead.http.budget import LimitKind
from snipelead.logs import log_event

__all__ = ['make_limit_logger']

# Callers could otherwise fill the log.
MIN_INTERVAL_S = 10.0
_EVENTS = {
    LimitKind.BUFFERS: BUFFERS_FREED,
    LimitKind.CONNECTIONS: CONNECTIONS_CLOSED,
    LimitKind.HEAD_TIMEOUT: HEAD_TIMED_OUT,
    LimitKind.MALFORMED: REQUEST_MALFORMED,
    LimitKind.RESPONSE_TIMEOUT: RESPONSE_NOT_READ,
}


def make_limit_logger(budget):
    """Return a function that logs that a limit has closed connections.

    Each kind of limit is logged at most once in ``MIN_INTERVAL_S``.

    Parameters
    ----------
    budget : CallerBudget
        Budget whose counts are logged.

    Returns
    -------
    callable
        Function of the :class:`~snipelead.http.budget.LimitKind`.
    """
    logged_at = dict.fromkeys(LimitKind, -inf)

    def log(kind):
        now = trio.current_time()
        if now - logged_at[kind] >= MIN_INTERVAL_S:
            logged_at[kind] = now
            log_event(
                _EVENTS[kind],
                closed=budget.closed_counts[kind],
                connections=len(budget.accounts),
                buffered_bytes=budget.used_bytes,
            )

    return log
