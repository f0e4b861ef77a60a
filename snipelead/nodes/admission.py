"""Order of the requests that wait for a slot and know when they are late.

Under overload a target's slots go to requests that can still be answered in
time. Requests of a more important route go first; among equals the one that
has to start first. Every few slots the importance is ignored, so that no
route starves.
"""

from math import inf

import trio

from snipelead.releases.document import MAX_KNOWN_ROUTES
from snipelead.utils.recent import RecentDict

__all__ = [
    'LatencyQueue',
    'TimedWaiter',
    'WorkEstimates',
    'choose_return_s',
]

# Every so many slots go to the request that has to start first, whatever its
# priority; routes of low priority keep at least this share of the slots.
SLOTS_PER_OPEN_TURN = 4
# A request is admitted when those that wait before it take at most this share
# of the time that it can spare. Times of requests differ widely, so that a
# queue as long as the spare time makes half of its requests late.
MAX_WAIT_SHARE = 0.35
# A request is taken to need so many times the mean of its route; with times
# that differ by half of the mean, three in four need less.
WORK_MARGIN = 1.3
# Least time after which a refused caller is asked back, in seconds; less
# brings it back before a slot can have become free.
MIN_RETURN_S = 0.02
# The same for a caller that can only be answered late.
LATE_RETURN_S = 0.1
# Share of the time of return that is spread at random.
RETURN_SPREAD = 0.4
# Least weight of the newest time in the moving average of a route.
WORK_SMOOTHING = 0.1
# Nodes are told a mean from so many answers on: that of fewer is off by more
# than half of itself in one case of twenty.
MIN_TOLD_ANSWERS = 5
# Time that a request of an unknown route is taken to need, in seconds.
INITIAL_WORK_S = 0.1
# A route that was never answered is taken to need this share of its target
# latency; most routes state two to four times their mean.
INITIAL_LATENCY_SHARE = 0.35


class TimedWaiter:
    """A request that waits for a slot.

    Parameters
    ----------
    priority : int
        Rank of its route, 0 first.
    work_s : float
        Time that the target will need for it, in seconds.
    latency_at : float
        When its answer becomes late, in seconds of trio's clock.
    deadline : float
        When it is of no use any more, in seconds of trio's clock.

    Attributes
    ----------
    granted : bool
        Whether it was given a slot.
    evicted : bool
        Whether it can no longer be answered before its deadline.
    """

    __slots__ = (
        'deadline',
        'done',
        'evicted',
        'granted',
        'latency_at',
        'priority',
        'work_s',
    )

    def __init__(self, priority, work_s, latency_at, deadline):
        self.priority = priority
        self.work_s = work_s
        self.latency_at = latency_at
        self.deadline = deadline
        self.done = trio.Event()
        self.granted = False
        self.evicted = False

    @property
    def start_by(self):
        """Latest start that likely leads to an answer in time."""
        return self.latency_at - WORK_MARGIN * self.work_s

    def may_wait(self, queue_s, slot_s, now):
        """Tell whether it can be answered in time after a wait.

        Parameters
        ----------
        queue_s : float
            Time for which those before it keep the slots, in seconds.
        slot_s : float
            Time until the next slot becomes free, in seconds.
        now : float
            Time in seconds of trio's clock.
        """
        spare_s = self.start_by - now
        return (
            queue_s <= MAX_WAIT_SHARE * spare_s and queue_s + slot_s <= spare_s
        )

    def order(self, now):
        """Return the key of the order in which requests take slots."""
        return (self.start_by < now, self.priority, self.start_by)


class LatencyQueue:
    """Requests that wait for a slot of one target."""

    def __init__(self):
        self.waiters = []
        self.taken = 0

    def __len__(self):
        return len(self.waiters)

    def push(self, waiter):
        """Add a request."""
        self.waiters.append(waiter)

    def pop(self, now):
        """Take the next request, or None."""
        if not self.waiters:
            return None
        self.taken += 1
        is_open = self.taken % SLOTS_PER_OPEN_TURN == 0
        waiter = min(
            self.waiters,
            key=lambda w: (
                (w.start_by < now, w.start_by) if is_open else w.order(now)
            ),
        )
        self.waiters.remove(waiter)
        return waiter

    def remove(self, waiter):
        """Remove a request that gave up; returns False when not queued."""
        if waiter not in self.waiters:
            return False
        self.waiters.remove(waiter)
        return True

    def work_ahead_s(self, waiter, now):
        """Return the work of the requests that start before a new one."""
        order = waiter.order(now)
        return sum(w.work_s for w in self.waiters if w.order(now) <= order)

    @property
    def work_s(self):
        """Work of all waiting requests, in seconds."""
        return sum(w.work_s for w in self.waiters)

    def take_hopeless(self, now):
        """Remove and return the requests that cannot meet their deadline."""
        hopeless = [w for w in self.waiters if now + w.work_s > w.deadline]
        for waiter in hopeless:
            self.waiters.remove(waiter)
        return hopeless


def choose_return_s(room_s, spare_s, random_share):
    """Return when a refused caller should come back, in seconds.

    It comes back while it can still be answered in time, if that is
    possible, and callers that were refused together come back apart.

    Parameters
    ----------
    room_s : float
        Time until what waits has been worked off.
    spare_s : float
        Time that the request can spare; below 0 when it is late already.
    random_share : float
        Random number from 0 to 1.
    """
    if spare_s > MIN_RETURN_S:
        longest_s = min(max(room_s, MIN_RETURN_S), spare_s)
        return longest_s * (1.0 - RETURN_SPREAD * random_share)
    return max(room_s, LATE_RETURN_S) * (1.0 + RETURN_SPREAD * random_share)


class WorkEstimates:
    """Time that one target needs for requests of each route.

    Attributes
    ----------
    by_route : dict of RouteName to float
        Moving averages, in seconds.
    counts : dict of RouteName to int
        Answers seen; the first ones weigh the same.
    """

    def __init__(self):
        self.by_route = RecentDict(MAX_KNOWN_ROUTES)
        self.counts = RecentDict(MAX_KNOWN_ROUTES)

    def observe(self, route, work_s):
        """Take in the time that a good answer took."""
        count = self.counts[route] = self.counts.get(route, 0) + 1
        known = self.by_route.get(route, 0.0)
        weight = max(WORK_SMOOTHING, 1.0 / count)
        self.by_route[route] = known + weight * (work_s - known)

    def tell(self, route):
        """Return the mean that others may rely on, or 0.0 before that."""
        if self.counts.get(route, 0) < MIN_TOLD_ANSWERS:
            return 0.0
        return self.by_route[route]

    def expect(self, route, latency_s=inf):
        """Return the time expected for a request.

        Parameters
        ----------
        route : RouteName
            Its route.
        latency_s : float
            Time until its answer is late, as a hint for a new route.
        """
        known = self.by_route.get(route)
        if known is not None:
            return known
        if latency_s < inf:
            return max(0.0, latency_s) * INITIAL_LATENCY_SHARE
        return INITIAL_WORK_S
