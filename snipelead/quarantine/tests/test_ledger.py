from itertools import permutations
import random

from testtools import TestCase

from snipelead.messages import CrashRecord
from snipelead.messages import TargetCrash
from snipelead.quarantine.ledger import CrashLedger
from snipelead.quarantine.ledger import MAX_CRASHES_LISTED
from snipelead.quarantine.ledger import MAX_RECORDS
from snipelead.quarantine.ledger import merge_records
from snipelead.quarantine.ledger import Verdict

REQUEST = b'r' * 16


def make_crash(number, node='n1'):
    return TargetCrash(f't{number}', number, node, 1_700_000_000_000)


def make_ledger(crashes=0, completions=0):
    ledger = CrashLedger()
    for number in range(crashes):
        ledger.record_crash(REQUEST, make_crash(number), 'GET shop/x')
    for _ in range(completions):
        ledger.record_completion(REQUEST, 'n1')
    return ledger


class VerdictTest(TestCase):
    def check(self, verdict, crashes, completions=0):
        ledger = make_ledger(crashes, completions)
        self.assertIs(verdict, ledger.get_verdict(REQUEST))

    def test_unknown_request_is_clear(self):
        self.check(Verdict.CLEAR, 0)

    def test_quarantine_begins_with_the_third_crash(self):
        self.check(Verdict.SUSPECT, 1)
        self.check(Verdict.SUSPECT, 2)
        self.check(Verdict.QUARANTINED, 3)

    def test_request_that_crashes_every_other_time_is_quarantined(self):
        self.check(Verdict.QUARANTINED, 3, 3)

    def test_more_completions_than_crashes_clear_a_request(self):
        self.check(Verdict.CLEAR, 3, 4)

    def test_same_crash_counts_once(self):
        ledger = CrashLedger()
        for node in ('n1', 'n2', 'n3'):
            ledger.record_crash(REQUEST, make_crash(1, node), '')
        self.assertEqual(1, ledger.count_crashes(REQUEST))

    def test_popular_request_changes_its_record_a_bounded_number_of_times(
        self,
    ):
        # Each change is sent to all nodes.
        ledger = make_ledger(crashes=1)
        for number in range(1_000):
            ledger.record_completion(REQUEST, f'n{number % 50}')
        self.assertLessEqual(ledger.version, MAX_CRASHES_LISTED + 2)
        for number in range(1, 20):
            ledger.record_crash(REQUEST, make_crash(number), '')
            self.assertIs(Verdict.CLEAR, ledger.get_verdict(REQUEST))

    def test_lifted_request_needs_new_crashes(self):
        ledger = make_ledger(crashes=3)
        self.assertTrue(ledger.lift(REQUEST))
        self.assertIs(Verdict.CLEAR, ledger.get_verdict(REQUEST))
        # A process that has not heard of it tells the old evidence.
        ledger.merge(make_ledger(crashes=3).records.values())
        self.assertIs(Verdict.CLEAR, ledger.get_verdict(REQUEST))
        for number in range(3, 6):
            ledger.record_crash(REQUEST, make_crash(number), '')
        self.assertIs(Verdict.QUARANTINED, ledger.get_verdict(REQUEST))

    def test_nothing_is_lifted_of_an_unknown_request(self):
        self.assertFalse(CrashLedger().lift(REQUEST))


class MergeTest(TestCase):
    def test_order_of_merges_does_not_matter(self):
        rng = random.Random(1)
        records = [
            CrashRecord(
                REQUEST,
                rng.choice((0, 0, 0, 1)),
                tuple(sorted(make_crash(rng.randrange(20)) for _ in range(5))),
                ((f'n{rng.randrange(3)}', rng.randrange(1, 5)),),
                rng.choice(('GET shop/a', 'GET shop/b')),
            )
            for _ in range(5)
        ]
        merged = set()
        for order in permutations(records):
            ledger = CrashLedger()
            for record in order:
                ledger.merge((record, record))
            merged.add(ledger.records[REQUEST])
        self.assertEqual(1, len(merged))

    def test_repeated_merge_changes_nothing(self):
        ledger = make_ledger(crashes=2, completions=1)
        version = ledger.version
        self.assertFalse(ledger.merge(tuple(ledger.records.values())))
        self.assertEqual(version, ledger.version)

    def test_merge_keeps_the_higher_generation(self):
        old = CrashRecord(REQUEST, 0, (make_crash(1),))
        new = CrashRecord(REQUEST, 1)
        self.assertEqual(new, merge_records(old, new))
        self.assertEqual(new, merge_records(new, old))


class UpdateTest(TestCase):
    def test_update_holds_what_changed(self):
        ledger = make_ledger(crashes=1)
        known = ledger.version
        self.assertIsNone(ledger.update_since(ledger.epoch, known))
        ledger.record_crash(b'o' * 16, make_crash(9), '')
        update = ledger.update_since(ledger.epoch, known)
        self.assertEqual([b'o' * 16], [r.fingerprint for r in update.records])

    def test_receiver_of_another_epoch_gets_all_records(self):
        ledger = make_ledger(crashes=1)
        ledger.record_crash(b'o' * 16, make_crash(9), '')
        update = ledger.update_since('other', ledger.version + 5)
        self.assertEqual(2, len(update.records))

    def test_empty_ledger_has_no_update(self):
        self.assertIsNone(CrashLedger().update_since('', 0))


class BoundTest(TestCase):
    def test_suspects_do_not_evict_a_quarantine(self):
        # Otherwise a caller could end it by sending many different requests.
        ledger = make_ledger(crashes=3)
        for number in range(3 * MAX_RECORDS):
            ledger.record_crash(
                number.to_bytes(16, 'big'), make_crash(number), ''
            )
        self.assertEqual(MAX_RECORDS, len(ledger.records))
        self.assertIs(Verdict.QUARANTINED, ledger.get_verdict(REQUEST))
        self.assertEqual(ledger.records.keys(), ledger.verdicts.keys())
