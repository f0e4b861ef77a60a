"""Share of the attempts of a route that targets accept.

A node sends each target of a large service about one request a second, while
the free slots of a target change within tens of milliseconds. What it knows
of a single target is therefore mostly outdated, but the share of its recent
attempts that were accepted tells how full the service is.
"""

from snipelead.admission.decaying import DecayingCount

__all__ = ['AcceptanceEstimator']

# Attempts that are sent for each accepted one. With fewer, targets would run
# out of waiting requests and the service recovers slowly; with more, most of
# the hops are in vain. See docs/design/overload.md for the values compared.
MAX_ATTEMPTS_PER_ACCEPTED = 2.0
# Attempts that are never refused within the half-life, so that a node with
# few requests still notices free capacity.
FREE_ATTEMPTS = 2.0
# Time in which an attempt loses half of its weight. It is as short as the
# number of attempts of a node allows, since bursts last a few seconds.
HALF_LIFE_S = 1.0


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
    """

    __slots__ = ('accepted', 'wanted')

    def __init__(self):
        self.wanted = DecayingCount(HALF_LIFE_S)
        self.accepted = DecayingCount(HALF_LIFE_S)

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
