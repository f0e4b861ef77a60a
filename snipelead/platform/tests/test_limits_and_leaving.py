"""Targets that limit their rate or leave, on the virtual clock."""

from bisect import bisect_left
from collections import Counter
from functools import partial
from math import inf

from msgspec import Struct
import trio
from trio.testing import MockClock

from snipelead.callers.call_path import CallPath
from snipelead.callers.tests.fakes import Caller
from snipelead.callers.tests.fakes import CallPathTestCase
from snipelead.http.exceptions import ConnectFailedError
from snipelead.http.exceptions import INCOMPLETE_MESSAGE_ERRORS
from snipelead.messages import DirectoryUpdate
from snipelead.nodes.directory import TargetDirectory
from snipelead.platform.tests.test_protocols import PlatformNode
from snipelead.releases.document import Release
from snipelead.releases.document import Route
from snipelead.releases.document import Service
from snipelead.targets.local import LocalTargets
from snipelead.types import Incarnation
from snipelead.types import TargetState

# Bounds that the platform states: in any window, a target gets at most
# ALLOWED_RATIO times the requests that its limit allows, and ALLOWED_EXTRA.
WINDOW_S = 4.0
ALLOWED_RATIO = 1.5
ALLOWED_EXTRA = 5
STABLE_WINDOW_S = 3.0
# The requests of a node count from this time after it has forwarded a limit.
COUNTED_AFTER_S = 0.5
DRAIN_S = 2.0

NODE_COUNT = 3
SERVICE_TIME_S = 0.1
DEADLINE_MS = 1_500
BORN = Incarnation(1_700_000_000_000)
RELEASE = Release(
    2,
    {'stock': Service('stock')},
    {
        'reads': Route(
            'reads',
            'stock',
            '/reads',
            repeatable=True,
            deadline_ms=DEADLINE_MS,
            target_latency_ms=600,
        )
    },
)


class Arrival(Struct, frozen=True):
    """A request that reached a target.

    Parameters
    ----------
    target_id, origin : str
        The target, and the node at which the request began.
    at, sent_at : float
        Times of the arrival and of the sending by the caller, in seconds.
    """

    target_id: str
    origin: str
    at: float
    sent_at: float


class RestartableNode(PlatformNode):
    """Node whose process can be replaced by one that knows nothing.

    Attributes
    ----------
    born : Incarnation
        Start time of the target.
    """

    def __init__(self, name):
        super().__init__(name)
        self.holder.replace(RELEASE)
        self.target.draw_service_time_s = lambda: SERVICE_TIME_S
        self.born = BORN

    def announce(self, state):
        self.local_targets.announce(
            self.target_id,
            'stock',
            self.target.address,
            self.slots,
            130,
            state,
            self.born,
        )

    def forget_statuses(self):
        self.path.statuses.by_target.clear()
        self.path.statuses.leaving.clear()

    async def restart(self, nursery, down_s=0.5):
        self.path.scope.cancel()
        await trio.sleep(down_s)
        self.directory = TargetDirectory()
        self.local_targets = LocalTargets(
            self.settings.node_id, self.settings.zone, self.settings.address
        )
        self.path = CallPath(
            self.settings,
            self.holder,
            self.directory,
            self.local_targets,
            self.claims,
            self.metrics,
            seed=1,
            protocols=self.path.protocols,
        )
        await nursery.start(partial(_run, self.path))
        self.local_targets.address = self.path.address
        self.announce(TargetState.SERVING)


async def _run(path, task_status):
    await path.run(task_status=task_status)


