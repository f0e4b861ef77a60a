"""Queue of the requests that wait for a slot and have a latency objective.

Under overload, the slots of a target go to requests that can still be answered
within their latency objective. Among these, requests of routes with a higher
priority go first, then those with the earliest latest start time. At a fixed
interval the priority is ignored so that no route starves.
"""

from math import inf

import trio

from snipelead.admission.standing import NO_STANDING
from snipelead.releases.document import MAX_TRACKED_ROUTES
from snipelead.types import RequestClass
from snipelead.utils.bounded_dict import BoundedDict

__all__ = [
    'LatencyQueue',
    'LatencyWaiter',
    'ServiceTimes',
]

# One in this many slots goes to the request with the earliest latest start
# time regardless of priority, so routes of low priority keep at least this
# share of the slots.
SLOTS_PER_PRIORITY_BYPASS = 4
# A request is admitted to the queue if the requests before it take at most
# this share of its slack. Service times vary widely; a queue as long as the
# slack would make half of its requests late.
MAX_QUEUE_SHARE_OF_SLACK = 0.35
# A request is assumed to need this multiple of the mean service time of its
# route. A larger one refuses routes with a short latency objective while
# others may wait; see docs/design/overload.md for the values compared.
SERVICE_TIME_MARGIN = 1.15
# The same where load is not shed by priority, so that requests of all routes
# compete for the next slot.
UNORDERED_MARGIN = 1.3
# Minimum weight of the newest service time in the exponentially weighted
# moving average of its route.
SERVICE_TIME_EWMA_WEIGHT = 0.1
# A mean is reported to other nodes after this many samples. One of fewer is
# off by more than half of its value in one case of twenty.
MIN_REPORTED_SAMPLES = 5
# Assumed service time of a route without samples or latency objective.
INITIAL_SERVICE_S = 0.1
# Assumed service time of a route without samples, as a share of its latency
# objective; most routes state two to four times their mean service time.
INITIAL_SERVICE_SHARE = 0.35


class LatencyWaiter:
    """A request with a latency objective that waits for a slot.

    Parameters
    ----------
    priority : int
        Priority of its route; 0 is the highest.
    service_s : float
        Expected service time, in seconds.
    latency_deadline : float
        When the response becomes late, in seconds of trio's clock.
    deadline : float
        When the caller stops waiting, in seconds of trio's clock.
    request_class : RequestClass
        Class whose slots the request counts towards.
    standing : RequestStanding
        What distinguishes the request from others of its route.
    margin : float
        Multiple of the mean service time that the request is assumed to need.

    Attributes
    ----------
    done : trio.Event
        Set when the request was given a slot or was evicted.
    granted : bool
        Whether the request was given a slot.
    granted_at : float
        When the request was given a slot, in seconds of trio's clock.
    evicted : bool
        Whether the request was removed because it cannot be answered before
        its deadline.
    """

    __slots__ = (
        'deadline',
        'done',
        'evicted',
        'granted',
        'granted_at',
        'latency_deadline',
        'margin',
        'priority',
        'request_class',
        'service_s',
        'standing',
    )

    def __init__(
        self,
        priority,
        service_s,
        latency_deadline,
        deadline,
        request_class=RequestClass.INTERACTIVE,
        standing=NO_STANDING,
        margin=SERVICE_TIME_MARGIN,
    ):
        self.priority = priority
        self.service_s = service_s
        self.latency_deadline = latency_deadline
        self.deadline = deadline
        self.request_class = request_class
        self.standing = standing
        self.margin = margin
        self.done = trio.Event()
        self.granted = False
        self.granted_at = 0.0
        self.evicted = False

    def grant(self, now):
        """Wake the request, which was given a slot."""
        self.granted = True
        self.granted_at = now
        self.done.set()

    @property
    def latest_start(self):
        """Latest start time that allows for a response in time.

        The deadline of a caller may be earlier than the latency objective.
        """
        ends_at = min(self.latency_deadline, self.deadline)
        return ends_at - self.margin * self.service_s

    def may_wait(self, queue_wait_s, next_slot_s, now):
        """Return whether the request can wait and still be answered in time.

        Parameters
        ----------
        queue_wait_s : float
            Time until the requests before it have been served, in seconds.
        next_slot_s : float
            Time until the next slot becomes free, in seconds.
        now : float
            Time in seconds of trio's clock.
        """
        slack_s = self.latest_start - now
        if self.standing.from_work:
            # If the request fails, the slot of the work that made it has been
            # wasted, so an answer that is late is better than none.
            slack_s = max(slack_s, self.deadline - self.service_s - now)
            return queue_wait_s + next_slot_s <= slack_s
        return (
            queue_wait_s <= MAX_QUEUE_SHARE_OF_SLACK * slack_s
            and queue_wait_s + next_slot_s <= slack_s
        )

    def sort_key(self, now):
        """Return the sort key; the request with the lowest goes first."""
        standing = self.standing
        return (
            not standing.from_work,
            self.latest_start < now,
            self.priority,
            standing.beyond_usual,
            self.latest_start,
        )


