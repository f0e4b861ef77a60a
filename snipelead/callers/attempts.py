"""Selection of targets, sending of requests and retries."""

from contextlib import nullcontext

import trio

from snipelead.admission.early_refusal import EarlyRefusal
from snipelead.admission.standings import StandingTracker
from snipelead.callers.events import ATTEMPT_CHOSEN
from snipelead.callers.events import ATTEMPT_FAILED
from snipelead.callers.events import CALL_ANSWERED
from snipelead.callers.events import TARGET_RESTORED
from snipelead.callers.exceptions import CallError
from snipelead.callers.exceptions import NodeStoppingError
from snipelead.callers.exceptions import NoTargetError
from snipelead.callers.exceptions import OverloadedError
from snipelead.callers.exceptions import TargetBusyError
from snipelead.callers.exceptions import TargetCrashedError
from snipelead.callers.exceptions import TargetLeavingError
from snipelead.callers.exceptions import WrongIncarnationError
from snipelead.callers.relay import relay_response
from snipelead.callers.request_log import log_decision
from snipelead.callers.request_log import log_failure
from snipelead.http.exceptions import INCOMPLETE_MESSAGE_ERRORS
from snipelead.http.exceptions import SendFailedError
from snipelead.logs import log_event
from snipelead.quarantine.admission import adopt_crash
from snipelead.quarantine.admission import check_quarantine
from snipelead.quarantine.fingerprint import FINGERPRINT_BODY_BYTES
from snipelead.quarantine.ledger import CrashLedger
from snipelead.routing.split import TrafficSplitter
from snipelead.types import AttemptId
from snipelead.types import Ran
from snipelead.types import RequestClass

__all__ = ['AttemptRunner']

# Longest wait for the first targets of a newly subscribed service.
INITIAL_TARGETS_TIMEOUT_S = 1.0
# Retry tokens that batch requests leave to requests of other classes.
BATCH_RESERVED_TOKENS = 5.0
# A target returns one of these at most once before the balancer stops
# selecting it, so retries after them are bounded without a retry budget.
_UNBUDGETED_RETRY_ERRORS = (
    TargetLeavingError,
    NodeStoppingError,
    WrongIncarnationError,
)
# A target had no room for the request and did not execute it.
_REFUSALS = (OverloadedError, TargetBusyError)
# A request that was running when this many targets crashed is not sent to
# another one at once. One crash alone rarely tells which request caused it.
MAX_CRASHES_FOR_RETRY = 1
# Limit of attempts when targets reject a call, unless its route allows more.
MAX_REFUSED_ATTEMPTS = 3


