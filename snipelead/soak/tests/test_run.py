from fixtures import TempDir
import pytest
from testtools import TestCase
import trio

from snipelead.soak.run import SoakRun

pytestmark = pytest.mark.processes

SECONDS = 12
SEED = 1


class SoakRunTest(TestCase):
    def test_seeded_run_keeps_all_promises(self):
        run = SoakRun(SEED, SECONDS, self.useFixture(TempDir()).path)
        trio.run(run.run)
        self.assertEqual([], run.ledger.broken)
        self.assertTrue(run.faults.done)
        self.assertTrue(run.ledger.counts['status 200'] > 500)
        self.assertTrue(run.ledger.counts['order 200'] > 5)
        self.assertTrue(run.ledger.counts['read'] > 20)
