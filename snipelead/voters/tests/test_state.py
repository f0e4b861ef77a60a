from unittest import mock

from testtools import ExpectedException
from testtools import TestCase

from snipelead.controls.exceptions import OutcomeForgottenError
from snipelead.exceptions import InvariantError
from snipelead.messages import ClaimRequest
from snipelead.messages import SettleRequest
from snipelead.releases.delta import apply_delta
from snipelead.releases.delta import make_delta
from snipelead.releases.note import load_note
from snipelead.testing.cluster import make_note
from snipelead.types import OutcomeKind
from snipelead.types import Ran
from snipelead.voters import claims
from snipelead.voters.exceptions import ClaimsFullError
from snipelead.voters.messages import Claim
from snipelead.voters.messages import encode_command
from snipelead.voters.messages import Entry
from snipelead.voters.messages import Settle
from snipelead.voters.messages import Submit
from snipelead.voters.state import State


class StateCase(TestCase):
    def setUp(self):
        super().setUp()
        self.state = State()
        self.log_time_ms = 1_000
        self.index = 0

    def apply(self, command):
        self.index += 1
        entry = Entry(self.index, 1, self.log_time_ms, encode_command(command))
        return self.state.apply(entry)

    def submit(self, *args):
        return self.apply(Submit(make_note(*args)))

    def restart(self):
        self.state = State.decode(self.state.encode())


class NotesTest(StateCase):
    def test_resend_gets_the_first_outcome_even_after_a_restart(self):
        first = self.submit(1)
        self.submit(2)
        self.restart()
        self.assertEqual(first, self.submit(1))
        self.assertEqual(2, self.state.current.number)

    def test_resend_of_a_refused_note_gets_the_first_refusal(self):
        self.submit(1)
        clash = self.submit(2, 'late', 'service-1')
        self.assertEqual('SL7001', clash.code)
        # The number is taken by now; a new decision would refuse the note for
        # that reason instead.
        self.submit(2)
        self.restart()
        self.assertEqual(clash, self.submit(2, 'late', 'service-1'))

    def test_second_note_with_a_number_is_refused_and_told_the_first(self):
        self.submit(5, 'winner', 'x')
        self.restart()
        reply = self.submit(5, 'loser', 'y')
        self.assertEqual(OutcomeKind.REFUSED, reply.outcome)
        self.assertEqual('SL7003', reply.code)
        self.assertEqual('winner', reply.details['winner'])
        self.assertEqual('SL7004', self.submit(4, 'low', 'z').code)

    def test_note_id_reused_with_other_contents_is_refused(self):
        first = self.submit(1, 'n', 'x')
        self.assertEqual('SL1007', self.submit(2, 'n', 'y').code)
        self.assertEqual(first, self.submit(1, 'n', 'x'))

    def test_resend_that_spells_out_a_default_is_the_same_note(self):
        notes = [
            load_note(
                'release: 1\nnote: n\nchanges:\n'
                '  - {action: add, service: {name: s}}\n'
                f'  - {{action: add, route: {{name: r, service: s{more}}}}}\n'
            )
            for more in ('', ', deadline_ms: 2000')
        ]
        replies = [self.apply(Submit(note)) for note in notes]
        self.assertEqual(replies[0], replies[1])

    def test_number_of_kept_outcomes_is_bounded(self):
        with mock.patch('snipelead.voters.state.MAX_NOTE_OUTCOMES', 3):
            for number in range(1, 10):
                self.submit(number)
        self.assertEqual(3, len(self.state.note_outcomes))

    def test_resend_of_a_forgotten_note_is_not_refused(self):
        with mock.patch('snipelead.voters.state.MAX_NOTE_OUTCOMES', 3):
            for number in range(1, 10):
                self.submit(number, f'note-{number}')
            self.restart()
            # The note was accepted earlier, so a refusal would be wrong.
            result = self.submit(2, 'note-2')
            self.assertIsInstance(result, OutcomeForgottenError)
            self.assertEqual(9, self.state.current.number)
            # The note that created this release is still in the history.
            self.assertEqual('SL7003', self.submit(8, 'late').code)
            self.assertEqual(
                OutcomeKind.ACCEPTED, self.submit(10, 'new').outcome
            )

    def test_forgotten_refusal_does_not_block_later_releases(self):
        with mock.patch('snipelead.voters.state.MAX_NOTE_OUTCOMES', 2):
            self.submit(1, 'first', 'x')
            self.submit(900, 'refused', 'x')
            for number in range(2, 6):
                accepted = self.submit(number, f'note-{number}')
                self.assertEqual(OutcomeKind.ACCEPTED, accepted.outcome)

    def test_past_releases_can_serve_as_bases_of_deltas(self):
        held = [self.state.current]
        for number in range(1, 651):
            self.submit(number)
            held.append(self.state.current)
        self.restart()
        for old in (held[0], held[1], held[50], held[649]):
            base = self.state.history.find_by_digest(old.digest)
            self.assertEqual(old, base)
            delta = make_delta(base, self.state.current)
            self.assertEqual(held[-1].digest, apply_delta(base, delta).digest)
        self.assertIsNone(self.state.history.find_by_digest('unknown'))