class AttemptRunner:
    """Sends requests to targets and retries failed attempts.

    Parameters
    ----------
    node_id : NodeId
        Id of this node.
    directory : TargetDirectory
        Known targets.
    limiters : TargetLimiters
        Admission control of the targets local to this node.
    forwarder : Forwarder
        Forwards requests to the nodes of other targets.
    balancer : Balancer
        Load balancer that selects targets.
    ledger : CrashLedger or None
        Evidence on requests that crash targets.

    Attributes
    ----------
    subscribed_at : dict of ServiceName to float
        Time of the first subscription to each service, in seconds of trio's
        clock.
    attempt_count : int
        Number of attempts made; part of their ids.
    splits : TrafficSplitter
        Traffic splits of the routes.
    standings : StandingTracker
        Judges the standing of the requests.
    early_refusal : EarlyRefusal
        Refuses requests that no target is expected to answer in time.
    """

    def __init__(
        self, node_id, directory, limiters, forwarder, balancer, ledger=None
    ):
        self.ledger = CrashLedger() if ledger is None else ledger
        self.node_id = node_id
        self.directory = directory
        self.limiters = limiters
        self.forwarder = forwarder
        self.balancer = balancer
        self.subscribed_at = {}
        self.attempt_count = 0
        self.splits = TrafficSplitter()
        self.standings = StandingTracker(limiters)
        self.early_refusal = EarlyRefusal(balancer, limiters.limits.sheds_load)

    def make_attempt_id(self):
        """Return an attempt id that is unique across all nodes."""
        self.attempt_count += 1
        incarnation = self.limiters.local_targets.incarnation
        return AttemptId(
            f'{self.node_id}-{incarnation:x}-{self.attempt_count:x}'
        )

    async def run(self, connection, request, call, route):
        """Send a request and relay the response, with retries.

        Parameters
        ----------
        connection : Connection or Exchange
            Receives the response.
        request : Request
            Request to send.
        call : Call
            State of the call.
        route : Route
            Route that matched the request.

        Raises
        ------
        CallError
            If the last attempt failed.
        """
        self.standings.assess(call)
        service = self.splits.choose(route)
        if not self.directory.get_targets(service):
            await self._wait_for_targets(service)
        budget = self.balancer.get_retry_budget(route, service)
        budget.add_attempt()
        if self.ledger.records and not request.complete:
            await request.receive_body(FINGERPRINT_BODY_BYTES)
        request.save_body()
        tried = set()
        failure = None
        while True:
            request.rewind()
            check_quarantine(self.ledger, call, request)
            await self._check_admission(call)
            call.check_authorization()
            observation = self._choose_target(call, service, tried, failure)
            if failure is None or isinstance(failure, _REFUSALS):
                self.early_refusal.check(call, observation, tried)
            tried.add(observation.entry.target_id)
            try:
                if await self._attempt(
                    connection, request, call, budget, observation, tried
                ):
                    return
            except CallError as error:
                call.sent_attempts += (
                    error.reached_target or call.ran is not Ran.NO
                )
                retried = self._may_retry_error(
                    request, call, route, budget, error
                )
                log_failure(
                    ATTEMPT_FAILED,
                    call,
                    target=observation.entry.target_id,
                    code=error.code,
                    error=error.message,
                    ran=call.ran.value,
                    sends=call.sent_attempts,
                    retry_tokens=round(budget.tokens, 2),
                    retried=retried,
                )
                if not retried:
                    raise
                failure = error

    async def _check_admission(self, call):
        """Admit the call again if it is too late for its token."""
        admission = call.admission
        if admission is not None and not admission.is_valid(
            trio.current_time()
        ):
            call.admission = await admission.readmit()

    def _renew_admission(self, call):
        """Return whether a further attempt is within the rate limit.

        Each run of a request counts, so an attempt after one that may have
        run needs a token of its own.
        """
        if call.admission is None or call.outcome is Ran.NO:
            return True
        try:
            call.admission = call.admission.renew()
        except CallError:
            return False
        return True

    def _choose_target(self, call, service, tried, failure):
        try:
            return self.balancer.choose(
                service,
                tried,
                call.at_most_once,
                call.route,
                call.latency_remaining_s(),
            )
        except NoTargetError:
            if failure is None:
                raise
            raise failure from None

    def _may_retry_error(self, request, call, route, budget, error):
        """Return whether a failed request may be sent to another target."""
        crash_count = 0
        if isinstance(error, TargetCrashedError):
            crash_count = adopt_crash(self.ledger, call, request, error)
        allowed = (
            error.retry_on_other_target
            and not call.response_started
            and (call.ran is Ran.NO or not call.at_most_once)
            and request.is_replayable
            and call.sent_attempts < route.max_attempts
            and crash_count <= MAX_CRASHES_FOR_RETRY
        )
        if not allowed:
            return False
        if isinstance(error, _UNBUDGETED_RETRY_ERRORS):
            return self._renew_admission(call)
        if call.attempts >= max(MAX_REFUSED_ATTEMPTS, route.max_attempts):
            return False
        # A retry costs a token only if an attempt may have reached a target;
        # otherwise it adds no load to the service.
        return (
            not call.sent_attempts or self._spend_retry_token(call, budget)
        ) and self._renew_admission(call)

    def _spend_retry_token(self, call, budget):
        is_batch = call.request_class is RequestClass.BATCH
        return budget.try_take(BATCH_RESERVED_TOKENS if is_batch else 0.0)

    def _may_retry_response(
        self, response, request, call, budget, tried, service
    ):
        """Return whether to discard an error response and retry."""
        if not response.is_server_error or call.at_most_once:
            return False
        call.sent_attempts += 1
        return (
            request.is_replayable
            and call.sent_attempts < call.max_attempts
            and self.balancer.has_untried_target(service, tried)
            and self._spend_retry_token(call, budget)
            and self._renew_admission(call)
        )

    async def _attempt(
        self, connection, request, call, budget, observation, tried
    ):
        """Send a request to one target and relay its response.

        Returns
        -------
        bool
            False if the response was discarded in favour of a retry.
        """
        started_at = trio.current_time()
        call.begin_attempt()
        if call.is_sampled:
            log_decision(
                ATTEMPT_CHOSEN, call, **observation.describe(started_at)
            )
        versions = self.balancer.versions
        with (
            observation.begin_request(started_at) as target_request,
            versions.begin(observation.entry, call.route)
            or nullcontext() as version_attempt,
        ):
            try:
                response = await self._send(observation.entry, call, request)
                try:
                    self._record_response(
                        target_request, call, response, started_at
                    )
                    if version_attempt is not None:
                        version_attempt.record_response(
                            trio.current_time() - started_at,
                            response.response.is_server_error,
                        )
                    if self._may_retry_response(
                        response.response,
                        request,
                        call,
                        budget,
                        tried,
                        observation.entry.service,
                    ):
                        return False
                    await relay_response(connection, request, call, response)
                finally:
                    response.close()
            except CallError as error:
                self.balancer.record_error(observation, error, target_request)
                self.early_refusal.record_error(call, observation, error)
                raise
            except INCOMPLETE_MESSAGE_ERRORS as error:
                if not isinstance(error, SendFailedError):
                    self.balancer.record_failure(
                        observation, trio.current_time(), target_request
                    )
                raise
            except trio.Cancelled:
                if not call.caller_disconnected:
                    self.balancer.record_timeout(target_request)
                    # A response that misses the deadline is a slow one.
                    if version_attempt is not None:
                        version_attempt.record_timeout(
                            trio.current_time() - started_at
                        )
                raise
        return True

    def _record_response(self, target_request, call, response, started_at):
        observation = target_request.observation
        now = trio.current_time()
        size = response.response.content_length
        if size is not None:
            self.balancer.record_response_size(call.route, size)
        is_error = response.response.is_server_error
        if is_error or call.is_sampled:
            log_failure(
                CALL_ANSWERED,
                call,
                target=observation.entry.target_id,
                status=response.response.status,
                after_ms=call.age_ms(),
            )
        load = response.load
        was_ejected = observation.ejection is not None
        observation.record_response(
            now - started_at, is_error, load, now, target_request
        )
        if was_ejected and observation.ejection is None:
            log_event(TARGET_RESTORED, target_id=observation.entry.target_id)
        if not is_error:
            self.balancer.record_service_time(observation, call.route, load)
        if load is not None:
            call.queue_wait_s = load.queue_us / 1e6
            call.target_time_s = load.target_us / 1e6

    async def _send(self, entry, call, request):
        attempt_id = self.make_attempt_id()
        if entry.node_id == self.node_id:
            limiter = self.limiters.find(entry.target_id)
            return await limiter.send(
                call, request, attempt_id, entry.incarnation
            )
        return await self.forwarder.send(entry, call, request, attempt_id)

    async def _wait_for_targets(self, service):
        """Subscribe to a service and wait for its first targets."""
        self.directory.subscribe(service)
        now = trio.current_time()
        subscribed_at = self.subscribed_at.setdefault(service, now)
        with trio.move_on_at(subscribed_at + INITIAL_TARGETS_TIMEOUT_S):
            while not self.directory.get_targets(service):
                await self.directory.wait_changed()
