"""From a caller's request to the answer of a target."""

from collections import deque

import trio

from snipelead.callers.call import Call
from snipelead.callers.call import MAX_DEADLINE_MS
from snipelead.callers.claims import MAX_KEY_CHARS
from snipelead.callers.exceptions import BadRequestError
from snipelead.callers.exceptions import CallError
from snipelead.callers.exceptions import NodeNotReadyError
from snipelead.callers.exceptions import NoRouteError
from snipelead.callers.exceptions import NoTargetError
from snipelead.callers.exceptions import StoppingError
from snipelead.callers.exceptions import TargetLeavingError
from snipelead.callers.exceptions import WrongIncarnationError
from snipelead.callers.execution import run_call
from snipelead.callers.execution import send_refusal
from snipelead.callers.relay import LOST_ERRORS
from snipelead.callers.relay import relay_answer
from snipelead.http.exceptions import SendFailedError
from snipelead.routing.table import RouteTable
from snipelead.types import AttemptId
from snipelead.types import Ran
from snipelead.types import RequestClass
from snipelead.types import TenantName

__all__ = ['Dispatcher']

# Bodies up to this size are received before an attempt, so that a slow
# sender holds no slot and the request can be sent again.
BUFFER_BYTES = 64 * 1024
MAX_ATTEMPTS = 3
# Time that the first answer of the directory about a service may take.
FIRST_DIRECTORY_S = 1.0
# Retry tokens that batch requests leave for the others.
BATCH_RESERVE = 5.0
DEFAULT_TENANT = TenantName('default')
MAX_TENANT_CHARS = 120
_FREE_RETRY = (TargetLeavingError, StoppingError, WrongIncarnationError)


