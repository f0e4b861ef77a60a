"""Usual rates of customers, and requests beyond them.

Answers bursts of single customers, who send four to eight times their usual
rate while others do not: without a distinction, all are refused alike.
"""

from math import log

from msgspec import Struct

from snipelead.admission.decaying import DecayingCount
from snipelead.utils.bounded_dict import BoundedDict

__all__ = ['UsualRates']

# Customers whose rates are kept.
MAX_TRACKED_CUSTOMERS = 1_000
# Half-life of the usual rate; several times as long as a burst.
HALF_LIFE_S = 30.0
# No request is beyond the usual rate before it was measured for this long.
MIN_OBSERVED_S = 10.0
# Requests up to this multiple of the usual rate are usual.
USUAL_FACTOR = 1.5
# Rate and number of requests that are always usual. The rate of a customer
# who sends few requests through one node varies by several times its mean.
FREE_RATE = 0.5
FREE_REQUESTS = 4.0
# Weight of requests beyond the usual rate in its average. A lasting rise is
# learned within a minute, a burst of seconds hardly.
BEYOND_WEIGHT = 0.25


class _Customer(Struct):
    """Recent requests of one customer."""

    requests: DecayingCount
    first_at: float
    tokens: float = FREE_REQUESTS
    refilled_at: float = 0.0

    def usual_rate(self, now):
        """Return the usual rate, in requests per second."""
        age_s = max(1.0, now - self.first_at)
        observed = 1.0 - 0.5 ** (age_s / HALF_LIFE_S)
        return self.requests.get(now) * log(2) / (HALF_LIFE_S * observed)


class UsualRates:
    """Learns how many requests each customer sends through this node.

    Attributes
    ----------
    customers : dict of TenantName to _Customer
        Recent requests of each customer.
    started_at : float or None
        Time of the first request, in seconds.
    """

    def __init__(self):
        self.customers = BoundedDict(MAX_TRACKED_CUSTOMERS)
        self.started_at = None

    def record(self, customer, now):
        """Record a request; return whether it is beyond the usual rate.

        Parameters
        ----------
        customer : TenantName
            Customer that sent the request.
        now : float
            Time in seconds.
        """
        if self.started_at is None:
            self.started_at = now
        state = self.customers.get(customer)
        if state is None:
            state = _Customer(DecayingCount(HALF_LIFE_S), now, refilled_at=now)
            self.customers[customer] = state
        rate = USUAL_FACTOR * state.usual_rate(now) + FREE_RATE
        state.tokens = min(
            FREE_REQUESTS + rate,
            state.tokens + rate * (now - state.refilled_at),
        )
        state.refilled_at = now
        is_learning = (
            now < self.started_at + MIN_OBSERVED_S
            or now < state.first_at + MIN_OBSERVED_S
        )
        is_beyond = state.tokens < 1.0 and not is_learning
        if not is_beyond:
            state.tokens = max(0.0, state.tokens - 1.0)
        state.requests.add(now, BEYOND_WEIGHT if is_beyond else 1.0)
        return is_beyond
