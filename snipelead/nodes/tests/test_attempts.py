from testtools import ExpectedException
from testtools import TestCase

from snipelead.callers.exceptions import AttemptFencedError
from snipelead.callers.exceptions import DuplicateAttemptError
from snipelead.nodes.attempts import AttemptState
from snipelead.nodes.attempts import AttemptTable
from snipelead.types import Ran


class AttemptTableTest(TestCase):
    def setUp(self):
        super().setUp()
        self.table = AttemptTable(retention_ticks=10)

    def test_duplicate_attempt_is_refused(self):
        self.table.begin('a')
        with ExpectedException(DuplicateAttemptError):
            self.table.begin('a')

    def test_fence_before_the_attempt_arrives(self):
        self.assertIs(Ran.NO, self.table.fence('a'))
        with ExpectedException(AttemptFencedError):
            self.table.begin('a')

    def test_fence_while_the_attempt_waits(self):
        self.table.begin('a')
        self.assertIs(Ran.NO, self.table.fence('a'))
        with ExpectedException(AttemptFencedError):
            self.table.mark_sent('a')

    def test_fence_after_the_attempt_was_sent(self):
        self.table.begin('a')
        self.table.mark_sent('a')
        self.assertIs(Ran.UNKNOWN, self.table.fence('a'))
        self.table.set_state('a', AttemptState.ANSWERED)
        self.assertIs(Ran.YES, self.table.fence('a'))

    def test_attempts_are_kept_for_the_retention_period(self):
        for _ in range(7):
            self.table.tick()
        self.table.fence('a')
        for _ in range(10):
            self.table.tick()
        with ExpectedException(AttemptFencedError):
            self.table.begin('a')

    def test_old_attempts_are_forgotten(self):
        self.table.begin('a')
        for _ in range(20):
            self.table.tick()
        self.assertIsNone(self.table.find('a'))
