from fixtures import TempDir
import pytest
from testtools import TestCase
import trio

from snipelead.soak.run import SoakRun

pytestmark = pytest.mark.processes

DURATION_S = 12
SEED = 1


class SoakRunTest(TestCase):
    def test_seeded_run_has_no_violations(self):
        run = SoakRun(SEED, DURATION_S, self.useFixture(TempDir()).path)
        trio.run(run.run)
        self.assertEqual([], run.checker.violations)
        self.assertTrue(run.fault_injector.injected)
        self.assertTrue(run.checker.counts['status 200'] > 500)
        self.assertTrue(run.checker.counts['submit 200'] > 5)
        self.assertTrue(run.checker.counts['read'] > 20)
        self.assertTrue(run.checker.counts['status 401'] > 20)
        self.assertTrue(run.checker.counts['status 429'] > 20)
        self.assertTrue(run.checker.counts['runs in a quota window'] > 20)
        self.assertTrue(run.checker.counts['wrong bytes'] > 200)