class StatusTestCase(CallPathTestCase):
    """Runs three nodes whose callers send requests at a constant rate.

    Attributes
    ----------
    arrivals : list of Arrival
        Requests that reached a target.
    forwarded_at : dict of str to float
        When each node first forwarded a response that states a limit or that
        its target is leaving.
    statuses : list of tuple of (float, int)
        Times and statuses of the responses to callers.
    """

    def setUp(self):
        super().setUp()
        self.requests_per_s = 40.0
        self.arrivals = []
        self.forwarded_at = {}
        self.sent = {}
        self.statuses = []
        self.nodes = [RestartableNode(f'n{n}') for n in range(NODE_COUNT)]
        for node in self.nodes:
            node.target.on_receive = partial(
                self.record_arrival, node.target_id
            )

    @property
    def node(self):
        """Node whose target limits its rate or leaves."""
        return self.nodes[0]

    def record_arrival(self, target_id, attempt_id):
        origin, sent_at = self.sent[attempt_id]
        self.arrivals.append(
            Arrival(target_id, origin, trio.current_time(), sent_at)
        )

    def run_scenario(self, scenario):
        """Run a coroutine function while callers send requests."""

        async def main():
            async with trio.open_nursery() as nursery:
                for node in self.nodes:
                    await node.start(nursery)
                self.spread_entries()
                for node in self.nodes:
                    nursery.start_soon(self.send_requests, nursery, node)
                await scenario(nursery)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=MockClock(autojump_threshold=0))

    def spread_entries(self):
        """Tell all nodes the targets of all nodes."""
        for node in self.nodes:
            node.merge_targets_of(*self.nodes)

    async def restart(self, nursery, node):
        await node.restart(nursery)
        self.spread_entries()

    async def send_requests(self, nursery, node):
        while True:
            nursery.start_soon(self.send_request, node)
            await trio.sleep(1 / self.requests_per_s)

    async def send_request(self, node):
        attempt_id = f'a{len(self.sent)}'
        self.sent[attempt_id] = (node.target_id, trio.current_time())
        try:
            caller = await Caller.open(node.path.caller_address)
        except ConnectFailedError:
            # The node is being restarted.
            return
        with caller.connection:
            try:
                response, _ = await caller.call(
                    '/reads/1',
                    Attempt_Id=attempt_id,
                    Deadline_Ms=DEADLINE_MS,
                )
            except INCOMPLETE_MESSAGE_ERRORS:
                return
        now = trio.current_time()
        self.statuses.append((now, response.status))
        lines = b'\n'.join(response.field_lines).lower()
        if b'server-limit' in lines or b'server-leaving' in lines:
            self.forwarded_at.setdefault(node.target_id, now)

    def arrivals_at(self, node, since=0.0, until=inf):
        return [
            arrival
            for arrival in self.arrivals
            if arrival.target_id == node.target_id
            and since <= arrival.at < until
        ]

    def check_limit(self, limit, stated_at, until=inf, excused=()):
        """Check each window from the stable one on against a limit."""
        times = [
            arrival.at
            for arrival in self.arrivals_at(
                self.node, stated_at + STABLE_WINDOW_S, until
            )
            if arrival.origin not in excused
            and self.forwarded_at.get(arrival.origin, inf) + COUNTED_AFTER_S
            <= arrival.at
        ]
        allowed = ALLOWED_RATIO * limit * WINDOW_S + ALLOWED_EXTRA
        for number, start in enumerate(times):
            count = bisect_left(times, start + WINDOW_S) - number
            self.assertLessEqual(count, allowed, f'window from {start}')

    def count_statuses(self, since, until=inf):
        return Counter(
            status for at, status in self.statuses if since <= at < until
        )


