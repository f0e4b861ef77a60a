"""Share of the attempts of a route that targets accept.

A node sends each target of a large service about one request a second, while
the free slots of a target change within tens of milliseconds. What it knows
of a single target is therefore mostly outdated, but the share of its recent
attempts that were accepted tells how full the service is.
"""

from math import inf

from snipelead.admission.decaying import DecayingCount
from snipelead.admission.route_shares import MAX_ROUTES_PER_SERVICE
from snipelead.admission.route_shares import MIN_SHARE_OF_MEAN
from snipelead.utils.bounded_dict import BoundedDict

__all__ = ['AcceptanceEstimator', 'ServiceAcceptance']

# Attempts that are sent for each accepted one. With fewer, targets would run
# out of waiting requests and the service recovers slowly; with more, most of
# the hops are in vain. See docs/design/overload.md for the values compared.
MAX_ATTEMPTS_PER_ACCEPTED = 2.0
# Attempts that are never refused within the half-life, so that a node with
# few requests still notices free capacity.
FREE_ATTEMPTS = 2.0
# Time in which an attempt loses half of its weight. It is as short as the
# number of attempts of a node allows, since bursts last a few seconds.
HALF_LIFE_S = 0.7
# A service without refusals for this time is not full.
FORGOTTEN_AFTER_S = 10 * HALF_LIFE_S
# Largest share of the attempts beyond the usual rate of a customer that are
# not sent, so that no customer is served less than a quarter as often as all.
MAX_BEYOND_REFUSAL = 0.85


class AcceptanceEstimator:
    """Decides which attempts of one route to one service are worth a hop.

    An attempt counts as accepted from when it is sent until a refusal is
    received, since responses take far longer than refusals. Attempts that are
    not sent count as wanted only. When all attempts that are sent are accepted
    again, the rate of attempts sent therefore grows by the factor
    ``MAX_ATTEMPTS_PER_ACCEPTED`` in about one half-life.

    Attributes
    ----------
    wanted, accepted : DecayingCount
        Attempts that were wanted, and those that were sent and not refused.
    beyond, requests : DecayingCount
        Requests beyond the usual rates of their customers, and all requests.
    rank : int
        Urgency of the route; the lowest is the most urgent.
    """

    __slots__ = ('accepted', 'beyond', 'rank', 'requests', 'wanted')

    def __init__(self):
        self.rank = 0
        self.wanted = DecayingCount(HALF_LIFE_S)
        self.accepted = DecayingCount(HALF_LIFE_S)
        self.beyond = DecayingCount(HALF_LIFE_S)
        self.requests = DecayingCount(HALF_LIFE_S)

    def record_withheld(self, now):
        """Record an attempt that is not sent."""
        self.wanted.add(now)

    def record_sent(self, now):
        """Record an attempt that is sent."""
        self.wanted.add(now)
        self.accepted.add(now)

    def record_refused(self, now):
        """Record that an attempt that was sent has been refused."""
        self.accepted.add(now, -min(1.0, self.accepted.get(now)))

    def refusal_share(self, now):
        """Return the share of the attempts that should not be sent."""
        wanted = self.wanted.get(now)
        allowed = (
            MAX_ATTEMPTS_PER_ACCEPTED * self.accepted.get(now) + FREE_ATTEMPTS
        )
        return max(0.0, (wanted - allowed) / (wanted + 1.0))


class ServiceAcceptance:
    """Attempts of all routes to one service.

    Attributes
    ----------
    estimators : dict of tuple to AcceptanceEstimator
        Attempts by route and by whether work in progress made them.
    refused_at : float
        Time in seconds of the last refusal.
    """

    def __init__(self):
        self.estimators = BoundedDict(MAX_ROUTES_PER_SERVICE)
        self.refused_at = -inf

    def get(self, call):
        """Return the estimator for a call."""
        key = (call.route, call.standing.from_work)
        estimator = self.estimators.get(key)
        if estimator is None:
            estimator = self.estimators[key] = AcceptanceEstimator()
        estimator.rank = call.standing.rank(call.priority)
        return estimator

    def record_request(self, call, now):
        """Record the first attempt of a request."""
        estimator = self.get(call)
        estimator.requests.add(now)
        if call.standing.beyond_usual:
            estimator.beyond.add(now)

    def _is_starving(self, own, now):
        """Return whether a route is accepted far less often than others."""
        estimators = self.estimators.values()
        accepted = sum(e.accepted.get(now) for e in estimators)
        wanted = sum(e.wanted.get(now) for e in estimators)
        return own.accepted.get(now) * wanted < (
            MIN_SHARE_OF_MEAN * accepted * own.wanted.get(now)
        )

    def record_refused(self, call, now):
        """Record that an attempt that was sent has been refused."""
        self.refused_at = now
        self.get(call).record_refused(now)

    def refusal_share(self, call, now):
        """Return the share of attempts like this one that are not sent.

        A route is not sent more often than the more urgent ones, unless it
        is starving. What
        customers send beyond their usual rates is refused first.
        """
        if now > self.refused_at + FORGOTTEN_AFTER_S:
            return 0.0
        own = self.get(call)
        share = own.refusal_share(now)
        if not self._is_starving(own, now):
            urgent = (
                estimator.refusal_share(now)
                for estimator in self.estimators.values()
                if estimator.rank < own.rank
            )
            share = max((share, *urgent))
        beyond_share = own.beyond.get(now) / max(1.0, own.requests.get(now))
        if not share or not beyond_share:
            return share
        if call.standing.beyond_usual:
            return min(MAX_BEYOND_REFUSAL, share / beyond_share)
        if beyond_share >= 1.0:
            return share
        return max(0.0, share - beyond_share) / (1.0 - beyond_share)
