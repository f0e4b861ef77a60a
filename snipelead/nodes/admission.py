"""Admission of requests to one local target: its slots and queues."""

from math import inf
from random import Random

import trio

from snipelead.admission.events import TARGET_CAPACITY_RESTORED
from snipelead.admission.retry_after import choose_prompt_retry_s
from snipelead.admission.retry_after import choose_spread_retry_s
from snipelead.admission.route_shares import RouteShares
from snipelead.admission.target_capacity import TargetCapacity
from snipelead.callers.exceptions import OverloadedError
from snipelead.callers.exceptions import RateLimitedError
from snipelead.callers.exceptions import TargetLeavingError
from snipelead.exceptions import InvariantError
from snipelead.logs import log_event
from snipelead.nodes.fair_queue import FairQueue
from snipelead.nodes.fair_queue import Waiter
from snipelead.nodes.latency_queue import LatencyQueue
from snipelead.nodes.latency_queue import LatencyWaiter
from snipelead.nodes.latency_queue import SERVICE_TIME_MARGIN
from snipelead.nodes.latency_queue import UNORDERED_MARGIN
from snipelead.nodes.local_status import LocalTargetStatus
from snipelead.nodes.service_statistics import ServiceStatistics
from snipelead.targets.status import TargetStatuses
from snipelead.types import RequestClass

__all__ = ['TargetAdmission']

# Share of the slots that is reserved for requests other than batch.
NON_BATCH_SLOT_SHARE = 0.25
MIN_RETRY_AFTER_MS = 10


class TargetAdmission:
    """Slots of one local target and the requests that wait for them.

    Requests that find no free slot wait in one of two queues, depending on
    whether their route states a latency objective.

    Parameters
    ----------
    target_id : TargetId
        Target that the requests are sent to.
    local_targets : LocalTargets
        Local targets with their slots and states.
    limits : NodeLimits
        Limits of the queue.
    holder : ReleaseHolder or None
        Holds the release with the latency objectives of the routes.
    statuses : TargetStatuses or None
        Statuses that targets have stated.

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
    capacity : TargetCapacity
        Learns how many of its stated slots the target really has.
    route_shares : RouteShares
        Requests with a latency objective, and which were accepted.
    status : LocalTargetStatus
        What the target states about itself, with its rate limiter.
    statistics : ServiceStatistics
        Moving averages over the responses.
    """

    def __init__(
        self, target_id, local_targets, limits, holder=None, statuses=None
    ):
        self.target_id = target_id
        self.local_targets = local_targets
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
        self.route_shares = RouteShares()
        self.capacity = TargetCapacity()
        self.slot_start_sum_s = 0.0

    @property
    def slots(self):
        """Concurrent requests that the target accepts; 0 if it is gone."""
        target = self.local_targets.targets.get(self.target_id)
        if target is None:
            return 0
        if not self.limits.sheds_load:
            return target.entry.slots
        return self.capacity.limit(target.entry)

    @property
    def waiting(self):
        """Number of requests that wait for a slot."""
        return len(self.fair_queue) + len(self.latency_queue)

    def make_leaving_error(self):
        """Return the error for a target that takes no new requests."""
        return TargetLeavingError(f'{self.target_id} takes no new work')

    @property
    def margin(self):
        """Multiple of its mean service time that a request may need."""
        if self.limits.sheds_load:
            return SERVICE_TIME_MARGIN
        return UNORDERED_MARGIN

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

    def _update_capacity(self, now):
        for call in self.capacity.pop_held(now):
            self.release_slot(call)
        target = self.local_targets.targets.get(self.target_id)
        if target is None or not self.capacity.grow(target.entry.slots, now):
            return
        if not self.capacity.is_lowered:
            log_event(TARGET_CAPACITY_RESTORED, target_id=self.target_id)
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
            self._record_admission(call, True, now)
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
            self.route_shares.record_loss(call, trio.current_time())
            if self.status.is_leaving():
                raise self.make_leaving_error()
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
            call.standing,
            self.margin,
        )
        slots = max(1, self.slots)
        queue_wait_s = max(
            self.latency_queue.service_ahead_s(waiter, now) / slots,
            self.status.rate_limiter.wait_s(
                self.latency_queue.count_ahead(waiter, now), now
            ),
        )
        yields = (
            self.limits.sheds_load
            and self.in_flight >= slots
            and self.route_shares.must_yield(call, now)
        )
        may_wait = not yields and waiter.may_wait(
            queue_wait_s, self.statistics.mean_service_s / slots, now
        )
        self._record_admission(call, may_wait, now)
        if not may_wait:
            raise self.make_overloaded_error(call)
        self.latency_queue.push(waiter)
        self.start_queued()
        return waiter

    def _record_admission(self, call, accepted, now):
        if self.limits.sheds_load and call.latency_deadline is not None:
            self.route_shares.record(call, accepted, now)

    def estimate_call_service_s(self, call):
        """Return the expected service time of a call, in seconds."""
        latency_s = call.latency_deadline - trio.current_time()
        return self.statistics.service_times.estimate_s(call.route, latency_s)

    def tick(self, now):
        """Start waiting requests that may be sent; evict infeasible ones."""
        self._update_capacity(now)
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
        slack_s = min(call.latency_deadline, call.deadline) - now
        slack_s -= self.margin * self.estimate_call_service_s(call)
        random_share = self.random.random()
        if not self.limits.sheds_load:
            return choose_prompt_retry_s(drain_s, slack_s, random_share)
        return choose_spread_retry_s(
            drain_s, slack_s, call.deadline - now, random_share
        )

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
