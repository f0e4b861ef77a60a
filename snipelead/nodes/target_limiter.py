"""Concurrency limiting of the requests to a local target."""

from math import inf
from random import Random

import trio

from snipelead.callers.events import CALL_ADMITTED
from snipelead.callers.events import CALL_NOT_ADMITTED
from snipelead.callers.exceptions import DuplicateAttemptError
from snipelead.callers.exceptions import MisdirectedRequestError
from snipelead.callers.exceptions import OverloadedError
from snipelead.callers.exceptions import RateLimitedError
from snipelead.callers.exceptions import ResponseLostError
from snipelead.callers.exceptions import TargetBusyError
from snipelead.callers.exceptions import TargetLeavingError
from snipelead.callers.exceptions import TargetUnreachableError
from snipelead.callers.exceptions import WrongIncarnationError
from snipelead.callers.request_log import log_decision
from snipelead.callers.request_log import log_failure
from snipelead.exceptions import InvariantError
from snipelead.nodes.attempts import AttemptState
from snipelead.nodes.fair_queue import FairQueue
from snipelead.nodes.fair_queue import Waiter
from snipelead.nodes.latency_queue import choose_retry_after_s
from snipelead.nodes.latency_queue import LatencyQueue
from snipelead.nodes.latency_queue import LatencyWaiter
from snipelead.nodes.latency_queue import SERVICE_TIME_MARGIN
from snipelead.nodes.local_response import LocalResponse
from snipelead.nodes.local_status import LocalTargetStatus
from snipelead.nodes.peer_messages import Load
from snipelead.nodes.service_statistics import ServiceStatistics
from snipelead.quarantine.admission import check_quarantine
from snipelead.quarantine.admission import make_crash_error
from snipelead.quarantine.detector import CrashDetector
from snipelead.quarantine.ledger import CrashLedger
from snipelead.targets.status import TargetStatuses
from snipelead.types import RequestClass

__all__ = ['TargetLimiter']

# Share of the slots that is reserved for requests other than batch.
NON_BATCH_SLOT_SHARE = 0.25
_ERROR_RATE_DIGITS = 3
MIN_RETRY_AFTER_MS = 10


