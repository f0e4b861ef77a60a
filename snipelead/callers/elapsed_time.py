"""Estimation of the time that callers spent on earlier attempts.

A caller that retries after a rejection has a shorter deadline than at first,
while the latency objective counts from its first attempt. Under overload such
a request must not take the slot of one that can still meet the latency
objective.
"""

from snipelead.releases.document import MAX_TRACKED_ROUTES
from snipelead.utils.bounded_dict import BoundedDict

__all__ = ['ElapsedTimeEstimator']

# Share by which the longest deadline of a route decays with each request, so
# that callers with longer deadlines are forgotten within a few hundred.
DECAY_PER_REQUEST = 0.001
# Smaller differences between deadlines are treated as noise.
TOLERANCE_MS = 20


class ElapsedTimeEstimator:
    """Estimates the time since the first attempt of a caller.

    The estimate is the difference between the longest deadline that callers
    of the route send and the deadline of the request.

    Attributes
    ----------
    max_deadlines_ms : dict of RouteName to float
        Decaying maximum of the deadlines of each route, in milliseconds.
    """

    def __init__(self):
        self.max_deadlines_ms = BoundedDict(MAX_TRACKED_ROUTES)

    def estimate_ms(self, route, deadline_ms):
        """Return the time since the first attempt, in milliseconds.

        Parameters
        ----------
        route : RouteName
            Route of the request.
        deadline_ms : int
            Time until the deadline of the request, in milliseconds.

        Returns
        -------
        int
            Estimated time; 0 if it is below the tolerance.
        """
        max_deadline_ms = self.max_deadlines_ms.get(route, 0.0)
        max_deadline_ms = max(
            deadline_ms, max_deadline_ms * (1.0 - DECAY_PER_REQUEST)
        )
        self.max_deadlines_ms[route] = max_deadline_ms
        elapsed_ms = int(max_deadline_ms - deadline_ms)
        return elapsed_ms if elapsed_ms > TOLERANCE_MS else 0
