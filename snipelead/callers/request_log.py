"""Log lines about single requests.

Lines of requests that fail are always written; of the others, those of a
sample of ids, so that all nodes keep the lines of the same requests.
"""

import time

import xxhash

from snipelead.logs import count_dropped
from snipelead.logs import log_event

__all__ = ['is_sampled', 'log_decision', 'log_failure']

# One in so many requests has all its lines kept, failed or not.
SAMPLE_ONE_IN = 16
# Lines about requests in a second; some 50 us each, so that logging takes at
# most a few hundredths of a core.
MAX_LINES_PER_S = 300
# Lines that may come at once.
MAX_BURST_LINES = 600


class _LineRateLimiter:
    """Tokens for lines about requests.

    Attributes
    ----------
    tokens : float
        Lines that may be written now.
    filled_at : float
        When tokens were last added, in seconds of the monotonic clock.
    """

    def __init__(self):
        self.tokens = float(MAX_BURST_LINES)
        self.refilled_at = 0.0

    def try_acquire(self):
        """Take a token; returns False when none is left."""
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
    """Tell whether the lines of a request are kept on all nodes."""
    return xxhash.xxh3_64_intdigest(request_id.encode()) % SAMPLE_ONE_IN == 0


def log_decision(event, call, **fields):
    """Write a line about an ordinary decision if the request is sampled.

    Parameters
    ----------
    event : Event
        The decision.
    call : Call
        The request.
    **inputs : object
        What decided it, with its age or version, and the outcome.
    """
    if call.is_sampled:
        _write_line(event, call, fields)


def log_failure(event, call, **fields):
    """Write a line about a refusal or failure."""
    _write_line(event, call, fields)


def _write_line(event, call, fields):
    if _rate_limiter.try_acquire():
        log_event(event, request=call.request_id, route=call.route, **fields)
    else:
        count_dropped()
