"""Emulated target that speaks the protocol of the users' platform.

Tests make it violate the protocol on demand.
"""

from contextlib import suppress
from enum import Enum
from math import inf

from msgspec import Struct
import trio

from snipelead.callers.connections import ConnectionServer
from snipelead.callers.exceptions import CallerDisconnectedError
from snipelead.callers.protocol import CallerProtocol
from snipelead.http.connection import listen
from snipelead.http.reading import FieldRules
from snipelead.http.writing import encode_head
from snipelead.http.writing import status_line
from snipelead.settings.schema import NodeLimits

__all__ = ['Misbehaviour', 'PlatformTarget', 'StartedRequest']

IDLE_TIMEOUT_S = 60.0
HEALTH_PATH = b'/health'
SEAL_FIELD = b'Response-Seal: 3e1b.07.5a2'
SWITCHING_RESPONSE = encode_head(
    status_line(101), (b'Connection: Upgrade', b'Upgrade: h2c')
)
# Time until a target reads on after it has responded early, in seconds.
READ_ON_DELAY_S = 0.3


class Misbehaviour(Enum):
    """Protocol violation or failure in the next response."""

    NONE = 'none'
    # Reports that the request was not run.
    SHED = 'shed'
    # Status 503 without the field that says that the request was not run.
    UNCERTAIN = 'unsure'
    # A response to an earlier request precedes the valid one.
    STRAY = 'stray'
    # A second response follows the valid one.
    EXTRA = 'extra'
    # The connection closes within the body.
    TRUNCATED = 'cut'
    # The bytes are not an HTTP message.
    GARBAGE = 'garbage'
    # Status 101, though no other protocol was offered.
    SWITCHING = 'switching'
    # Any bytes, without a run of the request; see ``draw_wrong_bytes``.
    WRONG_BYTES = 'wrong bytes'
    # The body has a content encoding.
    ENCODED = 'encoded'
    # No Content-Length; the body ends when the connection closes.
    UNFRAMED = 'unframed'
    # The connection is reset after the request ran.
    RESET = 'reset'
    # The Attempt-Id field is missing.
    ANONYMOUS = 'anonymous'
    # Another target now has the address.
    MOVED = 'moved'
    # Status 500 after the request ran.
    ERROR = 'error'
    # Reports that the request was not run before its body has been read. The
    # rest is read later.
    EARLY_SHED = 'early shed'
    # A part of a response without a length, before the body of the request has
    # been read; then the connection is reset.
    EARLY_RESET = 'early reset'


class StartedRequest(Struct, frozen=True):
    """Request that a target starts to run.

    Parameters
    ----------
    attempt_id, path : str
        Attempt id and path that the client sent.
    origin : str
        Service whose local node the client called.
    left_ms : int
        Time left until the client's deadline, in milliseconds.
    customers, api_keys : tuple of str
        Values of all fields with a customer's name, and with an API key.
    """

    attempt_id: str
    path: str
    origin: str
    left_ms: int
    customers: tuple[str, ...] = ()
    api_keys: tuple[str, ...] = ()


class _TargetProtocol(CallerProtocol):
    rules = FieldRules(
        inspected=frozenset(
            (
                b'attempt-id',
                b'deadline-ms',
                b'expect-instance',
                b'caller-service',
                b'credential',
                b'tenant',
            )
        )
    )


