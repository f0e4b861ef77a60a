"""Targets of unlike speeds under load, replayed on the virtual clock."""

from collections import Counter
from collections import deque
from heapq import heappop
from heapq import heappush
from itertools import count
import math
import random

from msgspec import field
from msgspec import Struct
from testtools import TestCase
import trio
from trio.testing import MockClock

from snipelead.messages import TargetEntry
from snipelead.nodes.admission import WorkEstimates
from snipelead.nodes.directory import TargetDirectory
from snipelead.nodes.peer_messages import Load
from snipelead.routing.balancer import Balancer
from snipelead.routing.policies import POLICIES
from snipelead.routing.policies import Policy
from snipelead.types import TargetState

NODES = 64
TARGETS = 26
SLOTS = 9
ZONES = 3
# As a deployment that bought its targets over years.
SPEEDS = (0.7, 0.7, 1.7)
MEAN_S = 0.3
# Standard deviation of the times, as a share of their mean.
SPREAD = 0.8
LATENCY_S = 0.65
HOP_S = 0.002
ANSWER_BYTES = 5_000
CROSSING_MS_PER_KB = 140.0
SECONDS = 15
WARM_UP_S = 3
SEED = 1


class _Target(Struct):
    speed: float
    busy: int = 0
    queue: deque = field(default_factory=deque)
    service_s: float = 0.0
    work: WorkEstimates = field(default_factory=WorkEstimates)


class _Job(Struct):
    balancer: Balancer
    chosen: object
    begun_at: float
    work_s: float = 0.0


class Replay:
    """Requests of one route, at a share of what all targets can do."""

    def __init__(self, policy, utilisation):
        self.policy = policy
        self.utilisation = utilisation
        self.random = random.Random(SEED)
        self.clock = MockClock()
        self.events = []
        self.numbers = count()
        self.counts = Counter()

    def run(self):
        trio.run(self.main, clock=self.clock)
        return self

    def share(self, name):
        return self.counts[name] / self.counts['all']

    async def main(self):
        directory = TargetDirectory()
        self.targets = {}
        for number in range(TARGETS):
            name = f't{number}'
            zone = f'z{number * ZONES // TARGETS}'
            self.targets[name] = _Target(SPEEDS[number % len(SPEEDS)])
            directory.merge(
                TargetEntry(
                    name,
                    f'n-{name}',
                    zone,
                    's',
                    '127.0.0.1:1',
                    1,
                    1,
                    TargetState.SERVING,
                    SLOTS,
                )
            )
        self.balancers = [
            Balancer(
                f'z{number % ZONES}',
                directory,
                0.1,
                self.policy,
                seed=number,
                crossing_ms_per_kb=CROSSING_MS_PER_KB,
            )
            for number in range(NODES)
        ]
        capacity = SLOTS * sum(t.speed for t in self.targets.values())
        self.rate = self.utilisation * capacity / MEAN_S
        self.plan(0.0, self.arrive)
        while self.events:
            at, _, act, args = heappop(self.events)
            self.clock.jump(max(0.0, at - self.clock.current_time()))
            act(at, *args)

    def plan(self, at, act, *args):
        heappush(self.events, (at, next(self.numbers), act, args))

    def arrive(self, now):
        if now < SECONDS:
            self.plan(now + self.random.expovariate(self.rate), self.arrive)
        balancer = self.random.choice(self.balancers)
        chosen = balancer.choose('s', route='r')
        chosen.begin(trio.current_time())
        self.plan(now + HOP_S, self.reach, _Job(balancer, chosen, now))

    def reach(self, now, job):
        target = self.targets[job.chosen.entry.target_id]
        target.queue.append(job)
        self.start(now, target)

    def start(self, now, target):
        while target.queue and target.busy < SLOTS:
            job = target.queue.popleft()
            target.busy += 1
            variance = math.log(1 + SPREAD**2)
            mean = math.log(MEAN_S) - variance / 2
            work_s = self.random.lognormvariate(mean, math.sqrt(variance))
            job.work_s = work_s / target.speed
            self.plan(now + job.work_s, self.finish, target, job)

    def finish(self, now, target, job):
        target.busy -= 1
        target.service_s += 0.1 * (job.work_s - target.service_s)
        target.work.observe('r', job.work_s)
        load = Load(
            target.busy,
            len(target.queue),
            SLOTS,
            target_us=int(job.work_s * 1e6),
            service_us=int(target.service_s * 1e6),
            work_us=int(target.work.tell('r') * 1e6),
        )
        self.start(now, target)
        self.plan(now + HOP_S, self.end, job, load)

    def end(self, now, job, load):
        chosen, balancer = job.chosen, job.balancer
        after_s = now - job.begun_at
        chosen.end()
        chosen.answer(after_s, False, load, trio.current_time())
        balancer.observe_work(chosen, 'r', load)
        balancer.observe_size('r', ANSWER_BYTES)
        if job.begun_at < WARM_UP_S:
            return
        self.counts['all'] += 1
        self.counts['in time'] += after_s <= LATENCY_S
        self.counts['crossed'] += chosen.entry.zone != balancer.zone


def choose_evenly(balancer, observations, now, demand):
    """Take the cheaper of two that are drawn alike, the zone regardless."""
    first, second = balancer.random.sample(observations, 2)
    return min(first, second, key=lambda o: o.cost(now, demand))


class PlacementTest(TestCase):
    def test_quick_targets_get_more_at_half_load(self):
        observed = Replay(Policy.OBSERVED, 0.55).run()
        chance = Replay(Policy.RANDOM, 0.55).run()
        # Two in three targets make one request in nine late.
        self.assertGreater(observed.share('in time'), 0.92)
        self.assertGreater(
            observed.share('in time'), chance.share('in time') + 0.02
        )
        self.assertLess(observed.share('crossed'), 0.15)

    def test_nodes_do_not_choose_the_same_target_at_high_load(self):
        observed = Replay(Policy.OBSERVED, 0.85).run()
        before = POLICIES[Policy.OBSERVED]
        self.addCleanup(POLICIES.__setitem__, Policy.OBSERVED, before)
        POLICIES[Policy.OBSERVED] = choose_evenly
        evenly = Replay(Policy.OBSERVED, 0.85).run()
        self.assertGreater(
            observed.share('in time'), evenly.share('in time') + 0.02
        )
        self.assertLess(observed.share('crossed'), evenly.share('crossed'))
