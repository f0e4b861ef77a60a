"""Limiting of the rate of requests to a target that states a rate limit."""

from collections import deque

__all__ = ['RateLimiter']

# Time in which an empty bucket fills up. It holds at least one request.
BURST_S = 0.25
# Lowest rate of requests, whatever the limit. Only a response tells that a
# limit has ended, so a target with a limit of 0 gets a request at times.
PROBE_RATE = 0.2
# Time over which the rate of requests is measured.
MEASURED_WINDOW_S = 4.0
MAX_MEASURED_REQUESTS = 4_096
# Absorbs rounding errors in the number of tokens.
EPSILON = 1e-9


class RateLimiter:
    """Token bucket that is filled at the rate that a target states.

    It starts empty, since a former process may have sent requests just before.

    Attributes
    ----------
    rate : float or None
        Stated limit in requests per second; None if there is none.
    tokens : float
        Requests that may be sent now.
    refilled_at : float
        Time of the last refill, in seconds of trio's clock.
    sent_times : deque of float
        Times of the latest requests under a limit, in seconds of trio's clock.
    """

    def __init__(self):
        self.rate = None
        self.tokens = 0.0
        self.refilled_at = 0.0
        self.sent_times = deque(maxlen=MAX_MEASURED_REQUESTS)

    @property
    def fill_rate(self):
        """Tokens that are added per second under a limit."""
        return max(self.rate, PROBE_RATE)

    def set_rate(self, rate, now):
        """Set the limit.

        Parameters
        ----------
        rate : float or None
            Limit in requests per second; None ends it.
        now : float
            Time in seconds of trio's clock.
        """
        if rate == self.rate:
            return
        if self.rate is None:
            self.tokens = 0.0
            self.refilled_at = now
            self.sent_times.clear()
        else:
            self._refill(now)
        self.rate = rate
        if rate is not None:
            self._refill(now)

    def has_token(self, now):
        """Return whether a request may be sent."""
        if self.rate is None:
            return True
        self._refill(now)
        return self.tokens >= 1.0 - EPSILON

    def take(self, now):
        """Count a request that is sent."""
        if self.rate is not None:
            self.tokens -= 1.0
            self.sent_times.append(now)

    def try_take(self, now):
        """Count a request if it may be sent; return whether it may."""
        has_token = self.has_token(now)
        if has_token:
            self.take(now)
        return has_token

    def wait_s(self, ahead, now):
        """Return the time until a request may be sent, in seconds.

        Parameters
        ----------
        ahead : int
            Number of requests to be sent before it.
        now : float
            Time in seconds of trio's clock.
        """
        if self.rate is None:
            return 0.0
        self._refill(now)
        return max(0.0, ahead + 1 - self.tokens) / self.fill_rate

    def measure_rate(self, now):
        """Return the rate of recent requests under a limit, per second."""
        since = now - MEASURED_WINDOW_S
        count = sum(sent_at > since for sent_at in self.sent_times)
        return count / MEASURED_WINDOW_S

    def _refill(self, now):
        burst = max(1.0, BURST_S * self.rate)
        refill = (now - self.refilled_at) * self.fill_rate
        self.tokens = min(burst, self.tokens + refill)
        self.refilled_at = now
