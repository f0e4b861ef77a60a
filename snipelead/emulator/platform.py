"""Stand-in of a target on the users' platform, for tests without a bench.

It answers as the platform's targets do, and misbehaves on demand.
"""

from enum import Enum
from math import inf

from msgspec import Struct
import trio

from snipelead.callers.connections import ConnectionServer
from snipelead.callers.protocol import CallerProtocol
from snipelead.http.connection import listen
from snipelead.http.reading import FieldRules
from snipelead.http.writing import encode_head
from snipelead.http.writing import status_line
from snipelead.settings.schema import NodeLimits

__all__ = ['Misbehaviour', 'PlatformTarget', 'RunRequest']

IDLE_S = 60.0
HEALTH_PATH = b'/health'
SEAL = b'Response-Seal: 3e1b.07.5a2'


class Misbehaviour(Enum):
    """What the next answer does wrong."""

    NONE = 'none'
    # It says that the request was not run.
    SHED = 'shed'
    # It says 503 without saying that the request was not run.
    UNSURE = 'unsure'
    # An answer to an earlier request comes first.
    STRAY = 'stray'
    # A second answer follows.
    EXTRA = 'extra'
    # It ends in the middle of its body.
    CUT = 'cut'
    # It is no message of the protocol.
    GARBAGE = 'garbage'
    # Its body is encoded.
    ENCODED = 'encoded'
    # It has no length and ends with its connection.
    UNFRAMED = 'unframed'
    # The connection is reset once the request was run.
    RESET = 'reset'
    # It carries no id.
    ANONYMOUS = 'anonymous'
    # Another target has the address.
    MOVED = 'moved'
    # It fails though the request was run.
    ERROR = 'error'


class RunRequest(Struct, frozen=True):
    """What a target is told of a request that it runs.

    Parameters
    ----------
    attempt_id, path : str
        What the client sent.
    origin : str
        Service beside the node that the client called.
    left_ms : int
        Time left until the client's deadline, in milliseconds.
    """

    attempt_id: str
    path: str
    origin: str
    left_ms: int


class _TargetSide(CallerProtocol):
    rules = FieldRules(
        read=frozenset(
            (
                b'attempt-id',
                b'deadline-ms',
                b'expect-instance',
                b'caller-service',
            )
        )
    )


class PlatformTarget:
    """A target that logs what it ran.

    Parameters
    ----------
    target_id : TargetId
        Its id.

    Attributes
    ----------
    runs : list of str
        Ids of the attempts that it ran, in order.
    heads : list of dict of bytes to bytes
        Header fields of those.
    next : list of Misbehaviour
        What the next answers do; good ones follow.
    hold : trio.Event or None
        Answers wait for it.
    connections : int
        Connections accepted.
    work_s : callable or None
        Returns how long the next request takes, in seconds.
    slots : float
        Requests that it runs at a time; it refuses those beyond.
    is_leaving : bool
        Whether it says that it is out of service.
    on_run : callable or None
        Told of each request that begins to run, as a :class:`RunRequest`.
    """

    def __init__(self, target_id):
        self.target_id = target_id
        self.work_s = None
        self.slots = inf
        self.running = 0
        self.is_leaving = False
        self.on_run = None
        self.listener = listen('127.0.0.1:0')
        host, port = self.listener.getsockname()
        self.address = f'{host}:{port}'
        self.runs = []
        self.heads = []
        self.next = []
        self.hold = None
        self.connections = 0

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until cancelled."""
        server = ConnectionServer(
            self.listener,
            self._handle,
            NodeLimits(),
            IDLE_S,
            protocol=_TargetSide(),
        )
        accept = server.serve

        async def count(connection):
            self.connections += 1
            await accept(connection)

        server.serve = count
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.run, nursery)
            task_status.started()

    async def _handle(self, connection, request):
        if request.url == HEALTH_PATH:
            status = 503 if self.is_leaving else 200
            name = b'Instance-Id: ' + self.target_id.encode()
            await connection.send(_message(status, b'', name))
            return
        fields = request.fields
        attempt = fields.get(b'attempt-id', b'')
        act = self.next.pop(0) if self.next else Misbehaviour.NONE
        if fields.get(b'expect-instance', b'').decode() != self.target_id:
            act = Misbehaviour.MOVED
        elif self.running >= self.slots:
            act = Misbehaviour.SHED
        if act in (Misbehaviour.SHED, Misbehaviour.MOVED):
            await self._answer(connection, request, attempt, act)
            return
        self.runs.append(attempt.decode())
        self.heads.append(dict(fields))
        if self.on_run is not None:
            self.on_run(
                RunRequest(
                    attempt.decode(),
                    request.url.decode(),
                    fields.get(b'caller-service', b'').decode(),
                    int(fields.get(b'deadline-ms', b'0')),
                )
            )
        self.running += 1
        try:
            if self.work_s is not None:
                await trio.sleep(self.work_s())
            if self.hold is not None:
                await self.hold.wait()
        finally:
            self.running -= 1
        await self._answer(connection, request, attempt, act)

    async def _answer(self, connection, request, attempt, act):  # noqa: C901
        body = b'answer to ' + attempt
        good = self._encode(200, attempt, body)
        match act:
            case Misbehaviour.SHED:
                await connection.send(_message(503, b'', b'Not-Executed: 1'))
            case Misbehaviour.MOVED:
                await connection.send(
                    _message(421, b'', b'Instance-Id: another')
                )
            case Misbehaviour.UNSURE:
                await connection.send(self._encode(503, attempt, body))
            case Misbehaviour.ERROR:
                await connection.send(self._encode(500, attempt, b'failed'))
            case Misbehaviour.STRAY:
                late = self._encode(200, b'earlier', b'late')
                await connection.send(late + good)
            case Misbehaviour.EXTRA:
                await connection.send(good + good)
            case Misbehaviour.CUT:
                await connection.send(good[:-3])
                connection.close()
            case Misbehaviour.GARBAGE:
                await connection.send(b'\x00\x01 no message\r\n\r\n')
            case Misbehaviour.ENCODED:
                line = b'Content-Encoding: gzip'
                await connection.send(self._encode(200, attempt, body, line))
            case Misbehaviour.ANONYMOUS:
                await connection.send(_message(200, body, SEAL))
            case Misbehaviour.UNFRAMED:
                lines = (b'Attempt-Id: ' + attempt, SEAL)
                head = encode_head(status_line(200), lines)
                await connection.send(head + body)
                connection.close()
            case Misbehaviour.RESET:
                connection.abort()
            case Misbehaviour.NONE:
                await connection.send(good)

    def _encode(self, status, attempt, body, *lines):
        return _message(status, body, b'Attempt-Id: ' + attempt, SEAL, *lines)


def _message(status, body, *lines):
    length = b'Content-Length: %d' % len(body)
    return encode_head(status_line(status), (length, *lines)) + body
