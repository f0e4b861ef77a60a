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

    def set_burst(self, burst):
        """Set the capacity; surplus tokens are dropped."""
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
