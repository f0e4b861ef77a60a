"""Service time distributions, learned from responses."""

from math import exp
from math import log

__all__ = ['ServiceTimeDistribution']

# Buckets grow by this factor, so that a quantile is off by at most a tenth.
BUCKET_GROWTH = 1.2
MIN_VALUE = 0.001
BUCKET_COUNT = 80
# All weights are halved once their sum exceeds this, so that the distribution
# follows changes of the load within a few hundred responses.
MAX_TOTAL_WEIGHT = 400.0
# Responses after which the samples count more than the initial assumption.
PRIOR_WEIGHT = 4.0
_LOG_GROWTH = log(BUCKET_GROWTH)


class ServiceTimeDistribution:
    """Distribution of a positive quantity over logarithmic buckets.

    Until enough values have been recorded, an exponential distribution with
    the given mean is mixed in.

    Parameters
    ----------
    prior_mean : float
        Assumed mean before any value has been recorded.

    Attributes
    ----------
    weights : list of float
        Weight of the values in each bucket.
    total_weight : float
        Sum of the weights.
    """

    __slots__ = ('prior_mean', 'total_weight', 'weights', '_sum')

    def __init__(self, prior_mean):
        self.prior_mean = prior_mean
        self.weights = [0.0] * BUCKET_COUNT
        self.total_weight = 0.0
        self._sum = 0.0

    def record(self, value):
        """Record a value."""
        self.weights[_find_bucket(value)] += 1.0
        self.total_weight += 1.0
        self._sum += value
        if self.total_weight > MAX_TOTAL_WEIGHT:
            self.weights = [0.5 * weight for weight in self.weights]
            self.total_weight *= 0.5
            self._sum *= 0.5

    @property
    def mean(self):
        """Mean of the recorded values and the assumed one."""
        return (self._sum + PRIOR_WEIGHT * self.prior_mean) / (
            self.total_weight + PRIOR_WEIGHT
        )

    def survival(self, value):
        """Return the probability that a value exceeds the given one."""
        if value <= 0.0:
            return 1.0
        recorded = 0.0
        if self.total_weight:
            bucket = _find_bucket(value)
            above = sum(self.weights[bucket + 1 :])
            # Values are assumed to be spread evenly within a bucket.
            share = (_upper_bound(bucket) - value) / (
                _upper_bound(bucket) - _lower_bound(bucket)
            )
            recorded = above + min(1.0, max(0.0, share)) * self.weights[bucket]
        prior = exp(-value / self.prior_mean)
        return (recorded + PRIOR_WEIGHT * prior) / (
            self.total_weight + PRIOR_WEIGHT
        )


def _find_bucket(value):
    if value <= MIN_VALUE:
        return 0
    index = int(log(value / MIN_VALUE) / _LOG_GROWTH) + 1
    return min(BUCKET_COUNT - 1, index)


def _lower_bound(bucket):
    return 0.0 if bucket == 0 else MIN_VALUE * BUCKET_GROWTH ** (bucket - 1)


def _upper_bound(bucket):
    return MIN_VALUE * BUCKET_GROWTH**bucket
