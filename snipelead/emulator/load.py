"""Open-loop (Poisson arrivals) and closed-loop load generators for nodes."""

import random

import msgspec
from msgspec import Struct
import trio

from snipelead.base import Parametrized
from snipelead.emulator.client import ConnectionPool
from snipelead.emulator.exceptions import InvalidResponseError
from snipelead.emulator.recorder import CallOutcome
from snipelead.emulator.recorder import CallRecord
from snipelead.emulator.recorder import Recorder
from snipelead.types import Ran
from snipelead.utils.validation import Interval

__all__ = ['CallSpec', 'ClosedLoop', 'LoadGenerator', 'OpenLoop']

# Time after its deadline that a caller still waits for a response.
LATE_RESPONSE_MARGIN_S = 2.0
MAX_RATE_PER_S = 100_000


class CallSpec(Struct, frozen=True, kw_only=True):
    """One kind of call in a workload mix.

    Parameters
    ----------
    path, method : str
        Path and HTTP method of the request.
    tenant, request_class : str
        Group that the call is counted in; the tenant is sent in a header.
    weight : float
        Relative frequency in the mix.
    repeatable : bool
        Whether the route allows a request to run more than once.
    has_idempotency_key : bool
        Whether each call has its own idempotency key.
    deadline_ms : int
        Deadline sent with the request, in milliseconds.
    body_bytes : int
        Length of the request body.
    """

    path: str
    tenant: str
    request_class: str
    method: str = 'GET'
    weight: float = 1.0
    repeatable: bool = True
    has_idempotency_key: bool = False
    deadline_ms: int = 2_000
    body_bytes: int = 0


class _EchoBody(Struct):
    request_id: str = ''
    received_bytes: int = 0


class LoadGenerator(Parametrized):
    """Base class of load generators; sends calls and records outcomes.

    Parameters
    ----------
    addresses : sequence of Address
        Caller addresses of nodes. Each call uses a random one, and a second
        random one if the first refuses the connection.
    specs : sequence of CallSpec
        Workload mix.
    seed : int
        Seed of arrival times and random choices.
    request_id_prefix : str
        Prefix of request ids, unique among the load generators of a run.

    Attributes
    ----------
    recorder : Recorder
        Outcomes of the calls.
    """

    def __init__(self, addresses, specs, seed=0, request_id_prefix='r'):
        self.addresses = addresses
        self.specs = specs
        self.seed = seed
        self.request_id_prefix = request_id_prefix

    def _prepare(self):
        self.check_parameters()
        self.random = random.Random(self.seed)
        self.recorder = Recorder()
        self.sent = 0
        self.weights = [spec.weight for spec in self.specs]

    def _choose_call(self):
        [spec] = self.random.choices(self.specs, self.weights)
        return spec, self.random.choice(self.addresses)

    async def _send_call(self, pool, spec, address, intended_at):
        self.sent += 1
        request_id = f'{self.request_id_prefix}-{self.seed}-{self.sent}'
        call = CallRecord(
            request_id,
            spec.tenant,
            spec.request_class,
            f'key-{request_id}' if spec.has_idempotency_key else '',
            spec.repeatable,
        )
        timeout_s = spec.deadline_ms / 1_000 + LATE_RESPONSE_MARGIN_S
        call.outcome = CallOutcome.LATE
        with trio.move_on_after(timeout_s):
            await self._send_request(pool, spec, address, call)
        call.latency_s = trio.current_time() - intended_at
        self.recorder.add(call)

    async def _connect(self, pool, address):
        """Connect to a node, or to a random one if it refuses."""
        try:
            return await pool.acquire(address)
        except OSError:
            other_address = self.random.choice(self.addresses)
            return await pool.acquire(other_address)

    async def _send_request(self, pool, spec, address, call):
        connection = None
        try:
            connection = await self._connect(pool, address)
            response = await connection.request(
                spec.method,
                spec.path,
                _make_headers(spec, call),
                b'x' * spec.body_bytes,
            )
        except (OSError, trio.BrokenResourceError):
            # Without a connection nothing was sent.
            call.ran = Ran.NO if connection is None else Ran.UNKNOWN
            call.outcome = CallOutcome.CONNECTION_FAILED
            _close(connection)
        except InvalidResponseError:
            call.outcome = CallOutcome.CONNECTION_FAILED
            _close(connection)
        except trio.Cancelled:
            _close(connection)
            raise
        else:
            _record_response(spec, call, response)
            if response.keep_alive:
                pool.release(connection)
            else:
                connection.close()


