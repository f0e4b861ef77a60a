"""Retry budget that limits retries to a share of the requests."""

__all__ = ['RetryBudget']


class RetryBudget:
    """Token bucket that is filled by first attempts and emptied by retries.

    Parameters
    ----------
    ratio : float
        Tokens added for each first attempt.
    burst : float
        Capacity of the bucket, which starts full.
    """

    def __init__(self, ratio, burst=10.0):
        self.ratio = ratio
        self.burst = burst
        self.tokens = burst

    def set_burst(self, burst, random_fraction=0.0):
        """Set the capacity; surplus tokens are dropped.

        A capacity below one token would never allow a retry. It is raised to
        one, and when it first falls below one, the bucket keeps its token
        with the probability of ``burst``, so that many buckets together hold
        ``burst`` tokens each.

        Parameters
        ----------
        burst : float
            New capacity.
        random_fraction : float
            Random number from 0 to 1.
        """
        if burst < 1.0:
            if self.burst > 1.0 and random_fraction >= burst:
                self.tokens = 0.0
            burst = 1.0
        self.burst = burst
        self.tokens = min(self.tokens, burst)

    def add_attempt(self):
        """Add the tokens of a first attempt."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def try_take(self, reserve=0.0):
        """Take a token for a retry.

        Parameters
        ----------
        reserve : float
            Tokens that must remain in the bucket for other requests.

        Returns
        -------
        bool
            False if too few tokens are left; none is taken then.
        """
        if self.tokens - reserve < 1.0:
            return False
        self.tokens -= 1.0
        return True