class LatencyQueue:
    """Requests with a latency objective that wait for a slot of one target.

    Attributes
    ----------
    waiters : list of LatencyWaiter
        Waiting requests in the order of arrival.
    popped : int
        Requests that have left the queue for a slot.
    """

    def __init__(self):
        self.waiters = []
        self.popped = 0

    def __len__(self):
        return len(self.waiters)

    def push(self, waiter):
        """Add a request."""
        self.waiters.append(waiter)

    def pop(self, now):
        """Remove and return the next request, or None if there is none."""
        if not self.waiters:
            return None
        self.popped += 1
        ignores_priority = self.popped % SLOTS_PER_PRIORITY_BYPASS == 0
        waiter = min(
            self.waiters,
            key=lambda w: (
                (w.latest_start < now, w.standing.beyond_usual, w.latest_start)
                if ignores_priority
                else w.sort_key(now)
            ),
        )
        self.waiters.remove(waiter)
        return waiter

    def remove(self, waiter):
        """Remove a cancelled request; return False if it is not queued."""
        if waiter not in self.waiters:
            return False
        self.waiters.remove(waiter)
        return True

    def service_ahead_s(self, waiter, now):
        """Return the total service time of the requests before a new one."""
        key = waiter.sort_key(now)
        return sum(w.service_s for w in self.waiters if w.sort_key(now) <= key)

    @property
    def total_service_s(self):
        """Total expected service time of all waiting requests, in seconds."""
        return sum(w.service_s for w in self.waiters)

    def pop_infeasible(self, now, estimate_wait_s=None):
        """Remove and return the requests that cannot be answered in time.

        Parameters
        ----------
        now : float
            Time in seconds of trio's clock.
        estimate_wait_s : callable or None
            Returns the time until a request starts, in seconds, given the
            number of requests before it. Requests that would then miss their
            latency objective are removed, since newer ones would go before
            them until their deadline. If None, any request may start soon, and
            only those that cannot meet their deadline are removed.
        """
        if estimate_wait_s is None:
            infeasible = [
                w for w in self.waiters if now + w.service_s > w.deadline
            ]
        else:
            infeasible = self._find_late(now, estimate_wait_s)
        for waiter in infeasible:
            self.waiters.remove(waiter)
        return infeasible

    def _find_late(self, now, estimate_wait_s):
        late = []
        ahead = 0
        for waiter in sorted(self.waiters, key=lambda w: w.sort_key(now)):
            if now + estimate_wait_s(ahead) > waiter.latest_start:
                late.append(waiter)
            else:
                ahead += 1
        return late

    def pop_all(self):
        """Remove and return all requests."""
        waiters, self.waiters = self.waiters, []
        return waiters

    def count_ahead(self, waiter, now):
        """Return the number of requests before a new one."""
        key = waiter.sort_key(now)
        return sum(w.sort_key(now) <= key for w in self.waiters)


class ServiceTimes:
    """Mean service time of each route at one target.

    Attributes
    ----------
    mean_s : dict of RouteName to float
        Moving averages, in seconds.
    sample_counts : dict of RouteName to int
        Samples of each route. The first samples have equal weights, until
        these drop to ``SERVICE_TIME_EWMA_WEIGHT``.
    """

    def __init__(self):
        self.mean_s = BoundedDict(MAX_TRACKED_ROUTES)
        self.sample_counts = BoundedDict(MAX_TRACKED_ROUTES)

    def record(self, route, service_s):
        """Record the service time of a successful request, in seconds."""
        sample_count = self.sample_counts[route] = (
            self.sample_counts.get(route, 0) + 1
        )
        mean_s = self.mean_s.get(route, 0.0)
        weight = max(SERVICE_TIME_EWMA_WEIGHT, 1.0 / sample_count)
        self.mean_s[route] = mean_s + weight * (service_s - mean_s)

    def reliable_mean_s(self, route):
        """Return the mean in seconds, or 0.0 if there are too few samples."""
        if self.sample_counts.get(route, 0) < MIN_REPORTED_SAMPLES:
            return 0.0
        return self.mean_s[route]

    def estimate_s(self, route, latency_s=inf):
        """Return the expected service time of a request, in seconds.

        Parameters
        ----------
        route : RouteName
            Route of the request.
        latency_s : float
            Time until the response is late, in seconds. The estimate for a
            route without samples is based on it.
        """
        mean_s = self.mean_s.get(route)
        if mean_s is not None:
            return mean_s
        if latency_s < inf:
            return max(0.0, latency_s) * INITIAL_SERVICE_SHARE
        return INITIAL_SERVICE_S
