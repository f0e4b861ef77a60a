import signal

from testtools import TestCase

from snipelead.platform.__main__ import main
from snipelead.platform.__main__ import USAGE_STATUS


class MainTest(TestCase):
    def test_signal_of_changed_settings_does_not_end_a_start(self):
        before = signal.signal(signal.SIGHUP, signal.SIG_DFL)
        self.addCleanup(signal.signal, signal.SIGHUP, before)
        self.assertEqual(USAGE_STATUS, main([]))
        self.assertEqual(signal.SIG_IGN, signal.getsignal(signal.SIGHUP))
