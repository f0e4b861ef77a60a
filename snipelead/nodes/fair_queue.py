"""Fair queue of the requests that wait for a slot of one target."""

from collections import Counter
from collections import deque

import trio

from snipelead.types import RequestClass

__all__ = ['FairQueue', 'Waiter']

# Interactive requests and those that must not be repeated go first.
_PRIORITY_LEVELS = (
    (RequestClass.INTERACTIVE, RequestClass.ONCE),
    (RequestClass.BATCH,),
)


class Waiter:
    """A request that waits for a slot.

    Attributes
    ----------
    done : trio.Event
        Set when the request was given a slot or was evicted.
    granted : bool
        Whether the request was given a slot.
    granted_at : float
        When the request was given a slot, in seconds of trio's clock.
    evicted : bool
        Whether the request was removed from a full queue in favour of another
        one.
    """

    __slots__ = (
        'done',
        'evicted',
        'granted',
        'granted_at',
        'request_class',
        'tenant',
    )

    def __init__(self, request_class, tenant):
        self.request_class = request_class
        self.tenant = tenant
        self.done = trio.Event()
        self.granted = False
        self.granted_at = 0.0
        self.evicted = False

    def grant(self, now):
        """Wake the request, which was given a slot."""
        self.granted = True
        self.granted_at = now
        self.done.set()


class _TenantQueues:
    """Round robin over tenants, first in, first out within each."""

    def __init__(self):
        self.by_tenant = {}

    def push(self, waiter):
        self.by_tenant.setdefault(waiter.tenant, deque()).append(waiter)

    def pop(self):
        if not self.by_tenant:
            return None
        tenant, queue = next(iter(self.by_tenant.items()))
        waiter = queue.popleft()
        # Reinsertion moves the tenant to the end of the round.
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

    def count_by_tenant(self):
        return {tenant: len(queue) for tenant, queue in self.by_tenant.items()}

    def pop_newest(self, tenant):
        waiter = self.by_tenant[tenant][-1]
        self.remove(waiter)
        return waiter


class FairQueue:
    """Waiting requests by priority level and tenant.

    Requests of a higher level go first; within a level, the tenants take
    turns. If the queue is full, the newest request of the tenant with the most
    waiting requests is evicted in favour of a tenant with fewer.
    """

    def __init__(self):
        self.levels = tuple(_TenantQueues() for _ in _PRIORITY_LEVELS)
        self.size = 0

    def __len__(self):
        return self.size

    def get_level(self, request_class):
        """Return the priority level of a request class; 0 is the highest."""
        return 0 if request_class in _PRIORITY_LEVELS[0] else 1

    def push(self, waiter):
        """Add a request."""
        self.levels[self.get_level(waiter.request_class)].push(waiter)
        self.size += 1

    def pop(self, batch_allowed):
        """Remove and return the next request, or None if there is none.

        Parameters
        ----------
        batch_allowed : bool
            Whether a batch request may be returned.
        """
        for level in self.levels if batch_allowed else self.levels[:1]:
            waiter = level.pop()
            if waiter is not None:
                self.size -= 1
                return waiter
        return None

    def remove(self, waiter):
        """Remove a cancelled request; return False if it is not queued."""
        removed = any(level.remove(waiter) for level in self.levels)
        self.size -= removed
        return removed

    def count_ahead(self, request_class, tenant):
        """Return the number of requests to be served before a new one."""
        level = self.get_level(request_class)
        ahead_count = sum(
            sum(upper.count_by_tenant().values())
            for upper in self.levels[:level]
        )
        counts = self.levels[level].count_by_tenant()
        own_count = counts.get(tenant, 0)
        # Every other tenant gets at most one turn per turn of this tenant.
        return (
            ahead_count
            + own_count
            + sum(
                min(count, own_count + 1)
                for other, count in counts.items()
                if other != tenant
            )
        )

    def evict_for(self, request_class, tenant):
        """Evict a waiting request to make room for a new one.

        A request of a lower priority level is evicted first. Within the level
        of the new request, the largest tenant must have at least two more
        waiting requests than the tenant of the new one.

        Returns
        -------
        Waiter or None
            Evicted request, or None if none may be evicted.
        """
        level = self.get_level(request_class)
        for lower in reversed(range(level, len(self.levels))):
            counts = Counter(self.levels[lower].count_by_tenant())
            if not counts:
                continue
            largest_tenant, count = counts.most_common(1)[0]
            if lower > level or count > counts[tenant] + 1:
                waiter = self.levels[lower].pop_newest(largest_tenant)
                self.size -= 1
                waiter.evicted = True
                waiter.done.set()
                return waiter
        return None
