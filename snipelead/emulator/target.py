"""Emulated target: an echo service with limits, faults and a run log."""

import time

import trio

from snipelead.base import Parametrized
from snipelead.emulator.announcer import Announcer
from snipelead.emulator.behaviour import Behaviour
from snipelead.emulator.events import BEHAVIOUR_CHANGED
from snipelead.emulator.events import TARGET_STOPPED
from snipelead.emulator.exceptions import InvalidBehaviourError
from snipelead.emulator.exceptions import InvalidRequestError
from snipelead.emulator.http import encode_response
from snipelead.emulator.http import HttpConnection
from snipelead.emulator.request_options import read_options
from snipelead.emulator.run_log import Run
from snipelead.emulator.run_log import RunLog
from snipelead.emulator.run_log import RunOutcome
from snipelead.logs import log_event
from snipelead.settings.schema import HealthMode
from snipelead.settings.schema import TargetSettings

__all__ = ['BEHAVIOUR_PATH', 'EmulatedTarget']

BEHAVIOUR_PATH = '/_emulator/behaviour'
DRAIN_TIMEOUT_S = 30.0
FROZEN_POLL_S = 0.05


class EmulatedTarget(Parametrized):
    """Target that echoes requests, with the limits of a real back end.

    A request is abandoned when its caller disconnects or its
    ``X-Deadline-Ms`` has passed. Its query parameters are ``bytes``, the
    length of the filler in the response, and ``ms``, the service time.
    ``/health`` and ``/load`` report what the behaviour specifies. A POST of a
    :class:`~snipelead.emulator.behaviour.BehaviourChange` to
    :data:`BEHAVIOUR_PATH` changes the behaviour.

    Parameters
    ----------
    settings : TargetSettings
        Limits and initial behaviour.
    announce : bool
        Whether the target announces itself to its node.

    Attributes
    ----------
    bound_address : str
        Address that the target listens on, set once it has started.
    behaviour : Behaviour
        Current behaviour.
    run_log : RunLog
        Log of the requests that ran.
    """

    _parameter_constraints = {
        'settings': [TargetSettings],
        'announce': [bool],
    }

    def __init__(self, settings, announce=True):
        self.settings = settings
        self.announce = announce

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until cancelled, then leave gracefully.

        On cancellation the target announces that it is leaving, finishes
        the requests in flight and removes itself from its node.

        Parameters
        ----------
        task_status : trio.TaskStatus
            Receives the bound address once the target listens.
        """
        self.check_parameters()
        self._reset()
        host, _, port = self.settings.address.rpartition(':')
        listeners = await trio.open_tcp_listeners(
            int(port), host=host.strip('[]'), backlog=1_024
        )
        socket_name = listeners[0].socket.getsockname()
        self.bound_address = f'{host}:{socket_name[1]}'
        self.behaviour.start()
        with self.run_log:
            async with trio.open_nursery() as nursery:
                server_scope = trio.CancelScope(shield=True)
                nursery.start_soon(self._serve, listeners, server_scope)
                async with Announcer(
                    self.settings, self.bound_address
                ) as announcer:
                    try:
                        task_status.started(self.bound_address)
                        await self._run_until_cancelled(announcer)
                    finally:
                        await self._drain(announcer)
                        server_scope.cancel()

    def _reset(self):
        self.behaviour = Behaviour(self.settings)
        self.run_log = RunLog(self.settings.run_log)
        self.in_flight = 0
        self.open_connections = 0
        self._slots = trio.CapacityLimiter(self.settings.slots)
        self._idle = trio.Event()
        self._idle.set()

    async def _run_until_cancelled(self, announcer):
        if self.announce:
            await announcer.run()
        await trio.sleep_forever()

    async def _drain(self, announcer):
        with trio.move_on_after(DRAIN_TIMEOUT_S) as scope:
            scope.shield = True
            if self.announce:
                await announcer.leave()
            await self._idle.wait()
            if self.announce:
                await announcer.remove()
        log_event(TARGET_STOPPED, target=self.settings.target_id)

    async def _serve(self, listeners, scope):
        with scope:
            await trio.serve_listeners(self._serve_connection, listeners)

    async def _serve_connection(self, stream):
        if self.open_connections >= self.settings.connections:
            await self._refuse_connection(stream)
            return
        self.open_connections += 1
        try:
            async with stream:
                connection = HttpConnection(stream)
                while (request := await connection.next_request()) is not None:
                    await self._handle(connection, request)
                    if connection.closed or not request.keep_alive:
                        return
        finally:
            self.open_connections -= 1

    async def _refuse_connection(self, stream):
        async with stream:
            response = encode_response(
                503, {'error': 'too many connections'}, keep_alive=False
            )
            await HttpConnection(stream).send(response)

    async def _handle(self, connection, request):
        path = request.url.partition('?')[0]
        match request.method, path:
            case 'GET', '/health':
                response = self._encode_health()
            case 'GET', '/load':
                response = self._encode_load()
            case 'POST', _ if path == BEHAVIOUR_PATH:
                response = self._change_behaviour(request)
            case _:
                await self._admit(connection, request)
                return
        if self.behaviour.frozen and path != BEHAVIOUR_PATH:
            await self._wait_unfrozen(connection)
        await connection.send(response)

    def _encode_health(self):
        match self.behaviour.health:
            case HealthMode.HONEST:
                has_free_slot = self.in_flight < self.settings.slots
                healthy = has_free_slot and not self.behaviour.fails
            case mode:
                healthy = mode is HealthMode.ALWAYS_UP
        return encode_response(200 if healthy else 503, {'healthy': healthy})

    def _encode_load(self):
        load = self.behaviour.load
        if load < 0:
            load = self.in_flight / self.settings.slots
        return encode_response(200, {'load': load})

    def _change_behaviour(self, request):
        try:
            change = self.behaviour.apply(request.body)
        except InvalidBehaviourError as error:
            return _encode_error(error)
        log_event(
            BEHAVIOUR_CHANGED,
            target=self.settings.target_id,
            change=repr(change),
        )
        return encode_response(200, {'changed': True})

    async def _admit(self, connection, request):
        try:
            options = read_options(request)
        except InvalidRequestError as error:
            await connection.send(_encode_error(error, request.keep_alive))
            return
        if self.settings.sheds and self.in_flight >= self.settings.slots:
            await connection.send(_encode_shed_response(request))
            return
        self.in_flight += 1
        if self.in_flight == 1:
            self._idle = trio.Event()
        try:
            async with self._slots:
                await self._run_request(connection, request, options)
        finally:
            self.in_flight -= 1
            if self.in_flight == 0:
                self._idle.set()

    async def _run_request(self, connection, request, options):
        headers = request.headers
        run = Run(
            len(self.run_log.runs),
            self.settings.target_id,
            request.url,
            headers.get('idempotency-key', ''),
            headers.get('x-request-id', ''),
            started_ns=time.time_ns(),
        )
        self.run_log.record_start(run)
        outcome = RunOutcome.CANCELLED
        try:
            outcome = await self._simulate_run(connection, options)
        finally:
            self.run_log.record_end(run, outcome)
        match outcome:
            case RunOutcome.RAN:
                await connection.send(self._encode_echo(request, options))
            case RunOutcome.DEADLINE:
                await connection.send(
                    encode_response(504, {'error': 'deadline passed'})
                )

    async def _simulate_run(self, connection, options):
        service_s = self.behaviour.service_time_s(options.service_ms)
        remaining_s = options.deadline_ms / 1_000
        if not await connection.simulate_work(min(service_s, remaining_s)):
            return RunOutcome.CANCELLED
        if self.behaviour.frozen and not await self._wait_unfrozen(connection):
            return RunOutcome.CANCELLED
        if remaining_s < service_s:
            return RunOutcome.DEADLINE
        return RunOutcome.RAN

    async def _wait_unfrozen(self, connection):
        while self.behaviour.frozen:
            if not await connection.simulate_work(FROZEN_POLL_S):
                return False
        return True

    def _encode_echo(self, request, options):
        request_id = request.headers.get('x-request-id', '')
        document = {
            'target': self.settings.target_id,
            'service': self.settings.service,
            'request_id': request_id,
            'method': request.method,
            'path': request.url,
            'received_bytes': len(request.body),
        }
        if options.filler_bytes is not None:
            document['filler'] = 'x' * options.filler_bytes
        status = 500 if self.behaviour.fails else 200
        return encode_response(
            status,
            document,
            (('X-Request-Id', request_id),),
            request.keep_alive,
        )


def _encode_error(error, keep_alive=True):
    return encode_response(
        400,
        {'code': error.code, 'message': error.message},
        keep_alive=keep_alive,
    )


def _encode_shed_response(request):
    return encode_response(
        503,
        {'error': 'no free slot'},
        (('X-Target-Shed', '1'), ('Retry-After', '1')),
        request.keep_alive,
    )
