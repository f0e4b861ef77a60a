"""Targets beside the nodes of a run."""

from functools import partial
from itertools import count
import socket

import trio

from snipelead.emulator.platform_operator import HeartbeatSender
from snipelead.emulator.platform_target import Misbehaviour
from snipelead.emulator.platform_target import PlatformTarget
from snipelead.soak.crashing_requests import CRASHING_PREFIXES
from snipelead.soak.records import Execution
from snipelead.testing.relay import Relay
from snipelead.testing.wrong_bytes import WrongBytes

__all__ = ['TargetHost']

SLOTS = 8
MEAN_SERVICE_TIME_S = 0.03
CRASH_DELAY_RANGE_S = (0.0, 0.2)
DELAYED_HEARTBEAT_INTERVAL_S = 0.4
FIRST_START_TIME_MS = 1_700_000_000_000
# Faulty responses that a target sends to some requests.
FAULTY_RESPONSES = (
    Misbehaviour.SHED,
    Misbehaviour.UNCERTAIN,
    Misbehaviour.STRAY,
    Misbehaviour.EXTRA,
    Misbehaviour.TRUNCATED,
    Misbehaviour.GARBAGE,
    Misbehaviour.RESET,
    Misbehaviour.ERROR,
    Misbehaviour.SWITCHING,
    Misbehaviour.WRONG_BYTES,
)
WRONG_HEALTH_PROBABILITY = 0.3
# Responses that a target sends before it has read a long body.
EARLY_RESPONSES = (Misbehaviour.EARLY_SHED, Misbehaviour.EARLY_RESET)
EARLY_RESPONSE_PROBABILITY = 0.3
# Size of the buffers between a node and a target, in bytes.
BUFFER_BYTES = 4_096
# Longest body of a request that a target always reads before it responds.
MAX_SHORT_BODY_BYTES = 50_000


class TargetHost:
    """Runs a target beside a node, and replaces it whenever it ends.

    Parameters
    ----------
    machine : Machine
        Machine of the node.
    checker : HistoryChecker
        Records the executions of requests.
    rng : random.Random
        Random generator of service times, responses and restart delays.

    Attributes
    ----------
    target : PlatformTarget or None
        Current target.
    heartbeat_sender : HeartbeatSender or None
        Sends the heartbeats of the current target to the node.
    relay : Relay or None
        TCP relay in front of the current target.
    slowdown : float
        Factor on the service times.
    faulty_response_probability : float
        Probability that the response to a request is faulty.
    """

    incarnations = count(1)

    def __init__(self, machine, checker, rng):
        self.machine = machine
        self.checker = checker
        self.rng = rng
        self.wrong_bytes = WrongBytes(rng)
        self.target = None
        self.heartbeat_sender = None
        self.relay = None
        self.slowdown = 1.0
        self.faulty_response_probability = 0.0
        self.cancel_scope = None

    @property
    def service(self):
        """Service of the targets beside this node."""
        return self.machine.process.settings['service']

    async def run(self):
        """Run one target after another until cancelled."""
        while True:
            with trio.CancelScope() as self.cancel_scope:
                await self._run_target()
            await trio.sleep(self.rng.uniform(0.2, 1.0))

    def state_limit(self, target, limit):
        """Make a target state a rate limit; None ends it.

        Parameters
        ----------
        target : PlatformTarget
            Present or former target of this host.
        limit : float or None
            Limit in requests per second.
        """
        self.checker.target_statuses.record_limit(target.target_id, limit)
        target.rate_limits = () if limit is None else (b'%.3f' % limit,)

    def crash(self):
        """End the target at once; a new one starts after a short delay."""
        self.cancel_scope.cancel()

    async def leave(self, serve_s, announced=True):
        """Let the target leave: serve on for a while, then end it.

        Parameters
        ----------
        serve_s : float
            Time until the end, in seconds.
        announced : bool
            Whether heartbeats say that it leaves; responses always do.
        """
        heartbeat_sender, name = self.heartbeat_sender, self.target.target_id
        self.target.states_leaving = self.target.is_leaving = True
        heartbeat_sender.is_leaving = announced
        if await heartbeat_sender.send_heartbeat() and announced:
            self.checker.record_leave_acknowledged(name)
        # Heartbeats sent before the announcement may arrive after it.
        with trio.move_on_after(serve_s):
            while True:
                await trio.sleep(DELAYED_HEARTBEAT_INTERVAL_S)
                await heartbeat_sender.send_delayed_heartbeat()
        await heartbeat_sender.withdraw()
        if heartbeat_sender is self.heartbeat_sender:
            self.crash()

    async def _run_target(self):
        incarnation = next(self.incarnations)
        target = PlatformTarget(f'{self.machine.name}-t{incarnation}')
        target.slots = SLOTS
        target.health_states_status = self.rng.random() < 0.5  # noqa: PLR2004
        target.draw_service_time_s = self._draw_service_time_s
        target.draw_misbehaviour = self._draw_misbehaviour
        target.draw_wrong_bytes = self.wrong_bytes.draw_response
        target.draw_health_bytes = self._draw_health_bytes
        target.on_late_body = self.checker.record_late_body
        target.listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES
        )
        target.on_run = self._record_execution
        target.crashing_paths = CRASHING_PREFIXES
        target.crash_delay_s = self.rng.uniform(*CRASH_DELAY_RANGE_S)
        target.on_crash = self._crash_under
        target.on_receive = partial(
            self.checker.record_arrival, target.target_id
        )
        settings = self.machine.process.settings
        self.slowdown = 1.0
        self.faulty_response_probability = 0.0
        async with trio.open_nursery() as nursery:
            await nursery.start(target.run)
            self.relay = Relay(target.address, buffer_bytes=BUFFER_BYTES)
            address = await nursery.start(self.relay.run)
            self.target = target
            self.heartbeat_sender = HeartbeatSender(
                target.target_id,
                settings['service'],
                settings['zone'],
                address,
                settings['report_address'],
                SLOTS,
                FIRST_START_TIME_MS + incarnation,
            )
            await self.heartbeat_sender.run()

    def _crash_under(self, target_request):
        self.checker.crashing_requests.record_crash(target_request.path)
        self.crash()

    def _draw_service_time_s(self):
        return self.rng.expovariate(1 / MEAN_SERVICE_TIME_S) * self.slowdown

    def _draw_health_bytes(self):
        if self.rng.random() < WRONG_HEALTH_PROBABILITY:
            return self.wrong_bytes.draw_response()
        return b''

    def _draw_misbehaviour(self, request):
        if (request.content_length or 0) > MAX_SHORT_BODY_BYTES:
            probability, choices = EARLY_RESPONSE_PROBABILITY, EARLY_RESPONSES
        else:
            probability = self.faulty_response_probability
            choices = FAULTY_RESPONSES
        if self.rng.random() < probability:
            return self.rng.choice(choices)
        return Misbehaviour.NONE

    def _record_execution(self, target_request):
        self.checker.record_execution(
            target_request,
            Execution(
                self.target.target_id, self.service, self.checker.clock()
            ),
        )
