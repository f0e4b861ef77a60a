from types import SimpleNamespace

from testtools import TestCase

from snipelead.callers.exceptions import QuarantinedError
from snipelead.callers.exceptions import TargetCrashedError
from snipelead.exceptions import error_from_info
from snipelead.exceptions import ErrorInfo
from snipelead.http.message import Message
from snipelead.messages import TargetCrash
from snipelead.quarantine.admission import adopt_crash
from snipelead.quarantine.admission import check_quarantine
from snipelead.quarantine.fingerprint import fingerprint_request
from snipelead.quarantine.ledger import CrashLedger

CRASH = {
    'crashes': '1',
    'target': 't1',
    'incarnation': '7',
    'node': 'n2',
    'time_ms': '1000',
}


class _Request(Message):
    def get_body_start(self, max_bytes):
        return b''


class CrashEvidenceTest(TestCase):
    """Evidence of another node that is malformed is none."""

    def setUp(self):
        super().setUp()
        self.ledger = CrashLedger()
        self.request = _Request(None)
        self.call = SimpleNamespace(tenant='')

    def adopt(self, details):
        info = ErrorInfo(TargetCrashedError.code, 'ended', None, details)
        error = error_from_info(info)
        return adopt_crash(self.ledger, self.call, self.request, error)

    def test_whole_evidence_is_recorded(self):
        self.assertEqual(1, self.adopt(CRASH))
        self.assertEqual(1, len(self.ledger.records))

    def test_malformed_evidence_is_not_recorded(self):
        """A number of over 64 bits ended the node with its next poll."""
        for name in CRASH:
            others = {n: v for n, v in CRASH.items() if n != name}
            self.assertEqual(0, self.adopt(others))
            if name in ('crashes', 'incarnation', 'time_ms'):
                for text in ('', 'x', '-1', str(2**64)):
                    self.assertEqual(0, self.adopt({**CRASH, name: text}))
        self.assertEqual({}, dict(self.ledger.records))

    def test_crash_beyond_the_range_of_dates_is_described(self):
        fingerprint = fingerprint_request(self.request, '')
        for number in range(3):
            crash = TargetCrash(f't{number}', number, 'n9', 2**63 - 1)
            self.ledger.record_crash(fingerprint, crash, '')
        error = self.assertRaises(
            QuarantinedError,
            check_quarantine,
            self.ledger,
            self.call,
            self.request,
        )
        self.assertIn('9999-12-31', error.message)
