"""Division of what a customer may send in a window.

The bound on a window is ``(rate * window + burst) * (1 + overage) + extra``.
A token bucket of ``rate`` and ``burst`` uses ``rate * window + burst`` of it.
The remaining tolerance pays for what cannot be known at the moment of a grant;
``docs/design/quotas.md`` proves that the parts add up to the bound.
"""

from msgspec import Struct

__all__ = [
    'CONFIRMED_S',
    'HOLD_S',
    'LAPSE_S',
    'SETTLE_S',
    'TAKEOVER_S',
    'QuotaBudget',
    'QuotaRates',
]

MS_PER_S = 1_000
# Time for which a node may admit requests by a token, counted from the moment
# when it sent the request for it. Tokens that are held idle cannot be used by
# other nodes, and a shorter time would make nodes ask more often.
HOLD_S = 0.6
# A request must have been sent to a target within this time after it was
# admitted, or it is admitted again. Until then its token may be refunded, so
# that the granter creates no other one for it. With 0.8 s, a customer of 40
# requests per second that used its burst got 220 instead of 240 in 5 s.
SETTLE_S = 0.4
# Covers clocks that run at different rates.
CLOCK_MARGIN_S = 0.1
# After this time, counted from a grant, no request runs because of it.
LAPSE_S = HOLD_S + SETTLE_S + CLOCK_MARGIN_S
# A leader grants only if a majority has confirmed it within this time.
CONFIRMED_S = 0.25
# After this time, counted from the start of a leader, nothing is left of what
# the leaders before it have granted.
TAKEOVER_S = CONFIRMED_S + LAPSE_S
# Shares of the tolerance.
CAPACITY_SHARE = 0.5
TAKEOVER_SHARE = 0.3
RESERVE_SHARE = 0.2
# Part of a control's reserve that can be granted at once; the rest is the
# rate at which it is replenished.
RESERVE_CAPACITY_SHARE = 0.25


class QuotaRates(Struct, frozen=True):
    """Parameters of a token bucket.

    Parameters
    ----------
    capacity : float
        Highest number of tokens that exist at a time, in the bucket and at
        the nodes.
    rate_per_s : float
        Tokens created per second.
    takeover_rate_per_s : float
        The same while tokens of an earlier granter may exist.
    """

    capacity: float
    rate_per_s: float
    takeover_rate_per_s: float = 0.0


class QuotaBudget(Struct, frozen=True):
    """Bounds on the rate limits, and how much each granter may use.

    Parameters
    ----------
    window_s : float
        Length of the window in seconds; 0 if rate limits are not enforced.
    overage, extra : float
        Tolerance, as share of the limit and as number of requests.
    controls : int
        Number of controls with a reserve.
    """

    window_s: float
    overage: float
    extra: float
    controls: int = 1

    @classmethod
    def of_guarantees(cls, guarantees, controls=1):
        """Return the budget for the settings of a deployment."""
        return cls(
            guarantees.quota_window_ms / MS_PER_S,
            guarantees.quota_overage,
            guarantees.quota_extra,
            max(1, controls),
        )

    def is_limited(self, customer):
        """Return whether the requests of a customer are limited."""
        return self.window_s > 0 and customer.rate_per_s > 0

    def bound(self, customer):
        """Return the number of requests that may run in any window."""
        limit = customer.rate_per_s * self.window_s + customer.burst
        return limit * (1 + self.overage) + self.extra

    def tolerance(self, customer):
        """Return the part of the bound beyond the token bucket."""
        limit = customer.rate_per_s * self.window_s + customer.burst
        return limit * self.overage + self.extra

    def leader_rates(self, customer):
        """Return the token bucket of the leader for a customer."""
        tolerance = self.tolerance(customer)
        return QuotaRates(
            customer.burst + CAPACITY_SHARE * tolerance,
            customer.rate_per_s,
            min(customer.rate_per_s, TAKEOVER_SHARE * tolerance / TAKEOVER_S),
        )

    def reserve_rates(self, customer):
        """Return the token bucket of the reserve of each control."""
        share = RESERVE_SHARE * self.tolerance(customer) / self.controls
        # Only whole tokens are granted.
        capacity = max(1.0, RESERVE_CAPACITY_SHARE * share)
        if share < capacity:
            return QuotaRates(0.0, 0.0)
        return QuotaRates(
            capacity,
            min(customer.rate_per_s, (share - capacity) / self.window_s),
        )