class RateLimitTest(StatusTestCase):
    def check_constant_limit(self, value):
        async def scenario(nursery):
            await trio.sleep(2.0)
            self.node.target.rate_limits = (value,)
            await trio.sleep(13.0)

        self.run_scenario(scenario)
        self.check_limit(float(value), 2.0)

    def test_target_gets_no_more_than_its_stated_rate(self):
        # A limit that a target states was not enforced by any node.
        self.check_constant_limit(b'20.7')

    def test_target_gets_no_more_than_a_rate_below_one_per_node(self):
        self.check_constant_limit(b'1.5')

    def test_target_gets_most_of_its_stated_rate(self):
        async def scenario(nursery):
            await trio.sleep(2.0)
            self.node.target.rate_limits = (b'20',)
            await trio.sleep(10.0)

        self.requests_per_s = 150.0
        self.run_scenario(scenario)
        self.check_limit(20.0, 2.0)
        self.assertGreater(len(self.arrivals_at(self.node, 6.0, 12.0)), 90)

    def test_requests_beyond_the_limit_go_to_other_targets(self):
        async def scenario(nursery):
            await trio.sleep(2.0)
            self.node.target.rate_limits = (b'1.5',)
            await trio.sleep(8.0)

        self.run_scenario(scenario)
        statuses = self.count_statuses(3.0)
        self.assertGreater(statuses[200], 700)
        self.assertEqual(0, statuses.total() - statuses[200])

    def check_end_is_noticed(self, value):
        async def scenario(nursery):
            await trio.sleep(1.0)
            self.node.target.rate_limits = (value,)
            await trio.sleep(9.0)
            self.node.target.rate_limits = ()
            await trio.sleep(10.0)

        self.run_scenario(scenario)
        self.check_limit(float(value), 1.0, until=10.0)
        # About a third of all requests.
        arrivals = self.arrivals_at(self.node, 16.0, 20.0)
        self.assertGreater(len(arrivals), 100)

    def test_end_of_a_limit_is_noticed(self):
        self.check_end_is_noticed(b'20')

    def test_end_of_a_limit_of_zero_is_noticed(self):
        self.check_end_is_noticed(b'0')

    def test_lower_limit_applies_at_once(self):
        async def scenario(nursery):
            await trio.sleep(1.0)
            self.node.target.rate_limits = (b'20',)
            await trio.sleep(7.0)
            self.node.target.rate_limits = (b'2',)
            await trio.sleep(8.0)

        self.run_scenario(scenario)
        self.check_limit(20.0, 1.0)
        self.check_limit(2.0, 8.5 - STABLE_WINDOW_S)

    def test_limit_holds_while_the_target_rejects_requests(self):
        async def scenario(nursery):
            await trio.sleep(1.0)
            self.node.target.rate_limits = (b'2',)
            await trio.sleep(2.0)
            # It refuses all requests and states its limit with it.
            self.node.target.slots = 0
            await trio.sleep(8.0)

        self.run_scenario(scenario)
        self.check_limit(2.0, 1.0)

    def test_request_that_no_target_has_room_for_is_refused_at_once(self):
        async def scenario(nursery):
            await trio.sleep(1.0)
            for node in self.nodes:
                node.target.rate_limits = (b'2',)
            await trio.sleep(4.0)
            caller = await Caller.open(self.node.path.caller_address)
            started_at = trio.current_time()
            refusal = None
            with caller.connection:
                while refusal is None:
                    started_at = trio.current_time()
                    self.sent['x'] = ('x', started_at)
                    response, _ = await caller.call(
                        '/reads/1', Attempt_Id='x', Deadline_Ms=1_500
                    )
                    if response.status == 503:
                        refusal = response
            self.assertLess(trio.current_time() - started_at, 0.3)
            retry_after_s = float(refusal.fields[b'retry-after'])
            self.assertTrue(0.05 < retry_after_s < 1.5, retry_after_s)
            await trio.sleep(6.0)

        self.run_scenario(scenario)
        self.check_limit(2.0, 1.0)

    def test_limit_holds_after_a_restart_of_the_node_of_the_target(self):
        # The limit was forgotten by the only process that enforces it, while
        # other nodes had forwarded it.
        self.requests_per_s = 20.0
        for node in self.nodes:
            node.target.draw_service_time_s = lambda: 0.5

        async def scenario(nursery):
            await trio.sleep(2.0)
            self.node.target.rate_limits = (b'1.5',)
            await trio.sleep(6.0)
            for _ in range(6):
                await self.restart(nursery, self.node)
                await trio.sleep(1.0)

        self.run_scenario(scenario)
        self.check_limit(1.5, 2.0, excused=(self.node.target_id,))

    def test_refusal_of_another_node_tells_the_limit(self):
        async def scenario(nursery):
            await trio.sleep(1.0)
            self.node.target.rate_limits = (b'0',)
            await trio.sleep(2.0)
            for node in self.nodes[1:]:
                # Such a node has had no response of the target since.
                node.forget_statuses()
            await trio.sleep(1.5)
            entry = self.node.entry
            for node in self.nodes[1:]:
                limit = node.path.statuses.find_rate_limit(
                    entry.target_id, entry.target_incarnation
                )
                self.assertEqual(0.0, limit)

        self.run_scenario(scenario)


