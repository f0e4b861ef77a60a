"""Randomised runs of the attempt table and the queue, with fixed seeds."""

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
# Fewer ticks than the retention, so that nothing may be forgotten.
MAX_TICKS = 19
RUNS = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None
)
ATTEMPTS = sampled_from('abcd')


class AttemptRuns(RuleBasedStateMachine):
    """Requests arrive, double, wait, are sent and fenced in any order."""

    def __init__(self):
        super().__init__()
        self.table = AttemptTable(RETENTION_TICKS)
        # The generations change in the middle of a run.
        for _ in range(RETENTION_TICKS // 2):
            self.table.tick()
        self.admitted = []
        self.sent = []
        self.not_run = set()
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
            self.table.mark(attempt, AttemptState.ANSWERED)

    @rule(attempt=ATTEMPTS)
    def fence(self, attempt):
        if self.table.fence(attempt) is Ran.NO:
            self.not_run.add(attempt)

    @rule()
    def tick(self):
        if self.ticks < MAX_TICKS:
            self.ticks += 1
            self.table.tick()

    @invariant()
    def each_is_sent_at_most_once(self):
        assert len(self.sent) == len(set(self.sent))

    @invariant()
    def not_run_is_true_for_ever(self):
        assert not self.not_run & set(self.sent)


class QueueRuns(RuleBasedStateMachine):
    """Requests join, leave, are evicted and served in any order."""

    def __init__(self):
        super().__init__()
        self.queue = FairQueue()
        self.waiting = []

    @rule(
        request_class=sampled_from(RequestClass),
        tenant=sampled_from('xyz'),
    )
    def join(self, request_class, tenant):
        waiter = Waiter(request_class, tenant)
        self.queue.push(waiter)
        self.waiting.append(waiter)

    @rule(batch_allowed=booleans())
    def serve(self, batch_allowed):
        waiter = self.queue.pop(batch_allowed)
        if waiter is None:
            left = [w for w in self.waiting if not self.is_batch(w)]
            assert not left
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
    def make_room(self, request_class, tenant):
        waiter = self.queue.make_room(request_class, tenant)
        if waiter is not None:
            self.waiting.remove(waiter)
            assert waiter.tenant != tenant or self.is_batch(waiter)

    @rule(number=integers(0, 10))
    def give_up(self, number):
        if number < len(self.waiting):
            assert self.queue.remove(self.waiting.pop(number))

    @invariant()
    def none_is_lost(self):
        assert len(self.queue) == len(self.waiting)

    def is_batch(self, waiter):
        return waiter.request_class is RequestClass.BATCH


class RandomRunsTest(TestCase):
    def test_attempts(self):
        run_state_machine_as_test(AttemptRuns, settings=RUNS)

    def test_queue(self):
        run_state_machine_as_test(QueueRuns, settings=RUNS)
