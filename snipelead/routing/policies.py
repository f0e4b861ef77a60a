"""Load balancing policies.

A node uses one of the first two, as its settings tell. The others are
baselines for benchmarks.
"""

from enum import Enum
from typing import NamedTuple

from snipelead.placement.choice import choose_by_expected_cost
from snipelead.placement.distribution import ServiceTimeDistribution
from snipelead.types import RouteName

__all__ = ['POLICIES', 'Policy', 'RequestProfile']

# The own zone is preferred while its expected latency is at most this multiple
# of that in other zones.
OWN_ZONE_MAX_LATENCY_RATIO = 1.5
# Exponent of a target's capacity when candidates are drawn; see
# docs/design/load.md for a comparison of exponents.
CAPACITY_EXPONENT = 2
# Expected latencies below this count as equal.
LATENCY_RESOLUTION_S = 0.001


class Policy(Enum):
    """Load balancing policy."""

    OBSERVED = 'observed'
    EXPECTED_COMPLETION = 'expected-completion'
    RANDOM = 'random'
    ROUND_ROBIN = 'round-robin'
    LEAST_CONNECTIONS = 'least-connections'


class RequestProfile(NamedTuple):
    """Properties of a request that affect the choice of its target.

    Attributes
    ----------
    at_most_once : bool
        Whether the request must not be repeated.
    mean_service_s : float or None
        Mean service time of the route over all targets, in seconds. If None,
        the latency over all routes is used.
    cross_zone_cost_s : float or None
        Cost of sending the response across zones, as added latency in
        seconds. If None, the own zone is preferred up to a load limit.
    route : RouteName or None
        Route of the request.
    mean_relative_service_time : float
        Mean over the targets of the service that have published theirs; 0.0
        if none has.
    published_weight : float
        Weight of the published relative service times against what this node
        has observed, from 0.0 to 1.0.
    remaining_s : float or None
        Time left to meet the latency objective, in seconds; None if there is
        none.
    shape : ServiceTimeDistribution or None
        Distribution of the service times of the route in proportion to their
        mean at each target.
    """

    at_most_once: bool = False
    mean_service_s: float | None = None
    cross_zone_cost_s: float | None = None
    route: RouteName | None = None
    mean_relative_service_time: float = 0.0
    published_weight: float = 1.0
    remaining_s: float | None = None
    shape: ServiceTimeDistribution | None = None


def _choose_of_two(balancer, observations, now, profile):
    """Return the cheaper of two targets drawn at random by capacity.

    This is the "power of two choices". Weights by the square of the capacity
    give most requests to a target that is twice as fast, as long as it has
    free slots. Comparing two random candidates by cost keeps many nodes from
    choosing the same target at once.
    """
    if len(observations) == 1:
        return observations[0]
    weights = [
        (
            o.entry.slots
            / max(LATENCY_RESOLUTION_S, o.expected_latency_s(now, profile))
        )
        ** CAPACITY_EXPONENT
        for o in observations
    ]
    draw = balancer.random.choices
    (first,) = draw(observations, weights)
    first_index = observations.index(first)
    others = observations[:first_index] + observations[first_index + 1 :]
    (second,) = draw(
        others, weights[:first_index] + weights[first_index + 1 :]
    )
    if first.cost(now, profile) <= second.cost(now, profile):
        return first
    return second


def _choose_by_cross_zone_cost(balancer, observations, now, profile):
    """Return the cheaper of one target in the own zone and one outside it.

    The cost of sending the response across zones is added to the latter.
    """
    own_zone = [o for o in observations if o.entry.zone == balancer.zone]
    other_zones = [o for o in observations if o.entry.zone != balancer.zone]
    if not own_zone or not other_zones:
        return _choose_of_two(balancer, own_zone or other_zones, now, profile)
    local = _choose_of_two(balancer, own_zone, now, profile)
    remote = _choose_of_two(balancer, other_zones, now, profile)
    if (
        local.cost(now, profile)
        <= remote.cost(now, profile) + profile.cross_zone_cost_s
    ):
        return local
    return remote


def choose_observed(balancer, observations, now, profile):
    """Return the better of two random targets, preferring the own zone.

    If a cost of crossing zones is configured, it is weighed against the
    difference in cost. Otherwise the own zone is preferred unless its target
    is loaded or has a clearly higher expected latency.
    """
    if profile.cross_zone_cost_s is not None:
        return _choose_by_cross_zone_cost(balancer, observations, now, profile)
    picked = _choose_of_two(balancer, observations, now, profile)
    if picked.entry.zone == balancer.zone:
        return picked
    own_zone = [o for o in observations if o.entry.zone == balancer.zone]
    if not own_zone:
        return picked
    local = _choose_of_two(balancer, own_zone, now, profile)
    max_latency_s = OWN_ZONE_MAX_LATENCY_RATIO * picked.expected_latency_s(
        now, profile
    )
    is_loaded = local.utilisation(now) >= balancer.own_zone_load
    if is_loaded or local.expected_latency_s(now, profile) > max_latency_s:
        return picked
    return local


def choose_expected_completion(balancer, observations, now, profile):
    """Return a target that is expected to answer in time.

    Without recent loads of the targets, or for a request without a latency
    objective, the choice is that of :func:`choose_observed`.
    """
    chosen = choose_by_expected_cost(balancer, observations, now, profile)
    if chosen is None:
        return choose_observed(balancer, observations, now, profile)
    return chosen


def choose_random(balancer, observations, now, profile):
    """Return a random target."""
    return balancer.random.choice(observations)


def choose_round_robin(balancer, observations, now, profile):
    """Return the targets in turn."""
    balancer.round_robin_index += 1
    return observations[balancer.round_robin_index % len(observations)]


def choose_least_connections(balancer, observations, now, profile):
    """Return the target with the fewest requests of this node in flight."""
    return min(observations, key=lambda o: o.in_flight)


POLICIES = {
    Policy.OBSERVED: choose_observed,
    Policy.EXPECTED_COMPLETION: choose_expected_completion,
    Policy.RANDOM: choose_random,
    Policy.ROUND_ROBIN: choose_round_robin,
    Policy.LEAST_CONNECTIONS: choose_least_connections,
}