class PlatformTarget:
    """Target that records the requests that it ran.

    Parameters
    ----------
    target_id : TargetId
        Id of the target.

    Attributes
    ----------
    runs : list of str
        Ids of the attempts that ran, in order of start.
    request_headers : list of dict of bytes to bytes
        Header fields of the requests that ran.
    next_misbehaviours : list of Misbehaviour
        Misbehaviours of the next responses; later responses are valid.
    draw_misbehaviour : callable or None
        Returns the misbehaviour for a request if there is none in this list.
    on_late_body : callable or None
        Called with the attempt id of a request and the bytes that came in the
        place of its body after it was refused early.
    draw_wrong_bytes : callable or None
        Returns the bytes that are sent in the place of a response.
    draw_health_bytes : callable or None
        Returns the bytes that are sent in response to a health check; empty
        for a valid response.
    response_event : trio.Event or None
        Event that responses wait for.
    connections : int
        Number of accepted connections.
    draw_service_time_s : callable or None
        Returns the service time of the next request, in seconds.
    slots : float
        Maximum number of concurrent requests; further ones are refused.
    is_leaving : bool
        Whether the health check reports the target as out of service.
    states_leaving : bool
        Whether all responses state that the target is leaving.
    health_states_status : bool
        Whether responses to health checks state these as well.
    keep_alive : bytes or None
        Idle timeout that all responses state, as the digits of seconds.
    rate_limits : tuple of bytes
        Values of the rate limit fields of all responses.
    on_receive : callable or None
        Called with the attempt id of each request that arrives.
    on_run : callable or None
        Called with a :class:`StartedRequest` for each request that starts to
        run.
    crashing_paths : collection of str
        Paths of requests that end the target while it runs them.
    crash_delay_s : float
        Time from the start of such a request to the end of the target, in
        seconds.
    on_crash : callable or None
        Called with the :class:`StartedRequest` under which the target ends.
    """

    def __init__(self, target_id):
        self.target_id = target_id
        self.draw_service_time_s = None
        self.slots = inf
        self.in_flight = 0
        self.is_leaving = False
        self.states_leaving = False
        self.health_states_status = True
        self.keep_alive = None
        self.rate_limits = ()
        self.draw_misbehaviour = None
        self.draw_wrong_bytes = None
        self.draw_health_bytes = None
        self.on_late_body = None
        self.on_receive = None
        self.on_run = None
        self.crashing_paths = ()
        self.crash_delay_s = 0.05
        self.on_crash = None
        self.cancel_scope = trio.CancelScope()
        self.listener = listen('127.0.0.1:0')
        host, port = self.listener.getsockname()
        self.address = f'{host}:{port}'
        self.runs = []
        self.request_headers = []
        self.next_misbehaviours = []
        self.response_event = None
        self.connections = 0

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until cancelled or crashed."""
        server = ConnectionServer(
            self.listener,
            self._handle,
            NodeLimits(),
            IDLE_TIMEOUT_S,
            protocol=_TargetProtocol(),
        )
        serve_connection = server.serve

        async def count_connection(connection):
            self.connections += 1
            await serve_connection(connection)

        server.serve = count_connection
        with self.cancel_scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(server.run, nursery)
                task_status.started()

    async def _handle(self, connection, request):
        if request.url == HEALTH_PATH:
            await self._send_health(connection)
        else:
            await self._handle_request(connection, request)

    async def _send_health(self, connection):
        if self.draw_health_bytes is not None:
            wrong_bytes = self.draw_health_bytes()
            if wrong_bytes:
                await _send_and_close(connection, wrong_bytes)
                return
        status = 503 if self.is_leaving else 200
        id_field = b'Instance-Id: ' + self.target_id.encode()
        encode = (
            self._encode_message
            if self.health_states_status
            else _encode_message
        )
        await connection.send(encode(status, b'', id_field))

    async def _handle_request(self, connection, request):
        fields = request.fields
        attempt_id = fields.get(b'attempt-id', b'')
        if self.on_receive is not None:
            self.on_receive(attempt_id.decode())
        misbehaviour = self._choose_misbehaviour(request)
        if misbehaviour is Misbehaviour.EARLY_SHED:
            await self._shed_early(connection, request, attempt_id)
            return
        if misbehaviour is not Misbehaviour.EARLY_RESET:
            await _receive_body(request)
        if misbehaviour is Misbehaviour.WRONG_BYTES:
            await _send_and_close(connection, self.draw_wrong_bytes())
            return
        if misbehaviour in (Misbehaviour.SHED, Misbehaviour.MOVED):
            await self._send_response(
                connection, request, attempt_id, misbehaviour
            )
            return
        self.runs.append(attempt_id.decode())
        self.request_headers.append(dict(fields))
        started = StartedRequest(
            attempt_id.decode(),
            request.url.decode(),
            fields.get(b'caller-service', b'').decode(),
            int(fields.get(b'deadline-ms', b'0')),
            _read_values(request, b'tenant'),
            _read_values(request, b'credential'),
        )
        if self.on_run is not None:
            self.on_run(started)
        self.in_flight += 1
        try:
            if started.path in self.crashing_paths:
                await self._crash(started)
            if self.draw_service_time_s is not None:
                await trio.sleep(self.draw_service_time_s())
            if self.response_event is not None:
                await self.response_event.wait()
        finally:
            self.in_flight -= 1
        await self._send_response(
            connection, request, attempt_id, misbehaviour
        )

    def _choose_misbehaviour(self, request):
        expected_id = request.fields.get(b'expect-instance', b'').decode()
        if expected_id != self.target_id:
            return Misbehaviour.MOVED
        if self.in_flight >= self.slots:
            return Misbehaviour.SHED
        if self.next_misbehaviours:
            return self.next_misbehaviours.pop(0)
        if self.draw_misbehaviour is not None:
            return self.draw_misbehaviour(request)
        return Misbehaviour.NONE

    async def _shed_early(self, connection, request, attempt_id):
        await self._send_response(
            connection, request, attempt_id, Misbehaviour.SHED
        )
        await trio.sleep(READ_ON_DELAY_S)
        body = await _receive_body(request)
        if self.on_late_body is not None:
            self.on_late_body(attempt_id.decode(), body)

    async def _crash(self, started):
        await trio.sleep(self.crash_delay_s)
        if self.on_crash is not None:
            self.on_crash(started)
        self.cancel_scope.cancel()
        await trio.sleep_forever()

    async def _send_response(  # noqa: C901
        self, connection, request, attempt_id, misbehaviour
    ):
        body = b'answer to ' + attempt_id
        valid_response = self._encode_response(200, attempt_id, body)
        match misbehaviour:
            case Misbehaviour.SHED:
                await connection.send(
                    self._encode_message(503, b'', b'Not-Executed: 1')
                )
            case Misbehaviour.MOVED:
                await connection.send(
                    self._encode_message(421, b'', b'Instance-Id: another')
                )
            case Misbehaviour.UNCERTAIN:
                await connection.send(
                    self._encode_response(503, attempt_id, body)
                )
            case Misbehaviour.ERROR:
                await connection.send(
                    self._encode_response(500, attempt_id, b'failed')
                )
            case Misbehaviour.STRAY:
                stray_response = self._encode_response(
                    200, b'earlier', b'late'
                )
                await connection.send(stray_response + valid_response)
            case Misbehaviour.EXTRA:
                await connection.send(valid_response + valid_response)
            case Misbehaviour.TRUNCATED:
                await connection.send(valid_response[:-3])
                connection.close()
            case Misbehaviour.GARBAGE:
                await connection.send(b'\x00\x01 no message\r\n\r\n')
            case Misbehaviour.SWITCHING:
                await connection.send(SWITCHING_RESPONSE)
            case Misbehaviour.ENCODED:
                encoding_field = b'Content-Encoding: gzip'
                await connection.send(
                    self._encode_response(
                        200, attempt_id, body, encoding_field
                    )
                )
            case Misbehaviour.ANONYMOUS:
                await connection.send(
                    self._encode_message(200, body, SEAL_FIELD)
                )
            case Misbehaviour.UNFRAMED:
                field_lines = (
                    b'Attempt-Id: ' + attempt_id,
                    SEAL_FIELD,
                    *self._status_fields(),
                )
                head = encode_head(status_line(200), field_lines)
                await connection.send(head + body)
                connection.close()
            case Misbehaviour.RESET:
                connection.abort()
            case Misbehaviour.EARLY_RESET:
                field_lines = (b'Attempt-Id: ' + attempt_id, SEAL_FIELD)
                head = encode_head(status_line(200), field_lines)
                await connection.send(head + body[: len(body) // 2])
                connection.abort()
            case Misbehaviour.NONE:
                await connection.send(valid_response)

    def _encode_response(self, status, attempt_id, body, *field_lines):
        return self._encode_message(
            status,
            body,
            b'Attempt-Id: ' + attempt_id,
            SEAL_FIELD,
            *field_lines,
        )

    def _encode_message(self, status, body, *field_lines):
        return _encode_message(
            status, body, *field_lines, *self._status_fields()
        )

    def _status_fields(self):
        limits = (b'Server-Limit: ' + value for value in self.rate_limits)
        leaving = (b'Server-Leaving: 1',) if self.states_leaving else ()
        timeout = (
            ()
            if self.keep_alive is None
            else (b'Keep-Alive: timeout=' + self.keep_alive,)
        )
        return (*limits, *leaving, *timeout)


async def _send_and_close(connection, data):
    await connection.send(data)
    connection.close()


async def _receive_body(request):
    """Return the body of a request, as far as it arrives."""
    body = b''
    with suppress(CallerDisconnectedError):
        while data := await request.read():
            body += data
    return body


def _read_values(request, name):
    """Return the values of all fields of a name."""
    lines = (line.partition(b':') for line in request.field_lines)
    return tuple(
        value.strip().decode('latin-1')
        for line_name, _, value in lines
        if line_name.lower() == name
    )


def _encode_message(status, body, *field_lines):
    length = b'Content-Length: %d' % len(body)
    return encode_head(status_line(status), (length, *field_lines)) + body
