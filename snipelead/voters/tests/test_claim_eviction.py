from unittest import mock

from testtools import TestCase

from snipelead.messages import ClaimRequest
from snipelead.messages import SettleRequest
from snipelead.types import Ran
from snipelead.voters import claims
from snipelead.voters.messages import Claim
from snipelead.voters.messages import encode_command
from snipelead.voters.messages import Entry
from snipelead.voters.messages import Settle
from snipelead.voters.state import State


class ClaimEvictionTest(TestCase):
    """A full table must not evict an open claim.

    A claim that is granted after the previous one was settled and then
    returned is open, although the record of its key was settled before.
    """

    def setUp(self):
        super().setUp()
        self.state = State()
        self.log_time_ms = 1_000
        self.index = 0

    def apply(self, command):
        self.index += 1
        entry = Entry(self.index, 1, self.log_time_ms, encode_command(command))
        return self.state.apply(entry)

    def claim(self, claim_id, key='k'):
        return self.apply(Claim(ClaimRequest('route', key, claim_id, 'f')))

    def settle(self, claim_id, ran):
        self.apply(Settle(SettleRequest('route', 'k', claim_id, ran, 200)))

    def test_open_claim_after_a_settled_one_is_not_evicted(self):
        with mock.patch.object(claims, 'MAX_CLAIMS', 1):
            self.assertTrue(self.claim('c1').granted)
            self.settle('c1', Ran.UNKNOWN)
            self.settle('c1', Ran.NO)
            self.assertTrue(self.claim('c2').granted)
            self.log_time_ms += claims.FULL_TABLE_RETENTION_MS + 1
            # A claim of another key makes the full table evict records. Its
            # return leaves a record that can be evicted in turn.
            self.claim('other', 'k2')
            self.apply(
                Settle(SettleRequest('route', 'k2', 'other', Ran.NO, 200))
            )
            self.log_time_ms += claims.FULL_TABLE_RETENTION_MS + 1
            self.assertFalse(
                self.claim('c3').granted,
                'the key was granted to c3 while c2 is open',
            )
