"""Fleet of nodes and controls whose targets crash under some requests."""

from collections import Counter
from functools import partial
from math import inf

from msgspec import Struct
from testtools import TestCase
import trio
from trio.testing import MockClock

from snipelead.callers.call_path import Protocols
from snipelead.callers.tests.fakes import Caller
from snipelead.controls.tests.mesh import Control
from snipelead.controls.tests.mesh import CONTROL_TIMINGS
from snipelead.controls.tests.mesh import make_peers
from snipelead.controls.tests.mesh import NODE_TIMINGS
from snipelead.daemons.node import NodeDaemon
from snipelead.emulator.platform_target import PlatformTarget
from snipelead.http.exceptions import ConnectFailedError
from snipelead.http.exceptions import INCOMPLETE_MESSAGE_ERRORS
from snipelead.platform.protocols import PlatformCallerProtocol
from snipelead.platform.protocols import PlatformTargetProtocol
from snipelead.releases.document import Release
from snipelead.releases.document import Route
from snipelead.releases.document import Service
from snipelead.settings.schema import NodeSettings
from snipelead.targets.heartbeats import TargetHeartbeat
from snipelead.testing.network import MemoryNetwork
from snipelead.testing.source import FakeSource
from snipelead.types import RequestClass
from snipelead.types import TargetState

# Bounds that the platform states: after a request has crashed so many targets
# and the stable window has passed, it reaches only so many more.
CRASHES_UNTIL_BOUND = 3
STABLE_WINDOW_S = 3.0
MAX_FURTHER_ARRIVALS = 3

NODE_COUNT = 5
SLOTS = 18
TARGET_RESTART_S = 2.0
HEARTBEAT_INTERVAL_S = 1.0
FIRST_START_MS = 1_700_000_000_000
SERVICE_TIME_S = 0.2
DEADLINE_MS = 1_500
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
            max_attempts=3,
        ),
        'orders': Route(
            'orders',
            'stock',
            '/orders',
            request_class=RequestClass.ONCE,
            deadline_ms=DEADLINE_MS,
            target_latency_ms=600,
        ),
    },
)


class Arrival(Struct, frozen=True):
    """A request that reached a target.

    Parameters
    ----------
    path, target_id : str
        Path of the request, and the target.
    at : float
        Time of the arrival, in seconds.
    """

    path: str
    target_id: str
    at: float


class Outcome(Struct, frozen=True):
    """Response to a client.

    Parameters
    ----------
    path : str
        Path of the request.
    sent_at, ended_at : float
        When the request was sent and when the response or the failure came,
        in seconds.
    status : int
        Status of the response; 0 without one.
    code : str
        Error code of a node, or ''.
    """

    path: str
    sent_at: float
    ended_at: float
    status: int
    code: str = ''


class _Frontend:
    """Frontend of a node that receives its heartbeats from the test."""

    protocols = Protocols(
        PlatformCallerProtocol(lambda: 'stock'), PlatformTargetProtocol()
    )

    def is_known_service(self, service):
        return service in RELEASE.services

    async def run(self, daemon, *, task_status=trio.TASK_STATUS_IGNORED):
        task_status.started()
        await trio.sleep_forever()


