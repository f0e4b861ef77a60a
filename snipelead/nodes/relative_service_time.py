"""How slow a target is, as told to all nodes.

In a large fleet, each node calls a target too rarely to learn its speed: with
190 nodes and 76 targets, each sees about one response of a target in half a
minute. The node beside the target sees all its responses and publishes their
mean in the target directory.
"""

from math import inf

__all__ = ['RelativeServiceTime']

# Minimum weight of the newest response in the moving average. All nodes act on
# a published value, so its noise is not averaged out among them.
EWMA_WEIGHT = 0.02
# The same for the average that reveals a target that has become slow or fast.
RECENT_EWMA_WEIGHT = 0.1
# The average starts anew if the recent responses differ by this factor.
SHIFT_FACTOR = 2.0
# Numbers of responses after which the average is published; it becomes more
# precise each time.
PUBLISHED_SAMPLE_COUNTS = (10, 30, 90)
# Later it is published if it differs by this factor.
CHANGE_FACTOR = 1.2
# Minimum time between two publications.
MIN_INTERVAL_S = 1.0
_DIGITS = 3


class RelativeServiceTime:
    """Moving average of service times relative to their references.

    Service times of different routes are comparable in proportion to the
    latency objectives of the routes.

    Attributes
    ----------
    mean : float
        Moving average; the first samples have equal weights.
    recent_mean : float
        Moving average of the latest samples.
    sample_count : int
        Number of samples since the average started.
    published : float
        Value that was published last; 0.0 if there is none.
    published_count : int
        Number of samples at the last publication.
    published_at : float
        Time of the last publication, in seconds of trio's clock.
    """

    def __init__(self):
        self.mean = 0.0
        self.recent_mean = 0.0
        self.sample_count = 0
        self.published = 0.0
        self.published_count = 0
        self.published_at = -inf

    def record(self, service_s, reference_s):
        """Record the service time of a response.

        Parameters
        ----------
        service_s : float
            Service time in seconds.
        reference_s : float
            Latency objective or deadline of the route, in seconds.
        """
        value = service_s / reference_s
        self.sample_count += 1
        weight = max(EWMA_WEIGHT, 1.0 / self.sample_count)
        self.mean += weight * (value - self.mean)
        self.recent_mean += max(weight, RECENT_EWMA_WEIGHT) * (
            value - self.recent_mean
        )
        shift = self.recent_mean / self.mean if self.mean else 1.0
        if not 1 / SHIFT_FACTOR < shift < SHIFT_FACTOR:
            self.mean = self.recent_mean
            self.sample_count = PUBLISHED_SAMPLE_COUNTS[0]
            self.published_count = 0

    def take_update(self, now):
        """Return the value to publish, or None if the last one holds.

        Parameters
        ----------
        now : float
            Time in seconds of trio's clock.
        """
        if now - self.published_at < MIN_INTERVAL_S or not self._is_due():
            return None
        self.published = round(self.mean, _DIGITS)
        self.published_count = self.sample_count
        self.published_at = now
        return self.published

    def _is_due(self):
        if any(
            self.published_count < count <= self.sample_count
            for count in PUBLISHED_SAMPLE_COUNTS
        ):
            return True
        if not self.published or not self.mean:
            return False
        factor = self.mean / self.published
        return max(factor, 1.0 / factor) >= CHANGE_FACTOR
