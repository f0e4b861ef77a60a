import signal

from testtools import TestCase

from snipelead.platform.__main__ import main
from snipelead.platform.__main__ import USAGE_EXIT_STATUS


class MainTest(TestCase):
    def test_sighup_during_startup_is_ignored(self):
        before = signal.signal(signal.SIGHUP, signal.SIG_DFL)
        self.addCleanup(signal.signal, signal.SIGHUP, before)
        self.assertEqual(USAGE_EXIT_STATUS, main([]))
        self.assertEqual(signal.SIG_IGN, signal.getsignal(signal.SIGHUP))
