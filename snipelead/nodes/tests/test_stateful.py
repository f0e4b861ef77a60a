"""Stateful tests of the attempt table and the fair queue."""

from hypothesis import settings
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import run_state_machine_as_test
from hypothesis.strategies import booleans
from hypothesis.strategies import integers
from hypothesis.strategies import sampled_from
from testtools import TestCase

from snipelead.callers.exceptions import CallError
from snipelead.nodes.attempts import AttemptState
from snipelead.nodes.attempts import AttemptTable
from snipelead.nodes.fair_queue import FairQueue
from snipelead.nodes.fair_queue import Waiter
from snipelead.types import Ran
from snipelead.types import RequestClass

RETENTION_TICKS = 20
# Less than the retention, so that no attempt may be forgotten.
MAX_TICKS = 19
SETTINGS = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None
)
ATTEMPTS = sampled_from('abcd')


class AttemptMachine(RuleBasedStateMachine):
    """Attempts arrive, are duplicated, sent and fenced in any order."""

    def __init__(self):
        super().__init__()
        self.table = AttemptTable(RETENTION_TICKS)
        # The retention period changes in the middle of a run.
        for _ in range(RETENTION_TICKS // 2):
            self.table.tick()
        self.admitted = []
        self.sent = []
        self.reported_not_run = set()
        self.ticks = 0

    @rule(attempt=ATTEMPTS)
    def arrive(self, attempt):
        try:
            self.table.begin(attempt)
        except CallError:
            return
        self.admitted.append(attempt)

    @rule(attempt=ATTEMPTS)
    def send(self, attempt):
        if attempt not in self.admitted:
            return
        self.admitted.remove(attempt)
        try:
            self.table.mark_sent(attempt)
        except CallError:
            return
        self.sent.append(attempt)

    @rule(attempt=ATTEMPTS)
    def answer(self, attempt):
        if self.table.find(attempt) is AttemptState.SENT:
            self.table.set_state(attempt, AttemptState.ANSWERED)

    @rule(attempt=ATTEMPTS)
    def fence(self, attempt):
        if self.table.fence(attempt) is Ran.NO:
            self.reported_not_run.add(attempt)

    @rule()
    def tick(self):
        if self.ticks < MAX_TICKS:
            self.ticks += 1
            self.table.tick()

    @invariant()
    def each_is_sent_at_most_once(self):
        assert len(self.sent) == len(set(self.sent))

    @invariant()
    def attempt_reported_as_not_run_is_never_sent(self):
        assert not self.reported_not_run & set(self.sent)


class FairQueueMachine(RuleBasedStateMachine):
    """Requests are queued, cancelled, evicted and served in any order."""

    def __init__(self):
        super().__init__()
        self.queue = FairQueue()
        self.waiting = []

    @rule(
        request_class=sampled_from(RequestClass),
        tenant=sampled_from('xyz'),
    )
    def push(self, request_class, tenant):
        waiter = Waiter(request_class, tenant)
        self.queue.push(waiter)
        self.waiting.append(waiter)

    @rule(batch_allowed=booleans())
    def pop(self, batch_allowed):
        waiter = self.queue.pop(batch_allowed)
        if waiter is None:
            remaining = [w for w in self.waiting if not self.is_batch(w)]
            assert not remaining
            assert not batch_allowed or not self.waiting
            return
        self.waiting.remove(waiter)
        if self.is_batch(waiter):
            assert batch_allowed
            assert all(map(self.is_batch, self.waiting))

    @rule(
        request_class=sampled_from(RequestClass),
        tenant=sampled_from('xyz'),
    )
    def evict(self, request_class, tenant):
        waiter = self.queue.evict_for(request_class, tenant)
        if waiter is not None:
            self.waiting.remove(waiter)
            assert waiter.tenant != tenant or self.is_batch(waiter)

    @rule(number=integers(0, 10))
    def cancel(self, number):
        if number < len(self.waiting):
            assert self.queue.remove(self.waiting.pop(number))

    @invariant()
    def none_is_lost(self):
        assert len(self.queue) == len(self.waiting)

    def is_batch(self, waiter):
        return waiter.request_class is RequestClass.BATCH


class StatefulTest(TestCase):
    def test_attempts(self):
        run_state_machine_as_test(AttemptMachine, settings=SETTINGS)

    def test_queue(self):
        run_state_machine_as_test(FairQueueMachine, settings=SETTINGS)
