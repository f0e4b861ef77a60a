"""Rate limited log lines about individual requests.

Failures are logged for all requests. Other decisions are logged for a sample
that is selected by request id, so that all nodes log the same requests.
"""

import time

import xxhash

from snipelead.logs import count_suppressed_line
from snipelead.logs import log_event

__all__ = ['is_sampled', 'log_decision', 'log_failure']

# One in this many requests has all of its lines logged.
SAMPLE_ONE_IN = 16
# A line takes about 50 us, so this limits logging to a few percent of a core.
MAX_LINES_PER_S = 300
# Lines that may be written in a burst.
MAX_BURST_LINES = 600


class _LineRateLimiter:
    """Token bucket that limits the rate of log lines about requests.

    Attributes
    ----------
    tokens : float
        Number of lines that may be written now.
    refilled_at : float
        Time of the last refill, in seconds of the monotonic clock.
    """

    def __init__(self):
        self.tokens = float(MAX_BURST_LINES)
        self.refilled_at = 0.0

    def try_acquire(self):
        """Take a token; return False if none is left."""
        now = time.monotonic()
        refill = (now - self.refilled_at) * MAX_LINES_PER_S
        self.refilled_at = now
        self.tokens = min(MAX_BURST_LINES, self.tokens + refill)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


_rate_limiter = _LineRateLimiter()


def is_sampled(request_id):
    """Return whether a request belongs to the logged sample."""
    return xxhash.xxh3_64_intdigest(request_id.encode()) % SAMPLE_ONE_IN == 0


def log_decision(event, call, **fields):
    """Log a decision if the request belongs to the sample.

    Parameters
    ----------
    event : Event
        Event to log.
    call : Call
        State of the call.
    **fields : object
        Inputs of the decision, with their age or version, and its outcome.
    """
    if call.is_sampled:
        _write_line(event, call, fields)


def log_failure(event, call, **fields):
    """Log a rejection or failure.

    Parameters
    ----------
    event : Event
        Event to log.
    call : Call
        State of the call.
    **fields : object
        Facts about the failure.
    """
    _write_line(event, call, fields)


def _write_line(event, call, fields):
    if _rate_limiter.try_acquire():
        log_event(event, request=call.request_id, route=call.route, **fields)
    else:
        count_suppressed_line()
