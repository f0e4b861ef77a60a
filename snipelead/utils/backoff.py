"""Back-off between attempts, with jitter so that herds spread out."""

import random

__all__ = ['Backoff']

MAX_DOUBLINGS = 16


class Backoff:
    """Exponential back-off with full jitter.

    Parameters
    ----------
    base_s : float
        Upper end of the first delay in seconds.
    cap_s : float
        Upper end of all delays in seconds.
    rng : random.Random or None
        Source of jitter; None for one seeded by the system.
    """

    def __init__(self, base_s, cap_s, rng=None):
        self.base_s = base_s
        self.cap_s = cap_s
        self.rng = rng or random.Random()
        self.failures = 0

    def next_s(self):
        """Return the next delay in seconds and count a failure."""
        doublings = min(self.failures, MAX_DOUBLINGS)
        self.failures += 1
        return self.rng.uniform(0, min(self.cap_s, self.base_s * 2**doublings))

    def reset(self):
        """Start over after a success."""
        self.failures = 0
