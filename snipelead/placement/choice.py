"""Choice of the target with the lowest expected cost."""

from snipelead.placement.expected_cost import draw_weight
from snipelead.placement.expected_cost import expected_cost
from snipelead.placement.expected_cost import TargetOutlook

__all__ = ['choose_by_expected_cost']

# Shared loads older than this are ignored.
MAX_LOAD_AGE_S = 2.0
# Share of the targets whose loads must be known.
MIN_KNOWN_SHARE = 0.5
# Cost of a second of latency as a probability of a late response. If the
# standard deviation of response times equals their mean, 140 ms more make one
# more request in 25 late.
LATE_SHARE_PER_S = 0.04 / 0.14
MIN_SERVICE_S = 0.001


class _Loads:
    """Loads of the targets of a service for one request."""

    def __init__(self, observations, now, profile):
        self.now = now
        self.profile = profile
        self.known = [
            o for o in observations if now - o.shared_load_at <= MAX_LOAD_AGE_S
        ]
        ratios = [
            o.shared_relative_time
            for o in self.known
            if o.shared_relative_time
        ]
        self.mean_relative_time = sum(ratios) / len(ratios) if ratios else 0.0

    def make_outlook(self, observation):
        """Return what is expected of a target."""
        now, profile = self.now, self.profile
        occupancy = observation.load(now)
        service_s = observation.service_time_s(now, profile)
        if now - observation.shared_load_at <= MAX_LOAD_AGE_S:
            occupancy = max(
                observation.in_flight, observation.shared_occupancy
            )
            if observation.shared_relative_time and self.mean_relative_time:
                service_s = (
                    profile.mean_service_s
                    * observation.shared_relative_time
                    / self.mean_relative_time
                )
        return TargetOutlook(
            observation.entry.slots,
            occupancy,
            max(MIN_SERVICE_S, service_s),
            observation.round_trip_s,
            observation.error_share(now, profile),
            observation.slow_start_share(now),
        )


def choose_by_expected_cost(balancer, observations, now, profile):
    """Return a target, or None if too little is known of the targets.

    One target is drawn in the own zone and one in the others, both with
    weights by speed and room; the one with the lower expected cost is chosen.

    Parameters
    ----------
    balancer : Balancer
        Gives the zone and random numbers.
    observations : list of TargetObservation
        Usable targets.
    now : float
        Time in seconds of trio's clock.
    profile : RequestProfile
        Properties of the request.

    Returns
    -------
    TargetObservation or None
    """
    if profile.mean_service_s is None or profile.remaining_s is None:
        return None
    loads = _Loads(observations, now, profile)
    if len(loads.known) < MIN_KNOWN_SHARE * len(observations):
        return None
    local, remote = (
        _draw(
            balancer.random,
            [
                o
                for o in observations
                if (o.entry.zone == balancer.zone) is own
            ],
            loads,
        )
        for own in (True, False)
    )
    if local is None or remote is None:
        return (local or remote)[0]
    local_cost, remote_cost = (
        expected_cost(outlook, profile.remaining_s, profile.shape)
        for _, outlook in (local, remote)
    )
    crossing_s = profile.cross_zone_cost_s or 0.0
    if local_cost <= remote_cost + LATE_SHARE_PER_S * crossing_s:
        return local[0]
    return remote[0]


def _draw(random, observations, loads):
    """Return a random target and its outlook, or None if there is none."""
    if not observations:
        return None
    outlooks = [loads.make_outlook(o) for o in observations]
    weights = [draw_weight(outlook) for outlook in outlooks]
    (index,) = random.choices(range(len(observations)), weights)
    return observations[index], outlooks[index]