class ClaimsTest(StateCase):
    def claim(self, claim_id, key='k', fingerprint='f'):
        return self.apply(
            Claim(ClaimRequest('route', key, claim_id, fingerprint))
        )

    def settle(self, claim_id, ran, key='k'):
        self.apply(Settle(SettleRequest('route', key, claim_id, ran, 200)))

    def test_only_the_first_claim_is_granted(self):
        self.assertTrue(self.claim('c1').granted)
        self.assertTrue(self.claim('c1').granted)
        self.assertFalse(self.claim('c2').granted)
        self.restart()
        self.assertFalse(self.claim('c2').granted)

    def test_claim_of_a_settled_key_gets_the_recorded_result(self):
        self.claim('c1')
        self.settle('c1', Ran.YES)
        reply = self.claim('c2')
        self.assertEqual((Ran.YES, 200), (reply.ran, reply.status))
        self.assertFalse(self.claim('c3', fingerprint='g').granted)
        self.assertTrue(self.claim('c3', fingerprint='g').mismatch)

    def test_returned_claim_allows_another_claim_of_the_key(self):
        self.claim('c1')
        self.settle('c1', Ran.NO)
        self.assertTrue(self.claim('c2').granted)

    def test_late_duplicate_of_a_returned_claim_is_not_granted(self):
        self.claim('c1')
        self.settle('c1', Ran.NO)
        self.restart()
        late = self.claim('c1')
        self.assertFalse(late.granted)
        self.assertEqual(Ran.NO, late.ran)
        self.assertTrue(self.claim('c2').granted)

    def test_claim_that_arrives_after_its_return_is_not_granted(self):
        self.settle('c1', Ran.NO)
        self.assertFalse(self.claim('c1').granted)
        self.assertTrue(self.claim('c2').granted)

    def test_return_by_another_claim_id_keeps_the_holder(self):
        self.claim('c1')
        self.settle('c2', Ran.NO)
        self.assertFalse(self.claim('c3').granted)

    def test_recorded_run_cannot_be_returned(self):
        self.claim('c1')
        self.settle('c1', Ran.YES)
        self.settle('c1', Ran.NO)
        self.assertEqual(Ran.YES, self.claim('c2').ran)

    def test_claims_expire_by_log_time(self):
        self.claim('c1')
        self.log_time_ms += claims.RETENTION_MS
        self.assertFalse(self.claim('c2').granted)
        self.log_time_ms += 1
        self.assertTrue(self.claim('c3').granted)

    def test_log_time_does_not_decrease(self):
        self.log_time_ms += claims.RETENTION_MS
        self.claim('c0', 'other')
        self.log_time_ms = 0
        self.claim('c1')
        self.log_time_ms = claims.RETENTION_MS
        self.assertFalse(self.claim('c2').granted)

    def test_retention_of_a_key_restarts_with_its_newest_grant(self):
        with mock.patch.object(claims, 'MAX_CLAIMS', 1):
            self.claim('c1')
            self.settle('c1', Ran.NO)
            self.log_time_ms += claims.FULL_TABLE_RETENTION_MS
            self.assertTrue(self.claim('c2').granted)
            self.settle('c2', Ran.YES)
            self.log_time_ms += 1
            self.assertIsInstance(self.claim('c3', 'k2'), ClaimsFullError)
            self.assertEqual(Ran.YES, self.claim('c4').ran)

    def test_full_table_refuses_new_claims_and_keeps_open_ones(self):
        with mock.patch.object(claims, 'MAX_CLAIMS', 2):
            self.claim('c1', 'k1')
            self.claim('c2', 'k2')
            self.assertIsInstance(self.claim('c3', 'k3'), ClaimsFullError)
            self.settle('c1', Ran.YES, 'k1')
            self.log_time_ms += claims.FULL_TABLE_RETENTION_MS + 1
            self.assertTrue(self.claim('c3', 'k3').granted)
            self.assertFalse(self.claim('c4', 'k2').granted)

    def test_second_grant_violates_an_invariant(self):
        self.claim('c1')
        record = self.state.claims.records['route', 'k']
        request = ClaimRequest('route', 'k', 'c2', 'f')
        with ExpectedException(InvariantError):
            self.state.claims._grant(('route', 'k'), record, request, 0)
