"""Expected cost of sending a request to a target.

Answers load that is uneven across zones and targets, with requests of one
route that need very different amounts of work. The cost is the probability
that the request is answered late, plus a penalty for a refusal and for bytes
across zones, so that a zone sends away only what its own targets are likely
to answer late.
"""

from math import erf
from math import exp
from math import pi
from math import sqrt

from msgspec import Struct

__all__ = ['TargetOutlook', 'draw_weight', 'expected_cost']

# Standard deviation of the number of requests at a target around its recent
# mean: requests arrive independently, at nine to twenty slots.
OCCUPANCY_DEVIATION = 2.0
# Share of its spare time that a request may wait, see
# nodes/latency_queue.py; it is refused if it would wait longer.
MAX_WAIT_SHARE = 0.35
# Multiple of the mean service time that is not counted as spare time.
SERVICE_TIME_MARGIN = 1.3
# Penalty of a refusal, as a probability of a late response: another target is
# tried, which also takes time.
REFUSAL_COST = 0.3
# From this probability on, the request is expected to be refused, and its
# last attempt would fail.
CERTAIN_REFUSAL = 0.9
CERTAIN_REFUSAL_COST = 0.5
# Exponent of the speed of a target in its weight. Above 1, faster targets get
# more than their share while they have free slots.
SPEED_EXPONENT = 1.25
# A target at 1.2 requests a slot gets few further requests.
FULL_OCCUPANCY = 1.2
MIN_ROOM = 0.1


class TargetOutlook(Struct, frozen=True):
    """What is expected of a target for one request.

    Parameters
    ----------
    slots : int
        Concurrent requests of the target.
    occupancy : float
        Expected requests in service or queued.
    service_s : float
        Mean service time of the request's route at this target, in seconds.
    round_trip_s : float
        Time to the target and back, in seconds.
    error_rate : float
        Share of the requests that the target fails.
    share : float
        Share of its usual requests that the target should get, below 1 during
        a slow start.
    """

    slots: int
    occupancy: float
    service_s: float
    round_trip_s: float = 0.0
    error_rate: float = 0.0
    share: float = 1.0


def draw_weight(outlook):
    """Return the weight with which a target is drawn at random.

    All nodes know the same loads. If each chose the best target, all would
    choose the same one until the next loads arrive; weights divide the
    requests of all nodes in proportion to the room at each target.

    Parameters
    ----------
    outlook : TargetOutlook
        The target.

    Returns
    -------
    float
    """
    room = FULL_OCCUPANCY - outlook.occupancy / max(1, outlook.slots)
    # The square makes a target that fails half of its requests rare.
    reliability = (1.0 - min(0.95, outlook.error_rate)) ** 2
    return (
        outlook.share
        * reliability
        * max(MIN_ROOM, room)
        * outlook.service_s**-SPEED_EXPONENT
    )


def expected_cost(outlook, remaining_s, shape):
    """Return the expected cost of a request at a target.

    Parameters
    ----------
    outlook : TargetOutlook
        The target.
    remaining_s : float
        Time left to meet the latency objective, in seconds.
    shape : ServiceTimeDistribution
        Distribution of service times in proportion to their mean at each
        target.

    Returns
    -------
    float
        0 for a response in time, about 1 for a late one.
    """
    slots = max(1, outlook.slots)
    slot_interval_s = outlook.service_s / slots
    spare_s = remaining_s - SERVICE_TIME_MARGIN * outlook.service_s
    max_wait_s = max(
        0.0, min(MAX_WAIT_SHARE * spare_s, spare_s - slot_interval_s)
    )
    capacity = slots + max_wait_s / slot_interval_s
    refusal = _normal_distribution(
        (outlook.occupancy + 0.5 - capacity) / OCCUPANCY_DEVIATION
    )
    wait_s = min(
        max_wait_s,
        _expected_excess(outlook.occupancy, slots) * slot_interval_s,
    )
    left_s = remaining_s - wait_s - outlook.round_trip_s
    late = shape.survival(left_s / outlook.service_s)
    failure = 1.0 - (1.0 - late) * (1.0 - outlook.error_rate)
    cost = refusal * REFUSAL_COST + (1.0 - refusal) * failure
    if refusal > CERTAIN_REFUSAL:
        cost += CERTAIN_REFUSAL_COST * refusal
    return cost


def _normal_distribution(deviations):
    return 0.5 * (1.0 + erf(deviations / sqrt(2.0)))


def _expected_excess(occupancy, slots):
    """Return the mean number of requests beyond the slots."""
    deviations = (occupancy + 0.5 - slots) / OCCUPANCY_DEVIATION
    density = exp(-0.5 * deviations * deviations) / sqrt(2.0 * pi)
    return OCCUPANCY_DEVIATION * (
        density + deviations * _normal_distribution(deviations)
    )
