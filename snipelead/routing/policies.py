"""Ways to choose among usable targets.

Only :func:`choose_observed` is used in service; the others are baselines
to measure it against.
"""

from enum import Enum

__all__ = ['POLICIES', 'Policy']

# Own zone is preferred up to this load for each slot.
OWN_ZONE_UTILISATION = 0.75


class Policy(Enum):
    """Way to choose a target."""

    OBSERVED = 'observed'
    RANDOM = 'random'
    ROUND_ROBIN = 'round-robin'
    LEAST_CONNECTIONS = 'least-connections'


def _pick_two(balancer, observations, now):
    if len(observations) == 1:
        return observations[0]
    first, second = balancer.random.sample(observations, 2)
    return first if first.cost(now) <= second.cost(now) else second


def choose_observed(balancer, observations, now):
    """Take the better of two random targets, own zone first."""
    own = [o for o in observations if o.entry.zone == balancer.zone]
    if own:
        picked = _pick_two(balancer, own, now)
        if picked.utilisation(now) < OWN_ZONE_UTILISATION:
            return picked
    return _pick_two(balancer, observations, now)


def choose_random(balancer, observations, now):
    """Take a random target."""
    return balancer.random.choice(observations)


def choose_round_robin(balancer, observations, now):
    """Take the targets in turn."""
    balancer.turn += 1
    return observations[balancer.turn % len(observations)]


def choose_least_connections(balancer, observations, now):
    """Take the target with the fewest own requests under way."""
    return min(observations, key=lambda o: o.in_flight)


POLICIES = {
    Policy.OBSERVED: choose_observed,
    Policy.RANDOM: choose_random,
    Policy.ROUND_ROBIN: choose_round_robin,
    Policy.LEAST_CONNECTIONS: choose_least_connections,
}
