"""Replay of the load of a service during a rollout, without a network."""

from collections import Counter
from heapq import heappop
from heapq import heappush
from random import Random
from types import SimpleNamespace

from snipelead.messages import RolloutPhase
from snipelead.messages import TargetEntry
from snipelead.rollouts.controller import RolloutController
from snipelead.rollouts.selector import VersionSelector
from snipelead.rollouts.state import Rollouts
from snipelead.settings.schema import Guarantees
from snipelead.voters.messages import StartRollout

GUARANTEES = Guarantees(
    exposure_share=0.1, exposure_extra=50, rollback_ms=5_000
)
# Name, requests a second and mean response time of each route.
ROUTES = (('order', 222, 0.29), ('fit', 388, 0.057))
SMALL_ROUTES = (('order', 60, 0.25),)
SMALL_TARGETS, SMALL_NODES = 3, 3
SPEEDS = (0.7, 0.7, 1.65)
SPREAD = 0.8
TARGETS = 27
NODES = 30
DURATION_MS = 12_000
STEP_S = 0.05
REPORT_STEPS = 8
ADVANCE_STEPS = 5
# Delay of each message between nodes, controls and the log.
DELAY_S = 0.05


class Fleet:
    """Nodes, one leader and the committed state of one rollout.

    Parameters
    ----------
    seed : int
        Seed of the requests.
    respond : callable
        Takes the time, the route, the random numbers, whether the version is
        new, the response time and the number of requests that the target
        runs; returns response time, failure and whether the response is bad.
    targets : int
        Number of targets of each version.
    nodes : int
        Number of nodes that send requests.
    routes : tuple
        Routes of the service.

    Attributes
    ----------
    sent_at : list of float
        Times of the requests to the new version.
    bad_at : list of float
        Times of its bad responses.
    """

    def __init__(
        self, seed, respond, targets=TARGETS, nodes=NODES, routes=ROUTES
    ):
        self.routes = routes
        self.running = Counter()
        self.random = Random(seed)
        self.respond = respond
        self.now = 0.0
        self.state = Rollouts()
        self.state.start(StartRollout('s', 'v2', DURATION_MS, ('v1',)), 1, 0)
        self.selectors = [VersionSelector() for _ in range(nodes)]
        self.listed = tuple(
            TargetEntry(
                f'{version}-{i}',
                f'n-{i}',
                'a',
                's',
                'x',
                1,
                1,
                version=version,
            )
            for i in range(targets)
            for version in ('v1', 'v2')
        )
        self.usable = [SimpleNamespace(entry=e) for e in self.listed]
        self.events = []
        self.event_count = 0
        self.silent = set()
        self.total = 0
        self.sent_at = []
        self.bad_at = []
        self.ended_at = None
        self.late_old = 0
        self.take_over()

    @property
    def rollout(self):
        return self.state.by_service['s']

    def take_over(self):
        self.controller = RolloutController(self.rollout, GUARANTEES, self.now)
        self.controller.target_count = len(self.listed) // 2

    def at(self, delay_s, action, *args):
        self.event_count += 1
        heappush(
            self.events, (self.now + delay_s, self.event_count, action, args)
        )

    def run(self, until_s=DURATION_MS / 1_000, leaderless=()):
        """Play the load; no control leads in the ``leaderless`` interval."""
        step = round(self.now / STEP_S)
        while self.now < until_s:
            step += 1
            self.now = step * STEP_S
            while self.events and self.events[0][0] <= self.now:
                _, _, action, args = heappop(self.events)
                action(*args)
            led = not (
                leaderless and leaderless[0] <= self.now < leaderless[1]
            )
            if led and self.controller is None:
                self.take_over()
            if not led:
                self.controller = None
            self.arrive()
            for index in range(len(self.selectors)):
                if (step + index) % REPORT_STEPS == 0:
                    self.report(index)
            if led and step % ADVANCE_STEPS == 0:
                command = self.controller.advance(self.now, self.now * 1_000)
                if command is not None:
                    self.at(DELAY_S, self.commit, command, step + 1)

    def commit(self, command, index):
        before = self.rollout.phase
        self.state.advance(command, index)
        if self.controller is not None:
            self.controller.rollout = self.rollout
        if self.rollout.phase is not before:
            if self.rollout.phase.is_final:
                self.ended_at = self.now
            self.tell()

    def tell(self):
        for index, selector in enumerate(self.selectors):
            if index not in self.silent:
                update = self.state.update_since(0)
                self.at(DELAY_S, selector.apply, update)

    def report(self, index):
        selector = self.selectors[index]
        if index in self.silent:
            return
        reports = selector.make_reports()
        if reports:
            self.at(DELAY_S, self.receive, index, reports[0], self.now)

    def receive(self, index, report, asked_at):
        if self.controller is None:
            return
        grant = self.controller.record((index, 1), report, self.now)
        if grant is not None:
            selector = self.selectors[index]
            self.at(DELAY_S, selector.apply_grants, (grant,), asked_at)

    def arrive(self):
        for route, rate, mean_s in self.routes:
            expected = rate * STEP_S
            count = int(expected) + (self.random.random() < expected % 1)
            for _ in range(count):
                self.send(route, mean_s)

    def send(self, route, mean_s):
        self.total += 1
        selector = self.random.choice(self.selectors)
        permitted = selector.select(
            's', self.usable, self.listed, self.now, self.random
        )
        entry = self.random.choice(permitted).entry
        attempt = selector.begin(entry, route)
        is_new = entry.version == 'v2'
        if is_new:
            self.sent_at.append(self.now)
        elif self.rollout.phase is RolloutPhase.COMPLETED:
            self.late_old += 1
        speed = SPEEDS[int(entry.target_id[3:]) % len(SPEEDS)]
        time_s = mean_s / speed * self.random.lognormvariate(-0.25, 0.7)
        if self.random.random() < 0.01:
            time_s *= 5
        self.running[entry.target_id] += 1
        time_s, failed, is_bad = self.respond(
            self.now,
            route,
            self.random,
            is_new,
            time_s,
            self.running[entry.target_id],
        )
        answer = (entry.target_id, attempt, time_s, failed, is_bad)
        self.at(time_s, self.answer, *answer)

    def answer(self, target_id, attempt, time_s, failed, is_bad):
        self.running[target_id] -= 1
        if is_bad:
            self.bad_at.append(self.now)
        if attempt is not None:
            attempt.record_response(time_s, failed)
            attempt.end()


def make_fleet(seed, respond, knows=True, **options):
    """Return a fleet whose nodes know of the order."""
    fleet = Fleet(seed, respond, **options)
    if knows:
        for selector in fleet.selectors:
            selector.apply(fleet.state.update_since(0))
    return fleet


def make_small_fleet(seed, respond):
    """Return a fleet with few targets and one route."""
    return make_fleet(
        seed,
        respond,
        targets=SMALL_TARGETS,
        nodes=SMALL_NODES,
        routes=SMALL_ROUTES,
    )


def good(now, route, random, is_new, time_s, load):
    return time_s, False, False


def make_bad(share=0.3, slowdown=None, route=None, since_s=0.0, min_load=0):
    """Return the responses of a bad version.

    Part of its responses are failures, or slower if ``slowdown`` is set, on
    one route, from a time on, or of targets that run ``min_load`` requests.
    """

    def respond(now, request_route, random, is_new, time_s, load):
        is_bad = (
            is_new
            and load >= min_load
            and now >= since_s
            and route in (None, request_route)
            and random.random() < share
        )
        if not is_bad:
            return time_s, False, False
        if slowdown is not None:
            return time_s * slowdown, False, True
        return time_s, True, True

    return respond
