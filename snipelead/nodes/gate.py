"""Admission of requests to the target beside this node."""

from math import inf
from random import Random

import trio

from snipelead.callers.events import CALL_ADMITTED
from snipelead.callers.events import CALL_NOT_ADMITTED
from snipelead.callers.exceptions import AttemptSeenError
from snipelead.callers.exceptions import OverloadedError
from snipelead.callers.exceptions import TargetBusyError
from snipelead.callers.exceptions import TargetLeavingError
from snipelead.callers.exceptions import TargetMisplacedError
from snipelead.callers.exceptions import WrongIncarnationError
from snipelead.callers.request_log import log_decision
from snipelead.callers.request_log import log_failure
from snipelead.exceptions import InvariantError
from snipelead.nodes.admission import choose_return_s
from snipelead.nodes.admission import LatencyQueue
from snipelead.nodes.admission import TimedWaiter
from snipelead.nodes.admission import WORK_MARGIN
from snipelead.nodes.admission import WorkEstimates
from snipelead.nodes.attempts import AttemptState
from snipelead.nodes.fair_queue import FairQueue
from snipelead.nodes.fair_queue import Waiter
from snipelead.nodes.gate_answer import GateAnswer
from snipelead.nodes.peer_messages import Load
from snipelead.types import RequestClass
from snipelead.types import TargetState

__all__ = ['Gate']

# Share of the slots that batch requests never take.
RESERVED_SHARE = 0.25
# Weight of the newest service time in the moving average.
SMOOTHING = 0.1
INITIAL_SERVICE_S = 0.005
_ERROR_DIGITS = 3
MIN_RETRY_AFTER_MS = 10