class CrashingNode:
    """A node daemon and the targets that run beside it, one after another.

    Attributes
    ----------
    daemon : NodeDaemon
        Current process of the node.
    target : PlatformTarget or None
        Current target; None while it is down.
    """

    def __init__(self, fleet, index):
        self.fleet = fleet
        self.name = f'n{index}'
        self.zone = 'abc'[index % 3]
        self.rpc_address = f'127.0.1.{index}:1'
        self.target = None
        self.target_count = 0
        self.cancel_scope = None
        self.daemon = None

    @property
    def caller_address(self):
        return self.daemon.call_path.caller_address

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Run one process until cancelled."""
        settings = NodeSettings(
            node_id=self.name,
            zone=self.zone,
            caller_address='127.0.0.1:0',
            address='127.0.0.1:0',
            admin_address='127.0.0.1:0',
            controls=self.fleet.peers,
            timings=NODE_TIMINGS,
        )
        daemon = NodeDaemon(
            settings,
            self.fleet.network.transport(self.rpc_address),
            _Frontend(),
        )
        with trio.CancelScope() as self.cancel_scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(daemon.run, trio.Event())
                daemon.local_targets.address = daemon.call_path.address
                # Heartbeats reach the process from now on.
                self.daemon = daemon
                task_status.started()

    async def restart(self, nursery):
        self.cancel_scope.cancel()
        await trio.sleep(0.3)
        await nursery.start(self.run)

    async def run_targets(self):
        while True:
            await self._run_target()
            self.target = None
            await trio.sleep(TARGET_RESTART_S)

    async def _run_target(self):
        self.target_count += 1
        target = PlatformTarget(f't-{self.name}-{self.target_count}')
        target.slots = SLOTS
        target.draw_service_time_s = lambda: SERVICE_TIME_S
        target.crashing_paths = self.fleet.crashing_paths
        target.on_run = partial(self.fleet.record_arrival, target.target_id)
        target.on_crash = self.fleet.record_crash
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_heartbeats, target)
            self.target = target
            await target.run()
            nursery.cancel_scope.cancel()

    async def _send_heartbeats(self, target):
        started_ms = FIRST_START_MS + int(trio.current_time() * 1_000)
        sequence = 0
        while True:
            sequence += 1
            heartbeat = TargetHeartbeat(
                target.target_id,
                'stock',
                target.address,
                SLOTS,
                TargetState.SERVING,
                started_ms,
                sequence,
            )
            tracker = self.daemon.heartbeat_tracker
            tracker.process(heartbeat)
            if tracker.needs_check:
                # The health check of a target that serves succeeds.
                tracker.confirm_serving(heartbeat)
            await trio.sleep(HEARTBEAT_INTERVAL_S)


class CrashTestCase(TestCase):
    """Runs nodes whose targets crash under some requests.

    Attributes
    ----------
    crashing_paths : set of str
        Paths of the requests under which targets crash.
    arrivals : list of Arrival
        Requests that reached a target.
    crashes : list of tuple of (str, float)
        Paths of the requests under which a target ended, and the times.
    outcomes : list of Outcome
        Responses to clients.
    """

    def setUp(self):
        super().setUp()
        self.peers = make_peers(['a', 'b'])
        self.network = MemoryNetwork(1)
        self.crashing_paths = {'/reads/crash'}
        self.arrivals = []
        self.crashes = []
        self.outcomes = []
        self.sent = 0
        self.seed = 1
        self.nodes = [CrashingNode(self, n) for n in range(NODE_COUNT)]
        self.controls = []

    def record_arrival(self, target_id, request):
        self.arrivals.append(
            Arrival(request.path, target_id, trio.current_time())
        )

    def record_crash(self, request):
        self.crashes.append((request.path, trio.current_time()))

    def run_scenario(self, scenario):
        """Run a coroutine function while the fleet runs."""

        async def main():
            async with trio.open_nursery() as nursery:
                for index in range(len(self.peers)):
                    await self.start_control(nursery, index)
                for node in self.nodes:
                    await nursery.start(node.run)
                    nursery.start_soon(node.run_targets)
                await self.wait_ready()
                await scenario(nursery)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=MockClock(autojump_threshold=0))

    async def start_control(self, nursery, index):
        control = Control(
            self,
            self.peers[index],
            FakeSource(RELEASE),
            timings=CONTROL_TIMINGS,
        )
        await nursery.start(control.run)
        self.controls[index:] = [control, *self.controls[index + 1 :]]

    async def restart_controls(self, nursery):
        for control in self.controls:
            control.scope.cancel()
        await trio.sleep(0.3)
        for index in range(len(self.peers)):
            await self.start_control(nursery, index)

    async def wait_ready(self):
        with trio.fail_after(30):
            while not all(node.daemon.is_ready for node in self.nodes):
                await trio.sleep(0.1)
            await trio.sleep(3 * HEARTBEAT_INTERVAL_S)

    async def send_steadily(self, paths, per_s, for_s):
        """Send requests to all nodes in turn.

        Parameters
        ----------
        paths : callable
            Returns the path of the next request.
        per_s, for_s : float
            Rate and duration.
        """
        async with trio.open_nursery() as nursery:
            for number in range(int(per_s * for_s)):
                node = self.nodes[number % len(self.nodes)]
                nursery.start_soon(self.send_request, node, paths())
                await trio.sleep(1 / per_s)

    async def send_request(self, node, path, method='GET', body=b''):
        """Send one request and record its outcome."""
        self.sent += 1
        attempt_id = f'a{self.sent}'
        sent_at = trio.current_time()
        status, code = 0, ''
        try:
            caller = await Caller.open(node.caller_address)
            with caller.connection, trio.move_on_after(DEADLINE_MS / 1_000):
                response, answer = await caller.call(
                    path,
                    method,
                    body,
                    Attempt_Id=attempt_id,
                    Deadline_Ms=DEADLINE_MS,
                )
                status = response.status
                if b'"code"' in answer:
                    code = answer.partition(b'"code": "')[2][:6].decode()
        except (ConnectFailedError, *INCOMPLETE_MESSAGE_ERRORS):
            pass
        outcome = Outcome(path, sent_at, trio.current_time(), status, code)
        self.outcomes.append(outcome)
        return outcome

    def crash_times(self, path):
        return [
            at for crashed_path, at in self.crashes if crashed_path == path
        ]

    def arrivals_beyond_bound(self, path):
        """Return the arrivals of a request after the bound applies."""
        crashes = self.crash_times(path)
        if len(crashes) < CRASHES_UNTIL_BOUND:
            return []
        bound_at = crashes[CRASHES_UNTIL_BOUND - 1] + STABLE_WINDOW_S
        return [a for a in self.arrivals if a.path == path and a.at > bound_at]

    def check_bound(self, path):
        self.assertGreater(len(self.crash_times(path)), 0)
        self.assertLessEqual(
            len(self.arrivals_beyond_bound(path)), MAX_FURTHER_ARRIVALS
        )

    def count_statuses(self, is_counted, since=0.0, until=inf):
        return Counter(
            o.status
            for o in self.outcomes
            if is_counted(o.path) and since <= o.sent_at < until
        )
