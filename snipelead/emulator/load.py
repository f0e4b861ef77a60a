"""Load on nodes: open loop with Poisson arrivals, and closed loop."""

import random

import msgspec
from msgspec import Struct
import trio

from snipelead.base import Parametrized
from snipelead.emulator.client import ConnectionPool
from snipelead.emulator.exceptions import WrongAnswerError
from snipelead.emulator.recorder import AnswerKind
from snipelead.emulator.recorder import CallRecord
from snipelead.emulator.recorder import Recorder
from snipelead.types import Ran
from snipelead.utils.validation import Interval

__all__ = ['CallKind', 'ClosedLoop', 'Load', 'OpenLoop']

# Time beyond its deadline that a caller waits for an answer.
LATE_MARGIN_S = 2.0
MAX_RATE_PER_S = 100_000


class CallKind(Struct, frozen=True, kw_only=True):
    """Kind of call in a mix.

    Parameters
    ----------
    path, method : str
        What is requested.
    tenant, request_class : str
        Group that it is counted in; the tenant is sent in a header.
    weight : float
        Share of the mix.
    repeatable : bool
        Whether the route lets a request run more than once.
    keyed : bool
        Whether each call carries an idempotency key of its own.
    deadline_ms : int
        Deadline that is sent.
    body_bytes : int
        Length of the request body.
    """

    path: str
    tenant: str
    request_class: str
    method: str = 'GET'
    weight: float = 1.0
    repeatable: bool = True
    keyed: bool = False
    deadline_ms: int = 2_000
    body_bytes: int = 0


class _EchoAnswer(Struct):
    request_id: str = ''
    received_bytes: int = 0


class Load(Parametrized):
    """Base of the loads; sends single calls and records their ends.

    Parameters
    ----------
    addresses : sequence of Address
        Caller addresses of nodes; each call takes one at random, and
        another one when that refuses the connection.
    kinds : sequence of CallKind
        The mix.
    seed : int
        Seed of arrivals and choices.
    prefix : str
        Start of request ids, unique among the loads of one run.

    Attributes
    ----------
    recorder : Recorder
        What the callers got.
    """

    def __init__(self, addresses, kinds, seed=0, prefix='r'):
        self.addresses = addresses
        self.kinds = kinds
        self.seed = seed
        self.prefix = prefix

    def _prepare(self):
        self.check_parameters()
        self.random = random.Random(self.seed)
        self.recorder = Recorder()
        self.sent = 0
        self.weights = [kind.weight for kind in self.kinds]

    def _draw(self):
        [kind] = self.random.choices(self.kinds, self.weights)
        return kind, self.random.choice(self.addresses)

    async def _call(self, pool, kind, address, intended_at):
        self.sent += 1
        request_id = f'{self.prefix}-{self.seed}-{self.sent}'
        call = CallRecord(
            request_id,
            kind.tenant,
            kind.request_class,
            f'key-{request_id}' if kind.keyed else '',
            kind.repeatable,
        )
        timeout_s = kind.deadline_ms / 1_000 + LATE_MARGIN_S
        call.kind = AnswerKind.LATE
        with trio.move_on_after(timeout_s):
            await self._exchange(pool, kind, address, call)
        call.latency_s = trio.current_time() - intended_at
        self.recorder.add(call)

    async def _connect(self, pool, address):
        """Connect to a node, or to another one when it refuses."""
        try:
            return await pool.acquire(address)
        except OSError:
            other = self.random.choice(self.addresses)
            return await pool.acquire(other)

    async def _exchange(self, pool, kind, address, call):
        connection = None
        try:
            connection = await self._connect(pool, address)
            answer = await connection.request(
                kind.method,
                kind.path,
                _make_headers(kind, call),
                b'x' * kind.body_bytes,
            )
        except (OSError, trio.BrokenResourceError):
            # Nothing was sent when there is no connection.
            call.ran = Ran.NO if connection is None else Ran.UNKNOWN
            call.kind = AnswerKind.BROKEN
            _close(connection)
        except WrongAnswerError:
            call.kind = AnswerKind.BROKEN
            _close(connection)
        except trio.Cancelled:
            _close(connection)
            raise
        else:
            _judge(kind, call, answer)
            if answer.keep_alive:
                pool.release(connection)
            else:
                connection.close()


