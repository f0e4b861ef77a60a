"""Detection of the requests that are made by work in progress.

The target beside a node makes its calls through the node, from the same
address as callers. A route is learned to be one of such calls if its requests
enter this node only while the target is running work. Requests of callers
also enter while the target is idle, at the latest when the node starts.
"""

from msgspec import Struct

from snipelead.admission.decaying import DecayingCount
from snipelead.releases.document import MAX_TRACKED_ROUTES
from snipelead.utils.bounded_dict import BoundedDict

__all__ = ['WorkCallTracker']

# Time in which a request loses half of its weight as evidence. It spans
# several bursts, in which targets are never idle.
HALF_LIFE_S = 300.0
# Requests needed for a decision.
MIN_REQUESTS = 30.0
# Share of the calls that may enter while the target is idle: a call may be
# made by work whose caller has left, after its slot was released.
MAX_IDLE_SHARE = 0.01


class _Evidence(Struct):
    """Requests of a route while the target was running work, or idle."""

    busy: DecayingCount
    idle: DecayingCount


class WorkCallTracker:
    """Learns which routes are called by the work of the local target.

    Attributes
    ----------
    evidence : dict of RouteName to _Evidence
        Requests of each route.
    """

    def __init__(self):
        self.evidence = BoundedDict(MAX_TRACKED_ROUTES)

    def record(self, route, is_running, now):
        """Record a request; return whether work in progress made it.

        Parameters
        ----------
        route : RouteName
            Route of the request.
        is_running : bool
            Whether the local target is running work.
        now : float
            Time in seconds.
        """
        evidence = self.evidence.get(route)
        if evidence is None:
            evidence = _Evidence(
                DecayingCount(HALF_LIFE_S), DecayingCount(HALF_LIFE_S)
            )
            self.evidence[route] = evidence
        if not is_running:
            evidence.idle.add(now)
            return False
        evidence.busy.add(now)
        busy, idle = evidence.busy.get(now), evidence.idle.get(now)
        return busy >= MIN_REQUESTS and idle <= MAX_IDLE_SHARE * busy