class LeavingTest(StatusTestCase):
    def test_target_that_states_to_leave_gets_nothing_from_those_who_forwarded(
        self,
    ):
        # A target that says so in its responses only got requests until it
        # ended.
        async def scenario(nursery):
            await trio.sleep(2.0)
            self.node.target.states_leaving = True
            await trio.sleep(6.0)

        self.run_scenario(scenario)
        self.check_drained()

    def test_leaving_target_stays_so_when_its_node_restarts(self):
        # The new process announces the target as serving until it responds.
        async def scenario(nursery):
            await trio.sleep(2.0)
            self.node.target.states_leaving = True
            await trio.sleep(1.0)
            for _ in range(5):
                await self.restart(nursery, self.node)
                await trio.sleep(1.0)

        self.run_scenario(scenario)
        self.check_drained(excused=(self.node.target_id,))

    def test_leaving_target_stays_so_when_the_directory_forgets_it(self):
        async def scenario(nursery):
            await trio.sleep(2.0)
            self.node.target.states_leaving = True
            await trio.sleep(1.0)
            # Its own process does not act on what the target states.
            self.node.forget_statuses()
            self.node.announce(TargetState.SERVING)
            for node in self.nodes[1:]:
                node.directory.apply(DirectoryUpdate('e', 1, is_full=True))
                node.path.balancer.drop_removed_targets()
            self.node.target.states_leaving = False
            self.spread_entries()
            await trio.sleep(6.0)

        self.run_scenario(scenario)
        self.check_drained(excused=(self.node.target_id,))

    def test_next_incarnation_of_a_leaving_target_gets_requests(self):
        async def scenario(nursery):
            await trio.sleep(1.0)
            self.node.target.states_leaving = True
            await trio.sleep(4.0)
            self.node.target.states_leaving = False
            self.node.born += 1
            self.node.announce(TargetState.SERVING)
            self.spread_entries()
            await trio.sleep(3.0)

        self.run_scenario(scenario)
        self.assertEqual([], self.arrivals_at(self.node, 3.5, 5.0))
        arrivals = self.arrivals_at(self.node, 5.0)
        self.assertEqual(
            {node.target_id for node in self.nodes},
            {arrival.origin for arrival in arrivals},
        )

    def test_response_without_the_statement_does_not_take_it_back(self):
        async def scenario(nursery):
            await trio.sleep(1.0)
            self.node.target.states_leaving = True
            await trio.sleep(0.3)
            self.node.target.states_leaving = False
            await trio.sleep(5.0)

        self.run_scenario(scenario)
        self.check_drained()

    def test_requests_are_refused_at_once_when_all_targets_leave(self):
        async def scenario(nursery):
            await trio.sleep(1.0)
            for node in self.nodes:
                node.target.states_leaving = True
            await trio.sleep(3.0)
            caller = await Caller.open(self.node.path.caller_address)
            with caller.connection:
                started_at = trio.current_time()
                response, _ = await caller.call(
                    '/reads/1', Attempt_Id='x', Deadline_Ms=1_500
                )
            self.assertEqual(503, response.status)
            self.assertIn(b'retry-after', response.fields)
            self.assertLess(trio.current_time() - started_at, 0.1)

        self.run_scenario(scenario)
        # Those under way are delivered.
        self.assertEqual({200, 503}, set(self.count_statuses(0.0)))
        self.assertGreater(self.count_statuses(1.0)[200], 5)

    def check_drained(self, excused=()):
        """Check that no node sends requests after the drain time."""
        for arrival in self.arrivals_at(self.node):
            forwarded_at = self.forwarded_at.get(arrival.origin)
            if forwarded_at is not None and arrival.origin not in excused:
                self.assertLessEqual(arrival.sent_at, forwarded_at + DRAIN_S)
