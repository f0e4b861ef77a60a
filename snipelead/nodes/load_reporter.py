"""Sharing of the loads of a node's targets with other nodes."""

import random

import trio

from snipelead.exceptions import InvariantError
from snipelead.exceptions import SnipeleadError
from snipelead.messages.loads import LoadRequest
from snipelead.messages.loads import TargetLoad
from snipelead.placement.loads import LoadTable
from snipelead.placement.occupancy import OccupancyAverage

__all__ = ['LoadReporter']

REPLY_TIMEOUT_S = 0.5
# Part of the interval between two reports that is random, so that the nodes
# of a zone do not report at the same time.
INTERVAL_JITTER = 0.2
# Loads of this many targets are sent in one report interval; with more, the
# node reports less often, so that its traffic stays below 4 KB a second.
LOADS_PER_INTERVAL = 80
_MS_PER_S = 1_000


class LoadReporter:
    """Reports the loads of local targets and receives those of others.

    Parameters
    ----------
    node_id : NodeId
        Id of this node.
    limiters : TargetLimiters
        Limiters of the local targets.
    links : ControlLinks
        Links to the controls.
    balancer : Balancer
        Receives the loads of the targets that this node calls.
    interval_ms : int
        Interval between two reports, in milliseconds; 0 disables them.

    Attributes
    ----------
    averages : dict of TargetId to OccupancyAverage
        Occupancy of the local targets.
    received : LoadTable
        Loads received from the controls.
    """

    def __init__(self, node_id, limiters, links, balancer, interval_ms):
        self.node_id = node_id
        self.limiters = limiters
        self.links = links
        self.balancer = balancer
        self.interval_ms = interval_ms
        self.averages = {}
        self.received = LoadTable()
        self.random = random.Random()

    def count_loads(self):
        """Return the number of targets whose recent load is known."""
        return len(self.received.by_target)

    async def run(self):
        """Report until cancelled; return at once if disabled."""
        if not self.interval_ms:
            return
        while True:
            await trio.sleep(self._choose_interval_s())
            if self.averages or self.balancer.known_services:
                await self.report()

    def _choose_interval_s(self):
        load_count = len(self.received.by_target)
        factor = max(1.0, load_count / LOADS_PER_INTERVAL)
        jitter = 1.0 + INTERVAL_JITTER * (self.random.random() - 0.5)
        return factor * jitter * self.interval_ms / _MS_PER_S

    def sample(self, now):
        """Sample the occupancy of the local targets.

        Parameters
        ----------
        now : float
            Time in seconds of trio's clock.
        """
        limiters = self.limiters.by_target
        for target_id, limiter in limiters.items():
            average = self.averages.get(target_id)
            if average is None:
                average = self.averages[target_id] = OccupancyAverage()
            average.sample(limiter.in_flight + limiter.waiting, now)
        for target_id in self.averages.keys() - limiters.keys():
            del self.averages[target_id]

    def make_request(self):
        """Return the next report."""
        loads = []
        for target_id, average in self.averages.items():
            limiter = self.limiters.by_target.get(target_id)
            target = self.limiters.local_targets.targets.get(target_id)
            if limiter is None or target is None:
                continue
            relative = limiter.statistics.relative_service_time.recent_mean
            loads.append(
                TargetLoad(
                    target_id,
                    target.entry.service,
                    round(100 * average.mean),
                    round(1_000 * relative),
                )
            )
        return LoadRequest(
            self.node_id, tuple(loads), tuple(self.balancer.known_services)
        )

    async def report(self):
        """Send a report to the preferred control and apply its reply.

        A failure has no effect: the next report makes up for it, and the
        polls of the node find out whether the control is lost.
        """
        link = self.links.failover_order()[0]
        try:
            reply = await link.calls.call(self.make_request(), REPLY_TIMEOUT_S)
        except InvariantError:
            raise
        except SnipeleadError:
            return
        now = trio.current_time()
        newer = self.received.merge(reply.loads, now)
        self.received.expire(now)
        self.balancer.record_shared_loads(newer)
