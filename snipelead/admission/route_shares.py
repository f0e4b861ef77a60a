"""Order among the routes of a service under overload.

Answers overload by routes with unequal latency objectives: a route with a long
objective may wait for slots in which a route with a short one, although more
urgent, has to be refused. The least urgent route was then served best.
"""

from msgspec import Struct

from snipelead.admission.decaying import DecayingCount
from snipelead.utils.bounded_dict import BoundedDict

__all__ = ['RouteShares']

# Routes that are compared with each other, those used last.
MAX_ROUTES_PER_SERVICE = 64
# Time in which a request loses half of its weight. A target receives 10 to 50
# requests a second.
HALF_LIFE_S = 1.5
# A route with fewer recent requests than this tells nothing about the load.
MIN_OFFERED = 3.0
# A more urgent route counts as refused if it is served less often than this.
FULL_SHARE = 0.9
# A route may be served less often than a more urgent one by this much for each
# step in priority before it stops yielding to it. With less, the more urgent
# routes are refused as often as the others; with more, a few refusals of the
# most urgent route would take all slots from the next one.
LEAD_PER_RANK = 0.3
# A route is served at least this often in proportion to all requests. Callers
# need a quarter; the rest is for the error of a measured share.
MIN_SHARE_OF_MEAN = 0.4


class _RouteCounts(Struct):
    """Recent requests of one route and standing."""

    rank: int
    offered: DecayingCount
    accepted: DecayingCount

    def share(self, now):
        """Return the share of the requests that were accepted."""
        offered = self.offered.get(now)
        return self.accepted.get(now) / offered if offered else 1.0


class RouteShares:
    """Recent requests of each route, and how many of them were accepted.

    Requests beyond the usual rate of their customer are not counted: that
    they are refused does not show that their route is.

    Attributes
    ----------
    counts : dict of tuple to _RouteCounts
        Requests by route, by whether work in progress made them and by rank.
        Requests of one route differ in rank if their customers have
        priorities of their own.
    """

    def __init__(self):
        self.counts = BoundedDict(MAX_ROUTES_PER_SERVICE)

    def record(self, call, accepted, now):
        """Record a request.

        Parameters
        ----------
        call : Call
            Call with the route, the priority and the standing.
        accepted : bool
            Whether the request was accepted.
        now : float
            Time in seconds.
        """
        if call.standing.beyond_usual:
            return
        key = _make_key(call)
        counts = self.counts.get(key)
        if counts is None:
            counts = _RouteCounts(
                call.standing.rank(call.priority),
                DecayingCount(HALF_LIFE_S),
                DecayingCount(HALF_LIFE_S),
            )
            self.counts[key] = counts
        counts.offered.add(now)
        if accepted:
            counts.accepted.add(now)

    def record_loss(self, call, now):
        """Record that a request was refused after it had been accepted."""
        counts = self.counts.get(_make_key(call))
        if counts is not None and not call.standing.beyond_usual:
            accepted = counts.accepted
            accepted.add(now, -min(1.0, accepted.get(now)))

    def must_yield(self, call, now):
        """Return whether a request must not wait for a slot.

        Parameters
        ----------
        call : Call
            Call with the route, the priority and the standing.
        now : float
            Time in seconds.
        """
        recent = [
            c for c in self.counts.values() if c.offered.get(now) > MIN_OFFERED
        ]
        own = self.counts.get(_make_key(call))
        if own is None or self._is_starving(own, now):
            return False
        rank = call.standing.rank(call.priority)
        own_share = own.share(now)
        return any(
            c.share(now)
            < min(FULL_SHARE, own_share + LEAD_PER_RANK * (rank - c.rank))
            for c in recent
            if c.rank < rank
        )

    def _is_starving(self, own, now):
        """Return whether a route is served far less often than the others."""
        offered = sum(c.offered.get(now) for c in self.counts.values())
        accepted = sum(c.accepted.get(now) for c in self.counts.values())
        mean = accepted / offered if offered else 1.0
        return own.share(now) < MIN_SHARE_OF_MEAN * mean


def _make_key(call):
    standing = call.standing
    return (call.route, standing.from_work, standing.rank(call.priority))