class Gate:
    """Admits requests to one target and sends them.

    Parameters
    ----------
    target_id : TargetId
        The target.
    local : LocalTargets
        Registry that knows its limits and state.
    sender : TargetSender
        Connections to targets.
    attempts : AttemptTable
        Attempts that must not be admitted twice.
    limits : NodeLimits
        Limits of the queue.

    Attributes
    ----------
    in_flight : int
        Slots in use.
    queue : FairQueue
        Requests without a target latency that wait for a slot.
    timed : LatencyQueue
        Requests with a target latency that wait for a slot.
    work : WorkEstimates
        Time that the target needs for requests of each route.
    service_s : float
        Moving average of the target's service time in seconds.
    started_sum_s : float
        Sum of the times at which the requests in flight took their slots.
    is_observed : bool
        Whether ``service_s`` rests on an answer.
    errors : float
        Moving average of the share of answers with a server error.
    """

    def __init__(self, target_id, local, sender, attempts, limits):
        self.target_id = target_id
        self.local = local
        self.sender = sender
        self.attempts = attempts
        self.limits = limits
        self.in_flight = 0
        self.batch_in_flight = 0
        self.random = Random()
        self.queue = FairQueue()
        self.timed = LatencyQueue()
        self.work = WorkEstimates()
        self.service_s = INITIAL_SERVICE_S
        self.errors = 0.0
        self.is_observed = False
        self.started_sum_s = 0.0

    @property
    def slots(self):
        """Requests that the target runs at a time; 0 when it is gone."""
        target = self.local.targets.get(self.target_id)
        return target.entry.slots if target else 0

    async def send(self, call, request, attempt_id, incarnation):
        """Admit a request, send it and return its answer.

        Returns
        -------
        GateAnswer
            Must be closed; the slot is held until then.

        Raises
        ------
        CallError
            If the request was refused or its answer was lost.
        """
        self.check_target(incarnation)
        if call.once:
            self.begin(call, attempt_id)
        try:
            await self.admit(call)
        except OverloadedError as error:
            self.mark(call, attempt_id, AttemptState.REFUSED)
            log_failure(
                CALL_NOT_ADMITTED,
                call,
                retry_after_ms=error.retry_after_ms,
                **self.describe(call),
            )
            raise
        except BaseException:
            self.mark(call, attempt_id, AttemptState.REFUSED)
            raise
        if call.is_sampled:
            log_decision(CALL_ADMITTED, call, **self.describe(call))
        call.slot_at = trio.current_time()
        self.started_sum_s += call.slot_at
        try:
            return await self.exchange(call, request, attempt_id, incarnation)
        except BaseException:
            self.leave(call)
            raise

    def describe(self, call):
        """Return what admission rests on, for the log."""
        return {
            'target': self.target_id,
            'in_flight': self.in_flight,
            'slots': self.slots,
            'waiting': len(self.queue) + len(self.timed),
            'waited_ms': int(call.queue_wait_s * 1_000),
            'expected_ms': int(self.work.expect(call.route) * 1_000),
            'deadline_ms': call.remaining_ms(),
        }

    def begin(self, call, attempt_id):
        """Record an attempt that must not be repeated.

        Raises
        ------
        AttemptFencedError, AttemptSeenError
            If it may not be admitted.
        """
        try:
            self.attempts.begin(attempt_id)
        except AttemptSeenError as error:
            # The first copy of the attempt may run, so `no` would be untrue.
            call.ran = error.ran
            raise

    def mark(self, call, attempt_id, state):
        """Record the state of an attempt that must not be repeated."""
        if not call.once:
            return
        if self.attempts.find(attempt_id) is not AttemptState.FENCED:
            self.attempts.mark(attempt_id, state)

    def check_target(self, incarnation):
        """Return the target if it takes new work.

        Raises
        ------
        WrongIncarnationError, TargetLeavingError
            If it does not.
        """
        if incarnation != self.local.incarnation:
            raise WrongIncarnationError(
                'the node of the target was restarted',
                current=self.local.incarnation,
            )
        target = self.local.targets.get(self.target_id)
        if target is None or target.entry.state is TargetState.LEAVING:
            raise TargetLeavingError(f'{self.target_id} takes no new work')
        return target

    async def exchange(self, call, request, attempt_id, incarnation):
        """Send an admitted request and wait for the head of its answer."""
        try:
            # The target may have begun to leave while the request waited.
            address = self.check_target(incarnation).target_address
            reader = await self.sender.acquire(address)
            # Opening a connection takes time, in which it may have left.
            self.check_target(incarnation)
        except BaseException:
            self.mark(call, attempt_id, AttemptState.REFUSED)
            raise
        try:
            if call.once:
                self.attempts.mark_sent(attempt_id)
            response = await self.sender.exchange(
                reader, call, request, self.target_id
            )
        except TargetBusyError as error:
            self.sender.release(address, reader, error.response)
            self.mark(call, attempt_id, AttemptState.REFUSED)
            raise
        except TargetMisplacedError:
            reader.connection.close()
            self.mark(call, attempt_id, AttemptState.REFUSED)
            raise
        except BaseException:
            reader.connection.close()
            raise
        self.mark(call, attempt_id, AttemptState.ANSWERED)
        return GateAnswer(self, call, address, reader, response)

    # Slots

    def has_slot(self, request_class):
        """Tell whether a request of a class may start now."""
        slots = self.slots
        if self.in_flight >= slots:
            return False
        if request_class is not RequestClass.BATCH:
            return True
        return self.batch_in_flight < self.batch_slots(slots)

    def batch_slots(self, slots):
        """Return how many slots batch requests may take."""
        return max(1, slots - max(1, int(slots * RESERVED_SHARE)))

    def enter(self, request_class):
        """Take a slot."""
        if self.in_flight >= self.slots:
            raise InvariantError(
                f'{self.target_id} would run more than {self.slots} requests'
            )
        self.in_flight += 1
        self.batch_in_flight += request_class is RequestClass.BATCH

    def leave(self, call):
        """Give a slot back and start the next requests."""
        self.in_flight -= 1
        self.started_sum_s -= call.slot_at
        call.slot_at = 0.0
        self.batch_in_flight -= call.request_class is RequestClass.BATCH
        self.start_waiting()

    def start_waiting(self):
        """Give free slots to waiting requests."""
        now = trio.current_time()
        while self.timed and self.in_flight < self.slots:
            waiter = self.timed.pop(now)
            self.enter(RequestClass.INTERACTIVE)
            waiter.granted = True
            waiter.done.set()
        while self.queue and self.in_flight < self.slots:
            batch_allowed = self.has_slot(RequestClass.BATCH)
            waiter = self.queue.pop(batch_allowed)
            if waiter is None:
                return
            self.enter(waiter.request_class)
            waiter.granted = True
            waiter.done.set()

    # Queue

    async def admit(self, call):
        """Take a slot for a call, waiting briefly for one.

        Raises
        ------
        OverloadedError
            If no slot can be had in time; raised at once when that is
            foreseeable.
        TargetLeavingError
            If the target began to leave meanwhile.
        """
        waiting = self.queue or self.timed
        if not waiting and self.has_slot(call.request_class):
            self.enter(call.request_class)
            return
        if call.latency_at is None:
            limit_s = self.limits.queue_wait_ms / 1_000
            waiter = self.enqueue(call)
        else:
            limit_s = inf
            waiter = self.enqueue_timed(call)
        waited_from = trio.current_time()
        try:
            with trio.move_on_after(limit_s):
                await waiter.done.wait()
        except trio.Cancelled:
            self.give_up(waiter, call)
            raise
        call.queue_wait_s += trio.current_time() - waited_from
        if not waiter.granted:
            self.withdraw(waiter)
            raise self.overloaded(call)

    def enqueue_timed(self, call):
        """Put a call with a target latency into its queue, or refuse it.

        Raises
        ------
        OverloadedError
            If it would start too late for an answer in time.
        """
        now = trio.current_time()
        waiter = TimedWaiter(
            call.priority,
            self.expect_work(call),
            call.latency_at,
            call.deadline,
        )
        slots = max(1, self.slots)
        queue_s = self.timed.work_ahead_s(waiter, now) / slots
        if not waiter.may_wait(queue_s, self.service_s / slots, now):
            raise self.overloaded(call)
        self.timed.push(waiter)
        self.start_waiting()
        return waiter

    def expect_work(self, call):
        """Return the time that the target needs for a call, in seconds."""
        latency_s = call.latency_at - trio.current_time()
        return self.work.expect(call.route, latency_s)

    def tick(self, now):
        """Refuse waiting requests that cannot meet their deadline."""
        for waiter in self.timed.take_hopeless(now):
            waiter.evicted = True
            waiter.done.set()

    def enqueue(self, call):
        """Put a call into the queue, or refuse it at once."""
        self.check_wait(call)
        capacity = max(1, int(self.slots * self.limits.queue_per_slot))
        if len(self.queue) >= capacity and not self.queue.make_room(
            call.request_class, call.tenant
        ):
            raise self.overloaded(call)
        waiter = Waiter(call.request_class, call.tenant)
        self.queue.push(waiter)
        self.start_waiting()
        return waiter

    def check_wait(self, call):
        """Refuse a call whose wait would exceed its limits."""
        wait_s = self.estimate_wait_s(call)
        time_left_s = call.remaining_ms() / 1_000
        limit_s = self.limits.queue_wait_ms / 1_000
        if wait_s > limit_s or wait_s + self.service_s > time_left_s:
            raise self.overloaded(call)

    def estimate_wait_s(self, call):
        """Return how long a new request would wait, in seconds."""
        ahead = self.queue.ahead_of(call.request_class, call.tenant)
        return (ahead + 1) * self.service_s / max(1, self.slots)

    def overloaded(self, call):
        """Return the refusal of a call, with when to come back."""
        wait_s = self.estimate_wait_s(call)
        if call.latency_at is not None:
            wait_s = self.return_after_s(call)
        wait_ms = int(wait_s * 1_000)
        return OverloadedError(
            f'{self.target_id} is at its limit of {self.slots} requests',
            retry_after_ms=max(MIN_RETRY_AFTER_MS, wait_ms),
        )

    def return_after_s(self, call):
        """Return when a refused call should come back, in seconds."""
        room_s = (self.timed.work_s + self.service_s) / max(1, self.slots)
        spare_s = call.latency_at - trio.current_time()
        spare_s -= WORK_MARGIN * self.expect_work(call)
        return choose_return_s(room_s, spare_s, self.random.random())

    def give_up(self, waiter, call):
        """Withdraw a cancelled call from the queue."""
        if waiter.granted:
            self.leave(call)
        else:
            self.withdraw(waiter)

    def withdraw(self, waiter):
        """Take a request out of its queue."""
        if isinstance(waiter, TimedWaiter):
            self.timed.remove(waiter)
        else:
            self.queue.remove(waiter)

    def load(self, call):
        """Return the load of the target, to ride on the answer to a call."""
        return Load(
            self.in_flight,
            len(self.queue) + len(self.timed),
            self.slots,
            int(call.queue_wait_s * 1e6),
            int(call.target_s * 1e6),
            round(self.errors, _ERROR_DIGITS),
            int(self.estimate_service_s() * 1e6) if self.is_observed else 0,
            int(self.work.tell(call.route) * 1e6),
        )

    def estimate_service_s(self):
        """Return the time that the target takes for a request, in seconds.

        The mean age of what it runs tells of a slow target before the slow
        requests end.
        """
        if not self.in_flight:
            return self.service_s
        mean_start = self.started_sum_s / self.in_flight
        return max(self.service_s, trio.current_time() - mean_start)

    def observe(self, response, service_s, route):
        """Take an answer into the moving averages."""
        is_error = response.is_server_error
        self.errors += SMOOTHING * (is_error - self.errors)
        if is_error:
            # The time that an error takes says nothing of the others.
            return
        if not self.is_observed:
            self.is_observed = True
            self.service_s = service_s
        self.service_s += SMOOTHING * (service_s - self.service_s)
        self.work.observe(route, service_s)
