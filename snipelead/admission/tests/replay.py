"""Replay of a burst at a service whose targets have unequal speeds."""

from collections import Counter
from heapq import heappop
from heapq import heappush
from itertools import count
import math
import random

from msgspec import Struct

from snipelead.admission.acceptance import AcceptanceEstimator
from snipelead.nodes.latency_queue import choose_retry_after_s
from snipelead.nodes.latency_queue import LatencyQueue
from snipelead.nodes.latency_queue import LatencyWaiter
from snipelead.nodes.latency_queue import SERVICE_TIME_MARGIN

SPEEDS = (0.7, 0.7, 1.65)
SLOTS = 6
NODES = 36
MAX_HOPS = 3
HOP_S = 0.003
# Callers honour a Retry-After up to this share of the time that they have.
HONOURED_SHARE = 1 / 3


class Stream(Struct, frozen=True):
    """Requests of one route; ``burst`` multiplies their rate in the burst."""

    name: str
    rate: float
    service_s: float
    spread: float
    latency_s: float
    deadline_s: float
    priority: int
    burst: float = 1.0


# The routes of the first deployment at 24 targets of one service.
LAGOS = (
    Stream('stock check', 222, 0.24, 0.8, 0.5, 1.5, 0, 1.75),
    Stream('order', 89, 0.30, 0.8, 0.8, 1.2, 1),
    Stream('history', 63, 0.59, 0.5, 3.0, 2.5, 2, 2.4),
)


class Burst(Struct, frozen=True):
    """Times in seconds: the streams are at their usual rates outside it."""

    starts_s: float = 3.0
    ends_s: float = 9.0
    duration_s: float = 14.0


BURST = Burst()


class _Request(Struct, eq=False):
    stream: Stream
    node: int
    first_at: float
    deadline: float
    hops: int = 0
    retried: bool = False
    waiter: LatencyWaiter | None = None


class _Target:
    def __init__(self, speed):
        self.speed = speed
        self.queue = LatencyQueue()
        self.in_use = 0
        self.requests = {}


class Replay:
    """Replays a burst with the decisions of nodes and of target queues.

    Attributes
    ----------
    counts : Counter
        Requests by name of the stream and outcome, for those that arrive
        in the burst, and hops.
    """

    def __init__(
        self, streams=LAGOS, burst=BURST, targets=24, early=True, seed=1
    ):
        self.streams = streams
        self.burst = burst
        self.early = early
        self.random = random.Random(seed)
        self.targets = [_Target(SPEEDS[n % 3]) for n in range(targets)]
        self.estimators = {
            (node, stream.name): AcceptanceEstimator()
            for node in range(NODES)
            for stream in streams
        }
        self.events = []
        self.numbers = count()
        self.counts = Counter()

    def run(self):
        for stream in self.streams:
            self.schedule(0.0, self.arrive, stream)
        while self.events:
            now, _, callback, args = heappop(self.events)
            callback(now, *args)
        return self

    def share(self, name, outcome='served'):
        return self.counts[name, outcome] / self.counts[name, 'all']

    def total(self, outcome):
        return sum(
            self.counts[stream.name, outcome] for stream in self.streams
        )

    def schedule(self, at, callback, *args):
        heappush(self.events, (at, next(self.numbers), callback, args))

    def is_burst(self, at):
        return self.burst.starts_s <= at < self.burst.ends_s

    def tally(self, request, outcome):
        if self.is_burst(request.first_at):
            self.counts[request.stream.name, outcome] += 1

    def arrive(self, now, stream):
        if now > self.burst.duration_s:
            return
        rate = stream.rate * (stream.burst if self.is_burst(now) else 1.0)
        self.schedule(now + self.random.expovariate(rate), self.arrive, stream)
        request = _Request(
            stream,
            self.random.randrange(NODES),
            now,
            now + stream.deadline_s,
        )
        self.tally(request, 'all')
        self.attempt(now, request)

    def attempt(self, now, request):
        estimator = self.estimators[request.node, request.stream.name]
        if self.early and self.random.random() < estimator.refusal_share(now):
            estimator.record_withheld(now)
            self.tally(request, 'early')
            self.refuse(now, request, 0.0)
            return
        estimator.record_sent(now)
        request.hops += 1
        self.tally(request, 'hops')
        weights = [t.speed**2 for t in self.targets]
        (target,) = self.random.choices(self.targets, weights)
        self.schedule(now + HOP_S, self.admit, request, target)

    def admit(self, now, request, target):
        stream = request.stream
        waiter = request.waiter = LatencyWaiter(
            stream.priority,
            stream.service_s / target.speed,
            request.first_at + stream.latency_s,
            request.deadline,
        )
        target.requests[waiter] = request
        if target.in_use < SLOTS and not target.queue:
            self.start(now, target, waiter)
            return
        ahead_s = target.queue.service_ahead_s(waiter, now) / SLOTS
        next_slot_s = 0.3 / target.speed / SLOTS
        if waiter.may_wait(ahead_s, next_slot_s, now):
            target.queue.push(waiter)
            return
        del target.requests[waiter]
        self.schedule(
            now + HOP_S, self.learn_refusal, request, target, ahead_s
        )

    def learn_refusal(self, now, request, target, drain_s):
        estimator = self.estimators[request.node, request.stream.name]
        estimator.record_refused(now)
        if request.hops < MAX_HOPS:
            self.attempt(now, request)
        else:
            self.refuse(now, request, drain_s)

    def refuse(self, now, request, drain_s):
        stream = request.stream
        latest_start = (
            request.first_at
            + stream.latency_s
            - SERVICE_TIME_MARGIN * stream.service_s
        )
        delay_s = choose_retry_after_s(
            drain_s, latest_start - now, self.random.random()
        )
        if request.retried or delay_s > HONOURED_SHARE * (
            request.deadline - now
        ):
            self.tally(request, 'refused')
            return
        request.retried = True
        request.hops = 0
        self.schedule(now + delay_s, self.attempt, request)

    def start(self, now, target, waiter):
        request = target.requests.pop(waiter)
        stream = request.stream
        target.in_use += 1
        variance = math.log(1 + stream.spread**2)
        service_s = self.random.lognormvariate(
            math.log(stream.service_s) - variance / 2, math.sqrt(variance)
        )
        if self.random.random() < 0.01:
            service_s *= 5
        ends_at = now + service_s / target.speed
        self.schedule(ends_at, self.finish, target, request)

    def finish(self, now, target, request):
        target.in_use -= 1
        ended_at = now + HOP_S
        self.tally(
            request,
            'in time'
            if ended_at <= request.first_at + request.stream.latency_s
            else 'late',
        )
        if ended_at <= request.deadline:
            self.tally(request, 'served')
        waiter = target.queue.pop(now)
        if waiter is not None:
            self.start(now, target, waiter)
