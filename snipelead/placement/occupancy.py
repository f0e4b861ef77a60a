"""Recent mean number of requests at a target."""

from math import exp

__all__ = ['OccupancyAverage']

# Time constant of the average. In a shorter time a target starts and ends so
# few requests that other nodes would act on chance; in a longer one a burst is
# noticed late.
TIME_CONSTANT_S = 0.5


class OccupancyAverage:
    """Average over time of a number that changes in steps.

    Attributes
    ----------
    mean : float
        Average up to the last sample.
    """

    __slots__ = ('mean', 'sampled_at')

    def __init__(self):
        self.mean = 0.0
        self.sampled_at = None

    def sample(self, value, now):
        """Record the current number.

        Parameters
        ----------
        value : int
            Requests in service or queued.
        now : float
            Time in seconds.
        """
        if self.sampled_at is None:
            self.mean = float(value)
        else:
            decay = exp(-max(0.0, now - self.sampled_at) / TIME_CONSTANT_S)
            self.mean = self.mean * decay + value * (1.0 - decay)
        self.sampled_at = now