class OpenLoop(Load):
    """Calls arrive at a rate, whether or not earlier ones have ended.

    Latency counts from the intended arrival, so that overload shows.

    Parameters
    ----------
    rate_per_s : float
        Mean arrivals in a second.
    duration_s : float
        Time during which calls arrive, in seconds.
    """

    _parameter_constraints = {
        'rate_per_s': [Interval(float, 0.001, MAX_RATE_PER_S)],
        'duration_s': [Interval(float, 0.0)],
        'seed': [Interval(int, 0)],
    }

    def __init__(
        self, addresses, kinds, rate_per_s, duration_s, seed=0, prefix='r'
    ):
        super().__init__(addresses, kinds, seed, prefix)
        self.rate_per_s = rate_per_s
        self.duration_s = duration_s

    async def run(self):
        """Send all calls, wait for their ends and return the recorder."""
        self._prepare()
        start = trio.current_time()
        arrival = start
        with ConnectionPool() as pool:
            async with trio.open_nursery() as nursery:
                while True:
                    arrival += self.random.expovariate(self.rate_per_s)
                    if arrival - start > self.duration_s:
                        break
                    await trio.sleep_until(arrival)
                    nursery.start_soon(
                        self._call, pool, *self._draw(), arrival
                    )
        return self.recorder


class ClosedLoop(Load):
    """A fixed number of callers, each sending after its last answer.

    Parameters
    ----------
    callers : int
        Number of callers, each with a connection of its own.
    calls : int
        Calls of each caller.
    """

    _parameter_constraints = {
        'callers': [Interval(int, 1)],
        'calls': [Interval(int, 1)],
        'seed': [Interval(int, 0)],
    }

    def __init__(self, addresses, kinds, callers, calls, seed=0, prefix='r'):
        super().__init__(addresses, kinds, seed, prefix)
        self.callers = callers
        self.calls = calls

    async def run(self):
        """Send all calls, wait for their ends and return the recorder."""
        self._prepare()
        async with trio.open_nursery() as nursery:
            for number in range(self.callers):
                address = self.addresses[number % len(self.addresses)]
                nursery.start_soon(self._run_caller, address)
        return self.recorder

    async def _run_caller(self, address):
        with ConnectionPool() as pool:
            for _ in range(self.calls):
                kind, _ = self._draw()
                await self._call(pool, kind, address, trio.current_time())


def _make_headers(kind, call):
    headers = [
        ('X-Request-Id', call.request_id),
        ('X-Tenant', call.tenant),
        ('X-Deadline-Ms', str(kind.deadline_ms)),
    ]
    if call.key:
        headers.append(('Idempotency-Key', call.key))
    return headers


def _judge(kind, call, answer):
    call.code = answer.headers.get('x-snipelead-code', '')
    claimed = answer.headers.get('x-snipelead-ran')
    if answer.status == 200:
        whole = _is_own_answer(kind, call, answer)
        call.kind = AnswerKind.DONE if whole else AnswerKind.WRONG
        call.ran = Ran.YES
    else:
        call.ran = Ran(claimed) if claimed else Ran.UNKNOWN
        refused = call.ran is Ran.NO
        call.kind = AnswerKind.REFUSED if refused else AnswerKind.FAILED


def _is_own_answer(kind, call, answer):
    try:
        echo = msgspec.json.decode(answer.body, type=_EchoAnswer)
    except msgspec.DecodeError:
        return False
    return (
        echo.request_id == call.request_id
        and echo.received_bytes == kind.body_bytes
    )


def _close(connection):
    if connection is not None:
        connection.close()