class TargetLimiter:
    """Limits concurrent requests to one local target and sends them.

    Requests that find no free slot wait in one of two queues, depending on
    whether their route states a latency objective.

    Parameters
    ----------
    target_id : TargetId
        Target that the requests are sent to.
    local_targets : LocalTargets
        Local targets with their slots and states.
    sender : TargetSender
        Connections to local targets.
    attempts : AttemptTable
        Attempts that must not be admitted twice.
    limits : NodeLimits
        Limits of the queue.
    holder : ReleaseHolder or None
        Holds the release with the latency objectives of the routes.
    statuses : TargetStatuses or None
        Statuses that targets have stated.
    crash_detector : CrashDetector or None
        Notices when the target crashes.

    Attributes
    ----------
    in_flight, batch_in_flight : int
        Slots in use by all requests, and by batch requests.
    fair_queue : FairQueue
        Waiting requests without a latency objective.
    latency_queue : LatencyQueue
        Waiting requests with a latency objective.
    slot_start_sum_s : float
        Sum of the times at which the requests in flight took their slots.
    status : LocalTargetStatus
        What the target states about itself, with its rate limiter.
    statistics : ServiceStatistics
        Moving averages over the responses.
    """

    def __init__(
        self,
        target_id,
        local_targets,
        sender,
        attempts,
        limits,
        holder=None,
        statuses=None,
        crash_detector=None,
    ):
        self.crash_detector = crash_detector or CrashDetector(
            local_targets.node_id, local_targets, CrashLedger()
        )
        self.target_id = target_id
        self.local_targets = local_targets
        self.sender = sender
        self.attempts = attempts
        self.limits = limits
        self.status = LocalTargetStatus(
            target_id, local_targets, statuses or TargetStatuses()
        )
        self.statistics = ServiceStatistics(holder)
        self.in_flight = 0
        self.batch_in_flight = 0
        self.random = Random()
        self.fair_queue = FairQueue()
        self.latency_queue = LatencyQueue()
        self.slot_start_sum_s = 0.0

    @property
    def slots(self):
        """Concurrent requests that the target accepts; 0 if it is gone."""
        target = self.local_targets.targets.get(self.target_id)
        return target.entry.slots if target else 0

    @property
    def waiting(self):
        """Number of requests that wait for a slot."""
        return len(self.fair_queue) + len(self.latency_queue)

    async def send(self, call, request, attempt_id, incarnation):
        """Admit a request, send it and return its response.

        Parameters
        ----------
        call : Call
            Call that the request belongs to.
        request : Request
            Request to send.
        attempt_id : AttemptId
            Unique id of the attempt.
        incarnation : Incarnation
            Incarnation of this node that the attempt was sent to.

        Returns
        -------
        LocalResponse
            Must be closed; the slot is held until then.

        Raises
        ------
        CallError
            If the request was refused or its response was lost.
        """
        self.get_accepting_target(incarnation)
        self._check_quarantine(call, request)
        if call.at_most_once:
            self.begin_attempt(call, attempt_id)
        try:
            await self.admit(call)
        except OverloadedError as error:
            self.mark_attempt(call, attempt_id, AttemptState.REFUSED)
            log_failure(
                CALL_NOT_ADMITTED,
                call,
                retry_after_ms=error.retry_after_ms,
                **self.describe(call),
            )
            raise
        except BaseException:
            self.mark_attempt(call, attempt_id, AttemptState.REFUSED)
            raise
        if call.is_sampled:
            log_decision(CALL_ADMITTED, call, **self.describe(call))
        try:
            return await self.send_admitted(
                call, request, attempt_id, incarnation
            )
        except BaseException:
            self.release_slot(call)
            raise

    def describe(self, call):
        """Return the inputs of the admission decision, for the log."""
        return {
            'target': self.target_id,
            'in_flight': self.in_flight,
            'slots': self.slots,
            'waiting': self.waiting,
            'waited_ms': int(call.queue_wait_s * 1_000),
            'expected_ms': int(
                self.statistics.service_times.estimate_s(call.route) * 1_000
            ),
            'deadline_ms': call.remaining_ms(),
            **self.status.describe(),
        }

    def begin_attempt(self, call, attempt_id):
        """Record an attempt that must not be repeated.

        Raises
        ------
        AttemptFencedError, DuplicateAttemptError
            If the attempt was fenced or received before.
        """
        try:
            self.attempts.begin(attempt_id)
        except DuplicateAttemptError as error:
            # The first copy of the attempt may be running, so the default
            # value `no` could be wrong.
            call.ran = error.ran
            raise

    def mark_attempt(self, call, attempt_id, state):
        """Set the state of an attempt that must not be repeated.

        A fenced attempt stays fenced.
        """
        if not call.at_most_once:
            return
        if self.attempts.find(attempt_id) is not AttemptState.FENCED:
            self.attempts.set_state(attempt_id, state)

    def get_accepting_target(self, incarnation):
        """Return the target if it accepts new requests.

        Raises
        ------
        WrongIncarnationError
            If this node was restarted since the attempt was sent.
        TargetLeavingError
            If the target is leaving or gone.
        """
        if incarnation != self.local_targets.incarnation:
            raise WrongIncarnationError(
                'the node of the target was restarted',
                current=self.local_targets.incarnation,
            )
        target = self.local_targets.targets.get(self.target_id)
        if self.status.is_leaving():
            raise self._make_leaving_error()
        return target

    def _make_leaving_error(self):
        return TargetLeavingError(f'{self.target_id} takes no new work')

    async def send_admitted(self, call, request, attempt_id, incarnation):
        """Send an admitted request and wait for the response head."""
        try:
            # The target may have started leaving while the request waited.
            target = self.get_accepting_target(incarnation)
            address = target.target_address
            reader = await self.sender.acquire(address)
        except TargetUnreachableError as error:
            self.mark_attempt(call, attempt_id, AttemptState.REFUSED)
            if error.__cause__.is_refused:
                self.crash_detector.record_down(target)
            raise
        except BaseException:
            self.mark_attempt(call, attempt_id, AttemptState.REFUSED)
            raise
        try:
            # It may also have left while the connection was being opened.
            target = self.get_accepting_target(incarnation)
            call.check_deadline()
            self._check_quarantine(call, request)
        except BaseException:
            self.mark_attempt(call, attempt_id, AttemptState.REFUSED)
            reader.connection.close()
            raise
        try:
            if call.at_most_once:
                self.attempts.mark_sent(attempt_id)
            response = await self._send_tracked(reader, call, request, target)
        except TargetBusyError as error:
            self.sender.release(address, reader, error.response)
            self.mark_attempt(call, attempt_id, AttemptState.REFUSED)
            raise
        except MisdirectedRequestError:
            reader.connection.close()
            self.mark_attempt(call, attempt_id, AttemptState.REFUSED)
            raise
        except BaseException:
            reader.connection.close()
            raise
        self.mark_attempt(call, attempt_id, AttemptState.ANSWERED)
        return LocalResponse(self, call, address, reader, response)

    def _check_quarantine(self, call, request):
        # The node that received the request has checked it as well, with the
        # start of its body if that is still arriving here.
        ledger = self.crash_detector.ledger
        if ledger.records and request.complete:
            check_quarantine(ledger, call, request)

    async def _send_tracked(self, reader, call, request, target):
        """Send a request; find out whether the target crashes meanwhile."""
        detector = self.crash_detector
        with detector.track(self.target_id, call, request):
            try:
                response = await self.sender.send_request(
                    reader, call, request, target.entry
                )
            except ResponseLostError as error:
                lost_at = trio.current_time()
                reader.connection.close()
                crash = await detector.find_crash(
                    target, lost_at, self.status.is_leaving()
                )
                if crash is None:
                    raise
                raise make_crash_error(
                    detector.ledger, crash, call, request, error.ran
                ) from error
            detector.record_completion(call, request)
            return response

    # Slots

    def has_slot(self, request_class):
        """Return whether a slot is free for a request class."""
        slots = self.slots
        if self.in_flight >= slots:
            return False
        if request_class is not RequestClass.BATCH:
            return True
        return self.batch_in_flight < self.max_batch_slots(slots)

    def max_batch_slots(self, slots):
        """Return the number of slots that batch requests may use."""
        return max(1, slots - max(1, int(slots * NON_BATCH_SLOT_SHARE)))

    def acquire_slot(self, request_class):
        """Take a slot.

        Returns
        -------
        float
            Current time in seconds of trio's clock.

        Raises
        ------
        InvariantError
            If all slots are in use.
        """
        if self.in_flight >= self.slots:
            raise InvariantError(
                f'{self.target_id} would exceed its {self.slots} slots'
            )
        now = trio.current_time()
        self.in_flight += 1
        self.slot_start_sum_s += now
        self.batch_in_flight += request_class is RequestClass.BATCH
        return now

    def release_slot(self, call):
        """Release the slot of a call and start waiting requests."""
        self.in_flight -= 1
        self.slot_start_sum_s -= call.slot_acquired_at
        call.slot_acquired_at = 0.0
        self.batch_in_flight -= call.request_class is RequestClass.BATCH
        self.start_queued()

    def start_queued(self):
        """Give free slots to waiting requests."""
        now = trio.current_time()
        self.status.apply_rate_limit(now)
        while (
            self.latency_queue
            and self.in_flight < self.slots
            and self.status.rate_limiter.try_take(now)
        ):
            waiter = self.latency_queue.pop(now)
            waiter.grant(self.acquire_slot(waiter.request_class))
        while (
            self.fair_queue
            and self.in_flight < self.slots
            and self.status.rate_limiter.has_token(now)
        ):
            batch_allowed = self.has_slot(RequestClass.BATCH)
            waiter = self.fair_queue.pop(batch_allowed)
            if waiter is None:
                return
            self.status.rate_limiter.take(now)
            waiter.grant(self.acquire_slot(waiter.request_class))

    # Queues

    async def admit(self, call):
        """Take a slot for a call, waiting in a queue if none is free.

        Raises
        ------
        OverloadedError
            If the call got no slot in time. Raised without waiting if the
            expected wait is too long or the queue is full.
        """
        now = trio.current_time()
        self.status.apply_rate_limit(now)
        waiting = self.fair_queue or self.latency_queue
        if (
            not waiting
            and self.has_slot(call.request_class)
            and self.status.rate_limiter.try_take(now)
        ):
            call.slot_acquired_at = self.acquire_slot(call.request_class)
            return
        if call.latency_deadline is None:
            max_wait_s = self.limits.queue_wait_ms / 1_000
            waiter = self.enqueue(call)
        else:
            max_wait_s = inf
            waiter = self.enqueue_by_latency(call)
        wait_started_at = trio.current_time()
        try:
            with trio.move_on_after(max_wait_s):
                await waiter.done.wait()
        except trio.Cancelled:
            self.cancel_waiter(waiter, call)
            raise
        call.queue_wait_s += trio.current_time() - wait_started_at
        if not waiter.granted:
            self.remove_waiter(waiter)
            if self.status.is_leaving():
                raise self._make_leaving_error()
            raise self.make_overloaded_error(call)
        call.slot_acquired_at = waiter.granted_at

    def enqueue_by_latency(self, call):
        """Put a call with a latency objective into the latency queue.

        Raises
        ------
        OverloadedError
            If the call would start too late to be answered in time.
        """
        now = trio.current_time()
        waiter = LatencyWaiter(
            call.priority,
            self.estimate_call_service_s(call),
            call.latency_deadline,
            call.deadline,
            call.request_class,
        )
        slots = max(1, self.slots)
        queue_wait_s = max(
            self.latency_queue.service_ahead_s(waiter, now) / slots,
            self.status.rate_limiter.wait_s(
                self.latency_queue.count_ahead(waiter, now), now
            ),
        )
        if not waiter.may_wait(
            queue_wait_s, self.statistics.mean_service_s / slots, now
        ):
            raise self.make_overloaded_error(call)
        self.latency_queue.push(waiter)
        self.start_queued()
        return waiter

    def estimate_call_service_s(self, call):
        """Return the expected service time of a call, in seconds."""
        latency_s = call.latency_deadline - trio.current_time()
        return self.statistics.service_times.estimate_s(call.route, latency_s)

    def tick(self, now):
        """Start waiting requests that may be sent; evict infeasible ones."""
        if self.waiting and self.status.is_leaving():
            self._evict_all()
            return
        self.status.apply_rate_limit(now)
        is_limited = self.status.rate_limiter.rate is not None
        if is_limited:
            self.start_queued()
        infeasible = self.latency_queue.pop_infeasible(
            now,
            (lambda ahead: self.status.rate_limiter.wait_s(ahead, now))
            if is_limited
            else None,
        )
        for waiter in infeasible:
            waiter.evicted = True
            waiter.done.set()

    def _evict_all(self):
        waiters = self.latency_queue.pop_all()
        while (waiter := self.fair_queue.pop(batch_allowed=True)) is not None:
            waiters.append(waiter)
        for waiter in waiters:
            waiter.evicted = True
            waiter.done.set()

    def enqueue(self, call):
        """Put a call without a latency objective into the fair queue.

        Raises
        ------
        OverloadedError
            If the expected wait is too long, or the queue is full and no
            waiting request can be evicted.
        """
        self.check_queue_wait(call)
        capacity = max(1, int(self.slots * self.limits.queue_per_slot))
        if len(self.fair_queue) >= capacity and not self.fair_queue.evict_for(
            call.request_class, call.tenant
        ):
            raise self.make_overloaded_error(call)
        waiter = Waiter(call.request_class, call.tenant)
        self.fair_queue.push(waiter)
        self.start_queued()
        return waiter

    def check_queue_wait(self, call):
        """Check the expected wait against the limit and the deadline.

        Raises
        ------
        OverloadedError
            If it exceeds either.
        """
        wait_s = self.estimate_wait_s(call)
        time_left_s = call.remaining_ms() / 1_000
        max_wait_s = self.limits.queue_wait_ms / 1_000
        if (
            wait_s > max_wait_s
            or wait_s + self.statistics.mean_service_s > time_left_s
        ):
            raise self.make_overloaded_error(call)

    def estimate_wait_s(self, call):
        """Return the expected wait of a new request, in seconds."""
        ahead = self.fair_queue.count_ahead(call.request_class, call.tenant)
        return max(
            (ahead + 1) * self.statistics.mean_service_s / max(1, self.slots),
            self.status.rate_limiter.wait_s(ahead, trio.current_time()),
        )

    def make_overloaded_error(self, call):
        """Return the error for a refused call, with its retry delay."""
        wait_s = self.estimate_wait_s(call)
        if call.latency_deadline is not None:
            wait_s = self.choose_call_retry_s(call)
        retry_after_ms = max(MIN_RETRY_AFTER_MS, int(wait_s * 1_000))
        rate_limiter = self.status.rate_limiter
        if not rate_limiter.has_token(trio.current_time()):
            return RateLimitedError(
                f'{self.target_id} accepts {rate_limiter.rate:g} requests per'
                ' second',
                retry_after_ms=retry_after_ms,
                rate_limit=rate_limiter.rate,
            )
        return OverloadedError(
            f'{self.target_id} is at its limit of {self.slots} requests',
            retry_after_ms=retry_after_ms,
        )

    def choose_call_retry_s(self, call):
        """Return the retry delay of a call with a latency objective."""
        now = trio.current_time()
        service_s = (
            self.latency_queue.total_service_s + self.statistics.mean_service_s
        )
        drain_s = max(
            service_s / max(1, self.slots),
            self.status.rate_limiter.wait_s(len(self.latency_queue), now),
        )
        slack_s = call.latency_deadline - now
        slack_s -= SERVICE_TIME_MARGIN * self.estimate_call_service_s(call)
        return choose_retry_after_s(drain_s, slack_s, self.random.random())

    def cancel_waiter(self, waiter, call):
        """Remove a cancelled call from its queue or release its slot."""
        if waiter.granted:
            call.slot_acquired_at = waiter.granted_at
            self.release_slot(call)
        else:
            self.remove_waiter(waiter)

    def remove_waiter(self, waiter):
        """Remove a request from its queue."""
        if isinstance(waiter, LatencyWaiter):
            self.latency_queue.remove(waiter)
        else:
            self.fair_queue.remove(waiter)

    def report_load(self, call):
        """Return the load of the target to report with a response."""
        return Load(
            self.in_flight,
            self.waiting,
            self.slots,
            int(call.queue_wait_s * 1e6),
            int(call.target_time_s * 1e6),
            round(self.statistics.error_rate, _ERROR_RATE_DIGITS),
            int(self.estimate_service_s() * 1e6)
            if self.statistics.has_observed_service
            else 0,
            int(
                self.statistics.service_times.reliable_mean_s(call.route) * 1e6
            ),
        )

    def estimate_service_s(self):
        """Return the estimated service time over all routes, in seconds.

        It is at least the mean age of the running requests, which reveals a
        slow target before the slow requests end.
        """
        if not self.in_flight:
            return self.statistics.mean_service_s
        mean_start_at = self.slot_start_sum_s / self.in_flight
        return max(
            self.statistics.mean_service_s, trio.current_time() - mean_start_at
        )

    def publish_relative_service_time(self, now):
        """Tell the other nodes if the target has become slower or faster."""
        value = self.statistics.relative_service_time.take_update(now)
        if value is not None:
            self.local_targets.set_relative_service_time(self.target_id, value)
