"""Replay of a burst at a service whose targets have unequal speeds."""

from collections import Counter
from heapq import heappop
from heapq import heappush
from itertools import count
import math
import random

from msgspec import Struct

from snipelead.admission.acceptance import ServiceAcceptance
from snipelead.admission.retry_after import choose_spread_retry_s
from snipelead.admission.route_shares import RouteShares
from snipelead.admission.standing import NO_STANDING
from snipelead.admission.standing import RequestStanding
from snipelead.nodes.latency_queue import LatencyQueue
from snipelead.nodes.latency_queue import LatencyWaiter
from snipelead.nodes.latency_queue import SERVICE_TIME_MARGIN

SPEEDS = (0.7, 0.7, 1.65)
SLOTS = 6
NODES = 36
# Share of the requests that take several times as long.
LONG_SHARE = 0.01
LONG_FACTOR = 5
MEAN_SERVICE_S = 0.3
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
    standing: RequestStanding = NO_STANDING


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


class _Request(Struct, eq=False, dict=True):
    stream: Stream
    node: int
    first_at: float
    deadline: float
    standing: RequestStanding = NO_STANDING
    hops: int = 0
    retried: bool = False

    @property
    def route(self):
        return self.stream.name

    @property
    def priority(self):
        return self.stream.priority


class _Target:
    def __init__(self, speed):
        self.speed = speed
        self.queue = LatencyQueue()
        self.in_use = 0
        self.shares = RouteShares()
        self.requests = {}


class Replay:
    """Replays a burst with the decisions of nodes and of target queues.

    Attributes
    ----------
    counts : Counter
        Requests by name of the stream and outcome, and hops.
    tallied : Burst
        Only requests that arrive in this time are counted.
    """

    def __init__(
        self,
        streams=LAGOS,
        burst=BURST,
        targets=24,
        early=True,
        ordered=True,
        seed=1,
    ):
        self.streams = streams
        self.burst = burst
        self.tallied = burst
        self.early = early
        self.ordered = ordered
        self.random = random.Random(seed)
        self.targets = [_Target(SPEEDS[n % 3]) for n in range(targets)]
        self.nodes = [ServiceAcceptance() for _ in range(NODES)]
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

    def overall_share(self):
        return self.total('served') / self.total('all')

    def total(self, outcome):
        return sum(
            self.counts[stream.name, outcome] for stream in self.streams
        )

    def schedule(self, at, callback, *args):
        heappush(self.events, (at, next(self.numbers), callback, args))

    def is_burst(self, at):
        return self.burst.starts_s <= at < self.burst.ends_s

    def tally(self, request, outcome):
        tallied = self.tallied
        if tallied.starts_s <= request.first_at < tallied.ends_s:
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
            stream.standing,
        )
        self.tally(request, 'all')
        self.attempt(now, request)

    def attempt(self, now, request):
        acceptance = self.nodes[request.node]
        if not request.hops:
            acceptance.record_request(request, now)
        share = acceptance.refusal_share(request, now)
        if self.early and self.random.random() < share:
            acceptance.get(request).record_withheld(now)
            self.tally(request, 'early')
            self.refuse(now, request, 0.0)
            return
        acceptance.get(request).record_sent(now)
        request.hops += 1
        self.tally(request, 'hops')
        weights = [t.speed for t in self.targets]
        (target,) = self.random.choices(self.targets, weights)
        self.schedule(now + HOP_S, self.admit, request, target)

    def admit(self, now, request, target):
        stream = request.stream
        waiter = LatencyWaiter(
            stream.priority,
            stream.service_s / target.speed,
            request.first_at + stream.latency_s,
            request.deadline,
            standing=request.standing,
        )
        if target.in_use < SLOTS and not target.queue:
            target.shares.record(request, True, now)
            self.start(now, target, request)
            return
        ahead_s = target.queue.service_ahead_s(waiter, now) / SLOTS
        next_slot_s = MEAN_SERVICE_S / target.speed / SLOTS
        yields = self.ordered and target.shares.must_yield(request, now)
        waits = not yields and waiter.may_wait(ahead_s, next_slot_s, now)
        target.shares.record(request, waits, now)
        if waits:
            target.queue.push(waiter)
            target.requests[waiter] = request
            return
        drain_s = next_slot_s + target.queue.total_service_s / SLOTS
        self.schedule(now + HOP_S, self.learn_refusal, request, drain_s)

    def learn_refusal(self, now, request, drain_s):
        self.nodes[request.node].record_refused(request, now)
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
        delay_s = choose_spread_retry_s(
            drain_s,
            latest_start - now,
            request.deadline - now,
            self.random.random(),
        )
        if request.retried or delay_s > HONOURED_SHARE * (
            request.deadline - now
        ):
            self.tally(request, 'refused')
            return
        request.retried = True
        request.hops = 0
        self.schedule(now + delay_s, self.attempt, request)

    def start(self, now, target, request):
        stream = request.stream
        target.in_use += 1
        variance = math.log(1 + stream.spread**2)
        service_s = self.random.lognormvariate(
            math.log(stream.service_s) - variance / 2, math.sqrt(variance)
        )
        if self.random.random() < LONG_SHARE:
            service_s *= LONG_FACTOR
        ends_at = now + service_s / target.speed
        self.schedule(ends_at, self.finish, target, request)

    def finish(self, now, target, request):
        target.in_use -= 1
        ended_at = now + HOP_S
        latency_deadline = request.first_at + request.stream.latency_s
        if ended_at <= request.deadline:
            self.tally(request, 'served')
            self.tally(
                request, 'in time' if ended_at <= latency_deadline else 'late'
            )
        for waiter in target.queue.pop_infeasible(now):
            evicted = target.requests.pop(waiter)
            target.shares.record_loss(evicted, now)
            self.schedule(now + HOP_S, self.learn_refusal, evicted, 0.0)
        waiter = target.queue.pop(now)
        if waiter is not None:
            self.start(now, target, target.requests.pop(waiter))
