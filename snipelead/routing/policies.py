"""Ways to choose among usable targets.

Only :func:`choose_observed` is used in service; the others are baselines
to measure it against.
"""

from enum import Enum
from typing import NamedTuple

from snipelead.types import RouteName

__all__ = ['Demand', 'POLICIES', 'Policy']

# Own zone is preferred while its targets take at most so many times as long.
OWN_ZONE_TOLERANCE = 1.5
# Weight of a target's capacity when candidates are drawn; see
# docs/design/load.md for other powers.
CAPACITY_POWER = 2
# Times below this are not told apart, in seconds.
MIN_EXPECTED_S = 0.001


class Policy(Enum):
    """Way to choose a target."""

    OBSERVED = 'observed'
    RANDOM = 'random'
    ROUND_ROBIN = 'round-robin'
    LEAST_CONNECTIONS = 'least-connections'


class Demand(NamedTuple):
    """What a request asks of a target.

    Attributes
    ----------
    once : bool
        Whether it may not be repeated.
    work_s : float or None
        Mean time that targets take for requests of its route, in seconds;
        None takes that of all requests.
    crossing_s : float or None
        Price of carrying its answer across zones, as time in seconds; None
        prefers the own zone by its load.
    route : RouteName or None
        Its route.
    """

    once: bool = False
    work_s: float | None = None
    crossing_s: float | None = None
    route: RouteName | None = None


def _pick_two(balancer, observations, now, demand):
    """Take the cheaper of two, drawn by how much each can do.

    A draw by the square of its capacity gives a target that is twice as
    quick most requests while it has room; that two are compared by their load
    keeps many nodes from choosing the same one.
    """
    if len(observations) == 1:
        return observations[0]
    weights = [
        (o.entry.slots / max(MIN_EXPECTED_S, o.expected_s(now, demand)))
        ** CAPACITY_POWER
        for o in observations
    ]
    draw = balancer.random.choices
    (first,) = draw(observations, weights)
    place = observations.index(first)
    others = observations[:place] + observations[place + 1 :]
    (second,) = draw(others, weights[:place] + weights[place + 1 :])
    if first.cost(now, demand) <= second.cost(now, demand):
        return first
    return second


def _choose_priced(balancer, observations, now, demand):
    """Take the cheaper of the better ones of the own and of other zones.

    What it costs to carry the answer across zones counts as time.
    """
    own = [o for o in observations if o.entry.zone == balancer.zone]
    others = [o for o in observations if o.entry.zone != balancer.zone]
    if not own or not others:
        return _pick_two(balancer, own or others, now, demand)
    near = _pick_two(balancer, own, now, demand)
    far = _pick_two(balancer, others, now, demand)
    if near.cost(now, demand) <= far.cost(now, demand) + demand.crossing_s:
        return near
    return far


def choose_observed(balancer, observations, now, demand):
    """Take the better of two random targets.

    One of the own zone goes first unless it is loaded or clearly worse, or
    where a price of crossing zones is stated, unless it costs more than
    another with that price.
    """
    if demand.crossing_s is not None:
        return _choose_priced(balancer, observations, now, demand)
    picked = _pick_two(balancer, observations, now, demand)
    if picked.entry.zone == balancer.zone:
        return picked
    own = [o for o in observations if o.entry.zone == balancer.zone]
    if not own:
        return picked
    near = _pick_two(balancer, own, now, demand)
    tolerated_s = OWN_ZONE_TOLERANCE * picked.expected_s(now, demand)
    is_loaded = near.utilisation(now) >= balancer.own_zone_load
    if is_loaded or near.expected_s(now, demand) > tolerated_s:
        return picked
    return near


def choose_random(balancer, observations, now, demand):
    """Take a random target."""
    return balancer.random.choice(observations)


def choose_round_robin(balancer, observations, now, demand):
    """Take the targets in turn."""
    balancer.turn += 1
    return observations[balancer.turn % len(observations)]


def choose_least_connections(balancer, observations, now, demand):
    """Take the target with the fewest own requests under way."""
    return min(observations, key=lambda o: o.in_flight)


POLICIES = {
    Policy.OBSERVED: choose_observed,
    Policy.RANDOM: choose_random,
    Policy.ROUND_ROBIN: choose_round_robin,
    Policy.LEAST_CONNECTIONS: choose_least_connections,
}
