"""Routing of caller requests and preparation of their calls."""

from math import inf

import trio

from snipelead.authentication.authenticator import Authenticator
from snipelead.authentication.exceptions import MissingApiKeyError
from snipelead.authentication.exceptions import UnexpectedApiKeyError
from snipelead.authentication.exceptions import UnknownApiKeyError
from snipelead.callers.call import Call
from snipelead.callers.claims import MAX_KEY_CHARS
from snipelead.callers.elapsed_time import ElapsedTimeEstimator
from snipelead.callers.events import CALL_REFUSED
from snipelead.callers.events import CALL_ROUTED
from snipelead.callers.exceptions import BadRequestError
from snipelead.callers.exceptions import CallError
from snipelead.callers.exceptions import NodeNotReadyError
from snipelead.callers.exceptions import NodeStoppingError
from snipelead.callers.exceptions import NoRouteError
from snipelead.callers.exceptions import StaleReleaseError
from snipelead.callers.execution import run_call
from snipelead.callers.execution import send_error_response
from snipelead.callers.protocol import DEFAULT_CALLER_PROTOCOL
from snipelead.callers.request_log import is_sampled
from snipelead.callers.request_log import log_decision
from snipelead.logs import log_event
from snipelead.releases.document import MAX_DEADLINE_MS
from snipelead.routing.table import RouteTable
from snipelead.types import Ran
from snipelead.types import TenantName

__all__ = ['Dispatcher']

# Bodies up to this size are received in full before the first attempt, so
# that a slow caller does not occupy a slot and the request can be retried.
MAX_BUFFERED_BODY_BYTES = 64 * 1024
# A starting node becomes ready within this time in three starts out of four:
# two polls of a control, plus an election if all processes start together.
NOT_READY_RETRY_AFTER_MS = 400
# A node that can reach the controls holds the newest release by then.
STALE_RELEASE_RETRY_AFTER_MS = 500
DEFAULT_TENANT = TenantName('default')
MS_PER_S = 1_000
# Errors that say what a release does not contain. They are true only of the
# newest release.
_ABSENCE_ERRORS = (
    NoRouteError,
    MissingApiKeyError,
    UnexpectedApiKeyError,
    UnknownApiKeyError,
)


