"""How long callers have waited before their request came here.

A caller that was refused comes back with less time left than it had at
first, but its answer is late as long after its first attempt. Under overload
such a request must not take the slot of one that can be answered in time.
"""

from snipelead.releases.document import MAX_KNOWN_ROUTES
from snipelead.utils.recent import RecentDict

__all__ = ['ElapsedTimeEstimator']

# The longest deadline of a route shrinks by this share with each request, so
# that callers with longer deadlines are forgotten within some hundred.
DECAY_PER_REQUEST = 0.001
# Deadlines that differ by less say nothing, in milliseconds.
TOLERANCE_MS = 20


class ElapsedTimeEstimator:
    """Estimates the time since the first attempt of a caller.

    Attributes
    ----------
    longest_ms : dict of RouteName to float
        Longest deadline that callers of a route state, in milliseconds.
    """

    def __init__(self):
        self.max_deadlines_ms = RecentDict(MAX_KNOWN_ROUTES)

    def estimate_ms(self, route, deadline_ms):
        """Return how long a caller has waited, in milliseconds.

        Parameters
        ----------
        route : RouteName
            Route of the request.
        deadline_ms : int
            Time that the caller still waits, in milliseconds.
        """
        max_deadline_ms = self.max_deadlines_ms.get(route, 0.0)
        max_deadline_ms = max(
            deadline_ms, max_deadline_ms * (1.0 - DECAY_PER_REQUEST)
        )
        self.max_deadlines_ms[route] = max_deadline_ms
        elapsed_ms = int(max_deadline_ms - deadline_ms)
        return elapsed_ms if elapsed_ms > TOLERANCE_MS else 0
