"""Exponential backoff with jitter.

The jitter keeps clients that failed at the same time from retrying at the
same time.
"""

import random

__all__ = ['Backoff']

# Keeps the exponential within the range of a float.
MAX_DOUBLINGS = 16


class Backoff:
    """Exponential backoff with full jitter.

    Each delay is drawn uniformly between 0 and an upper bound, which doubles
    with each failure.

    Parameters
    ----------
    base_s : float
        Upper bound of the first delay, in seconds.
    cap_s : float
        Upper bound of all delays, in seconds.
    rng : random.Random or None
        Random number generator for the jitter; None for one seeded by the
        operating system.

    Attributes
    ----------
    failures : int
        Number of failures since the last success.
    """

    def __init__(self, base_s, cap_s, rng=None):
        self.base_s = base_s
        self.cap_s = cap_s
        self.rng = rng or random.Random()
        self.failures = 0

    def next_delay_s(self):
        """Count a failure and return the next delay in seconds."""
        doublings = min(self.failures, MAX_DOUBLINGS)
        self.failures += 1
        return self.rng.uniform(0, min(self.cap_s, self.base_s * 2**doublings))

    def reset(self):
        """Reset the number of failures after a success."""
        self.failures = 0