class Dispatcher:
    """Handles the requests of callers.

    Parameters
    ----------
    holder : ReleaseHolder
        Holds the release whose routes are used.
    attempts : AttemptRunner
        Sends requests to targets.
    claim_manager : ClaimManager
        Claims idempotency keys.
    metrics : NodeMetrics
        Metrics of calls.
    protocol : CallerProtocol
        Interprets the header fields of requests.
    authenticator : Authenticator or None
        Identifies customers; None creates one.
    quotas : QuotaManager or None
        Enforces the rate limits of customers; None for no limits.
    proof : NewestReleaseProof or None
        Proves that the node holds the newest release; None if it always does.

    Attributes
    ----------
    table : RouteTable
        Routes of the release.
    elapsed_times : ElapsedTimeEstimator
        Estimates the time since the first attempt of a caller.
    last_request_at : float
        When the last request was read, in seconds of trio's clock.
    stop_deadline : float or None
        When this node will have stopped, in seconds of trio's clock; requests
        with a later deadline are refused. None unless it is stopping.
    """

    def __init__(
        self,
        holder,
        attempts,
        claim_manager,
        metrics,
        protocol=DEFAULT_CALLER_PROTOCOL,
        authenticator=None,
        quotas=None,
        proof=None,
    ):
        self.authenticator = authenticator or Authenticator(holder)
        self.proof = proof
        self.protocol = protocol
        self.quotas = quotas
        self.holder = holder
        self.attempts = attempts
        self.claim_manager = claim_manager
        self.metrics = metrics
        self.table = RouteTable(holder.current)
        self.elapsed_times = ElapsedTimeEstimator()
        self.last_request_at = -inf
        self.stop_deadline = None

    async def handle(self, connection, request):
        """Handle one request of a caller and send the response."""
        self.last_request_at = read_at = trio.current_time()
        try:
            route, options, customer = await self._identify(request)
            if trio.current_time() > read_at and connection.is_hung_up():
                # The caller has left while the release was proved.
                connection.abort()
                return
            call = self.make_call(route, options, customer, read_at)
            self._check_stop(call)
            request.check_body_size()
        except CallError as error:
            self.metrics.count_call(error.status, Ran.NO)
            log_event(
                CALL_REFUSED,
                request=_read_request_id(self.protocol, request),
                code=error.code,
                error=error.message,
                release=self.holder.current.number,
                ran=Ran.NO.value,
            )
            await send_error_response(connection, request, error, Ran.NO)
            return
        log_decision(
            CALL_ROUTED,
            call,
            release=self.table.release.number,
            deadline_ms=call.remaining_ms(),
            once=call.at_most_once,
        )
        try:
            await run_call(
                connection, request, call, self._admit, route, options.key
            )
        finally:
            self.metrics.observe_call(call)

    async def _identify(self, request):
        """Return route, options and customer of a request.

        The API key and the customer's name that the caller sent are removed
        from the request, whatever the release contains.

        Raises
        ------
        CallError
            If the request is refused.
        StaleReleaseError
            If a newer release than the one of this node may accept it.
        """
        options = self.protocol.read_options(request)
        key_count = self.protocol.remove_identity(request)
        if self.proof is not None:
            try:
                return self._apply_release(request, options, key_count, False)
            except _ABSENCE_ERRORS as error:
                if not await self.proof.obtain(_read_limit_s(options)):
                    raise StaleReleaseError(
                        'the release of the node may not be the newest one:'
                        f' {error.message}',
                        retry_after_ms=STALE_RELEASE_RETRY_AFTER_MS,
                    ) from None
        return self._apply_release(request, options, key_count, True)

    def _apply_release(self, request, options, key_count, is_newest):
        route = self.match_route(request)
        customer = self.authenticator.authenticate(
            route, options, key_count, is_newest
        )
        return route, options, customer

    def match_route(self, request):
        """Return the route that matches a request.

        Raises
        ------
        NodeNotReadyError
            If the node does not know yet which release to use.
        BadRequestError
            If the Host field is missing.
        NoRouteError
            If no route matches.
        """
        if not (self.holder.ready and self.holder.current.number):
            raise NodeNotReadyError(
                'the node is not ready: its current release is not known yet',
                retry_after_ms=NOT_READY_RETRY_AFTER_MS,
            )
        if self.table.release is not self.holder.current:
            self.table = RouteTable(self.holder.current)
        host = request.fields.get(b'host', b'').decode('latin-1')
        if not host and request.version != '1.0':
            raise BadRequestError('the Host header field is missing')
        path = request.url.partition(b'?')[0].decode('latin-1')
        route = self.table.match(host, path, request.method.decode())
        if route is None:
            raise NoRouteError(f'no route matches path {path}')
        return route

    def make_call(self, route, options, customer=None, read_at=None):
        """Return the call for a request.

        Parameters
        ----------
        route : Route
            Route of the request.
        options : CallerOptions
            Options from the header fields of the request.
        customer : Customer or None
            Customer of the request; None if none was identified.
        read_at : float or None
            When the request was read, in seconds of trio's clock; None for
            now.

        Returns
        -------
        Call
        """
        deadline_ms = options.deadline_ms or route.deadline_ms
        if route.timeout_ms:
            deadline_ms = min(deadline_ms, route.timeout_ms)
        call = Call(
            route.request_class,
            self._choose_tenant(route, options, customer),
            not route.repeatable,
            min(deadline_ms, MAX_DEADLINE_MS),
            read_at,
        )
        call.route = route.name
        call.request_id = options.request_id
        call.is_sampled = is_sampled(options.request_id)
        call.priority = route.priority
        call.authorization = self.authenticator.authorize(customer)
        if customer is not None and customer.priority is not None:
            call.priority = customer.priority
        call.max_attempts = route.max_attempts
        if route.target_latency_ms is not None:
            call.set_latency_deadline(
                route.target_latency_ms
                - self.elapsed_times.estimate_ms(route.name, deadline_ms)
                - call.age_ms()
            )
        return call

    def _choose_tenant(self, route, options, customer):
        if customer is not None:
            return customer.name
        named = None if self.authenticator.is_required else options.tenant
        return named or route.tenant or DEFAULT_TENANT

    def _check_stop(self, call):
        if self.stop_deadline is not None and (
            call.deadline > self.stop_deadline
        ):
            raise NodeStoppingError(
                'the node stops before the deadline of the request'
            )

    async def _admit(self, connection, request, call, route, key):
        """Run a call within the rate limit of its customer."""
        customer = self._find_customer(call)
        if self.quotas is None or not self.quotas.is_limited(customer):
            await self._run(connection, request, call, route, key)
            return
        call.admission = await self.quotas.admit(customer)
        try:
            await self._run(connection, request, call, route, key)
        finally:
            if call.outcome is Ran.NO:
                self.quotas.refund(call.admission)

    def _find_customer(self, call):
        """Return the customer whose rate limit a call counts towards."""
        if call.authorization is None and self.authenticator.is_required:
            # The default tenant of a public route may have the name of a
            # customer.
            return None
        return self.holder.current.customers.get(call.tenant)

    async def _run(self, connection, request, call, route, key):
        if not request.complete and not _exceeds_buffer(request):
            await request.receive_body(MAX_BUFFERED_BODY_BYTES)
        if key is not None and call.at_most_once:
            await self._run_with_claim(connection, request, call, route, key)
        else:
            await self.attempts.run(connection, request, call, route)

    async def _run_with_claim(self, connection, request, call, route, key):
        """Handle a request whose idempotency key must be claimed first."""
        if not 0 < len(key) <= MAX_KEY_CHARS:
            raise BadRequestError(
                f'Idempotency-Key must have 1 to {MAX_KEY_CHARS} characters,'
                f' got {len(key)}'
            )
        if not request.complete:
            await request.receive_body(request.max_body_bytes)
        body = b''.join(request.body_chunks)
        claim = await self.claim_manager.claim_key(
            route, key.decode('latin-1'), request, body, call
        )
        try:
            await self.attempts.run(connection, request, call, route)
        finally:
            self.claim_manager.settle_in_background(
                claim, call.outcome, call.status
            )


def _read_request_id(protocol, request):
    """Return the request id of a rejected request, or '' if unreadable."""
    try:
        return protocol.read_options(request).request_id
    except BadRequestError:
        return ''


def _read_limit_s(options):
    """Return the time that the caller leaves for its request, in seconds."""
    if options.deadline_ms is None:
        return inf
    return options.deadline_ms / MS_PER_S


def _exceeds_buffer(request):
    return (request.content_length or 0) > MAX_BUFFERED_BODY_BYTES
