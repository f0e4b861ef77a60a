"""Requests that wait for a slot of one target."""

from collections import Counter
from collections import deque

import trio

from snipelead.types import RequestClass

__all__ = ['FairQueue', 'Waiter']

# Interactive requests and those that may not be repeated go first.
_PRIORITY_ORDER = (
    (RequestClass.INTERACTIVE, RequestClass.ONCE),
    (RequestClass.BATCH,),
)


class Waiter:
    """A request that waits.

    Attributes
    ----------
    granted : bool
        Whether it was given a slot.
    evicted : bool
        Whether it lost its place to another tenant.
    """

    __slots__ = ('done', 'evicted', 'granted', 'request_class', 'tenant')

    def __init__(self, request_class, tenant):
        self.request_class = request_class
        self.tenant = tenant
        self.done = trio.Event()
        self.granted = False
        self.evicted = False


class _TenantQueues:
    """Round robin over tenants, first in first out within each."""

    def __init__(self):
        self.by_tenant = {}

    def push(self, waiter):
        self.by_tenant.setdefault(waiter.tenant, deque()).append(waiter)

    def pop(self):
        if not self.by_tenant:
            return None
        tenant, queue = next(iter(self.by_tenant.items()))
        waiter = queue.popleft()
        # The tenant goes to the end of the round.
        del self.by_tenant[tenant]
        if queue:
            self.by_tenant[tenant] = queue
        return waiter

    def remove(self, waiter):
        queue = self.by_tenant.get(waiter.tenant, ())
        if waiter not in queue:
            return False
        queue.remove(waiter)
        if not queue:
            del self.by_tenant[waiter.tenant]
        return True

    def counts(self):
        return {tenant: len(queue) for tenant, queue in self.by_tenant.items()}

    def pop_newest(self, tenant):
        waiter = self.by_tenant[tenant][-1]
        self.remove(waiter)
        return waiter


class FairQueue:
    """Waiting requests by priority and tenant.

    Requests of higher priority are taken first; among equals the tenants
    take turns. A full queue makes room for a tenant with fewer waiting
    requests by evicting the newest request of the tenant with most.
    """

    def __init__(self):
        self.levels = tuple(_TenantQueues() for _ in _PRIORITY_ORDER)
        self.size = 0

    def __len__(self):
        return self.size

    def level_of(self, request_class):
        """Return the number of the priority level of a class."""
        return 0 if request_class in _PRIORITY_ORDER[0] else 1

    def push(self, waiter):
        """Add a request."""
        self.levels[self.level_of(waiter.request_class)].push(waiter)
        self.size += 1

    def pop(self, batch_allowed):
        """Take the next request, or None.

        Parameters
        ----------
        batch_allowed : bool
            Whether a batch request may be taken.
        """
        for level in self.levels if batch_allowed else self.levels[:1]:
            waiter = level.pop()
            if waiter is not None:
                self.size -= 1
                return waiter
        return None

    def remove(self, waiter):
        """Remove a request that gave up; returns False when not queued."""
        removed = any(level.remove(waiter) for level in self.levels)
        self.size -= removed
        return removed

    def ahead_of(self, request_class, tenant):
        """Return how many requests would be served before a new one."""
        level = self.level_of(request_class)
        ahead = sum(
            sum(upper.counts().values()) for upper in self.levels[:level]
        )
        counts = self.levels[level].counts()
        own = counts.get(tenant, 0)
        # Each other tenant takes at most one turn for each of ours.
        return (
            ahead
            + own
            + sum(
                min(count, own + 1)
                for other, count in counts.items()
                if other != tenant
            )
        )

    def make_room(self, request_class, tenant):
        """Evict a request that has less right to its place than a new one.

        Returns
        -------
        Waiter or None
            The evicted request.
        """
        level = self.level_of(request_class)
        for lower in reversed(range(level, len(self.levels))):
            counts = Counter(self.levels[lower].counts())
            if not counts:
                continue
            largest, count = counts.most_common(1)[0]
            if lower > level or count > counts[tenant] + 1:
                waiter = self.levels[lower].pop_newest(largest)
                self.size -= 1
                waiter.evicted = True
                waiter.done.set()
                return waiter
        return None