class OpenLoop(LoadGenerator):
    """Open loop: calls arrive at a rate independent of earlier calls.

    Latency is measured from the intended arrival, so that queueing under
    overload is included.

    Parameters
    ----------
    rate_per_s : float
        Mean number of arrivals per second.
    duration_s : float
        Length of the period in which calls arrive, in seconds.
    """

    _parameter_constraints = {
        'rate_per_s': [Interval(float, 0.001, MAX_RATE_PER_S)],
        'duration_s': [Interval(float, 0.0)],
        'seed': [Interval(int, 0)],
    }

    def __init__(
        self,
        addresses,
        specs,
        rate_per_s,
        duration_s,
        seed=0,
        request_id_prefix='r',
    ):
        super().__init__(addresses, specs, seed, request_id_prefix)
        self.rate_per_s = rate_per_s
        self.duration_s = duration_s

    async def run(self):
        """Send all calls, wait for them to end and return the recorder."""
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
                        self._send_call, pool, *self._choose_call(), arrival
                    )
        return self.recorder


class ClosedLoop(LoadGenerator):
    """Closed loop: each caller sends its next call after the last response.

    Parameters
    ----------
    callers : int
        Number of callers, each with its own connection.
    calls : int
        Number of calls per caller.
    """

    _parameter_constraints = {
        'callers': [Interval(int, 1)],
        'calls': [Interval(int, 1)],
        'seed': [Interval(int, 0)],
    }

    def __init__(
        self, addresses, specs, callers, calls, seed=0, request_id_prefix='r'
    ):
        super().__init__(addresses, specs, seed, request_id_prefix)
        self.callers = callers
        self.calls = calls

    async def run(self):
        """Send all calls, wait for them to end and return the recorder."""
        self._prepare()
        async with trio.open_nursery() as nursery:
            for number in range(self.callers):
                address = self.addresses[number % len(self.addresses)]
                nursery.start_soon(self._run_caller, address)
        return self.recorder

    async def _run_caller(self, address):
        with ConnectionPool() as pool:
            for _ in range(self.calls):
                spec, _ = self._choose_call()
                await self._send_call(pool, spec, address, trio.current_time())


def _make_headers(spec, call):
    headers = [
        ('X-Request-Id', call.request_id),
        ('X-Tenant', call.tenant),
        ('X-Deadline-Ms', str(spec.deadline_ms)),
    ]
    if call.key:
        headers.append(('Idempotency-Key', call.key))
    return headers


def _record_response(spec, call, response):
    call.code = response.headers.get('x-snipelead-code', '')
    ran_header = response.headers.get('x-snipelead-ran')
    if response.status == 200:
        valid = _is_own_response(spec, call, response)
        call.outcome = CallOutcome.DONE if valid else CallOutcome.INVALID
        call.ran = Ran.YES
    else:
        call.ran = Ran(ran_header) if ran_header else Ran.UNKNOWN
        refused = call.ran is Ran.NO
        call.outcome = CallOutcome.REFUSED if refused else CallOutcome.FAILED


def _is_own_response(spec, call, response):
    try:
        echo = msgspec.json.decode(response.body, type=_EchoBody)
    except msgspec.DecodeError:
        return False
    return (
        echo.request_id == call.request_id
        and echo.received_bytes == spec.body_bytes
    )


def _close(connection):
    if connection is not None:
        connection.close()