class Dispatcher:
    """Handles the requests of callers.

    Parameters
    ----------
    node_id : NodeId
        This node.
    holder : ReleaseHolder
        Release that requests are routed by.
    directory : TargetDirectory
        Known targets.
    gates : Gates
        Gates of the targets beside this node.
    forwarder : Forwarder
        Connections to other nodes.
    balancer : Balancer
        Chooses targets.
    keeper : ClaimKeeper
        Claims idempotency keys.
    metrics : NodeMetrics
        Histograms.
    """

    def __init__(
        self,
        node_id,
        holder,
        directory,
        gates,
        forwarder,
        balancer,
        keeper,
        metrics,
    ):
        self.node_id = node_id
        self.holder = holder
        self.directory = directory
        self.gates = gates
        self.forwarder = forwarder
        self.balancer = balancer
        self.keeper = keeper
        self.metrics = metrics
        self.table = RouteTable(holder.current)
        self.asked_at = {}
        self.attempt_count = 0

    def make_attempt_id(self):
        """Return an id that no other attempt of any node has."""
        self.attempt_count += 1
        return AttemptId(
            f'{self.node_id}-{self.gates.local.incarnation:x}'
            f'-{self.attempt_count:x}'
        )

    async def handle(self, connection, request):
        """Answer one request of a caller."""
        try:
            route = self.match(request)
            call = self.make_call(request, route)
            request.check_size()
        except CallError as error:
            await send_refusal(connection, request, error, Ran.NO)
            return
        await run_call(connection, request, call, self._run, route)
        self.metrics.observe_call(call)

    def match(self, request):
        """Return the route of a request.

        Raises
        ------
        NodeNotReadyError, NoRouteError
            If there is none.
        """
        if not self.holder.ready:
            raise NodeNotReadyError('the node is still catching up')
        if self.table.release is not self.holder.current:
            self.table = RouteTable(self.holder.current)
        host = request.fields.get(b'host', b'').decode('latin-1')
        path = request.url.partition(b'?')[0].decode('latin-1')
        route = self.table.match(host, path, request.method.decode())
        if route is None:
            raise NoRouteError(f'no route matches {path}')
        return route

    def make_call(self, request, route):
        """Return the call of a request."""
        tenant = request.fields.get(b'x-tenant')
        if tenant is not None:
            tenant = TenantName(tenant.decode('latin-1')[:MAX_TENANT_CHARS])
        return Call(
            route.request_class,
            tenant or route.tenant or DEFAULT_TENANT,
            not route.repeatable,
            _read_deadline_ms(request, route),
        )

    async def _run(self, connection, request, call, route):
        if not request.complete and not _is_large(request):
            await request.buffer(BUFFER_BYTES)
        key = request.fields.get(b'idempotency-key')
        if key is not None and call.once:
            await self._run_keyed(connection, request, call, route, key)
        else:
            await self._run_attempts(connection, request, call, route)

    async def _run_keyed(self, connection, request, call, route, key):
        """Run a request whose caller may send it again."""
        if not 0 < len(key) <= MAX_KEY_CHARS:
            raise BadRequestError(
                f'Idempotency-Key must have 1 to {MAX_KEY_CHARS} characters,'
                f' got {len(key)}'
            )
        if not request.complete:
            await request.buffer(request.body_bytes)
        body = b''.join(request.chunks)
        claim = await self.keeper.take(
            route, key.decode('latin-1'), request, body, call
        )
        try:
            await self._run_attempts(connection, request, call, route)
        finally:
            self.keeper.settle_later(claim, call.outcome, call.status)

    async def _run_attempts(self, connection, request, call, route):
        """Try targets until one answers or no more may be tried."""
        if not self.directory.targets(route.service):
            await self._ask_directory(route.service)
        budget = self.balancer.budget(route)
        budget.earn()
        body = request.take_received() if request.complete else None
        tried = set()
        failure = None
        while True:
            try:
                observation = self.balancer.choose(route.service, tried)
            except NoTargetError:
                if failure is None:
                    raise
                raise failure from None
            if body is not None:
                request.chunks = deque((body,) if body else ())
            try:
                await self._attempt(connection, request, call, observation)
                return
            except CallError as error:
                failure = error
            if not self._may_retry(call, request, failure, body, budget):
                raise failure
            tried.add(observation.entry.target_id)

    def _may_retry(self, call, request, failure, body, budget):
        replayable = body is not None or request.body_size == 0
        allowed = (
            failure.elsewhere
            and replayable
            and not call.answering
            and (call.ran is Ran.NO or not call.once)
        )
        if not allowed:
            return False
        if isinstance(failure, _FREE_RETRY):
            return True
        if call.attempts >= MAX_ATTEMPTS:
            return False
        is_batch = call.request_class is RequestClass.BATCH
        return budget.spend(BATCH_RESERVE if is_batch else 0.0)

    async def _attempt(self, connection, request, call, observation):
        entry = observation.entry
        started_at = trio.current_time()
        call.begin_attempt()
        observation.begin(started_at)
        try:
            answer = await self._send(entry, call, request)
            observation.succeed(trio.current_time() - started_at)
            if answer.load is not None:
                observation.report(answer.load, trio.current_time())
                call.queue_wait_s = answer.load.queue_us / 1e6
                call.target_s = answer.load.target_us / 1e6
            try:
                await relay_answer(connection, request, call, answer)
            finally:
                answer.close()
        except CallError as error:
            self.balancer.record_error(observation, error)
            raise
        except LOST_ERRORS as error:
            if not isinstance(error, SendFailedError):
                observation.fail(trio.current_time())
            raise
        finally:
            observation.end()

    async def _send(self, entry, call, request):
        attempt_id = self.make_attempt_id()
        if entry.node_id == self.node_id:
            gate = self.gates.find(entry.target_id)
            return await gate.send(
                call, request, attempt_id, entry.incarnation
            )
        return await self.forwarder.send(entry, call, request, attempt_id)

    async def _ask_directory(self, service):
        """Subscribe to a service and wait briefly for its first targets."""
        self.directory.subscribe(service)
        now = trio.current_time()
        asked_at = self.asked_at.setdefault(service, now)
        with trio.move_on_at(asked_at + FIRST_DIRECTORY_S):
            while not self.directory.targets(service):
                await self.directory.wait_changed()


def _is_large(request):
    return (request.content_length or 0) > BUFFER_BYTES


def _read_deadline_ms(request, route):
    stated = request.fields.get(b'x-deadline-ms')
    if stated is None:
        return min(route.deadline_ms, MAX_DEADLINE_MS)
    if not stated.isdigit() or int(stated) == 0:
        raise BadRequestError(
            'X-Deadline-Ms must be a whole number of milliseconds above 0,'
            f' got {stated.decode("latin-1")!r}'
        )
    return min(int(stated), MAX_DEADLINE_MS)
