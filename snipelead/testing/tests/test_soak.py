from unittest import mock

from testtools import TestCase
import trio

from snipelead.exceptions import InvariantError
from snipelead.testing.soak import run_seed
from snipelead.voters.election import Election
from snipelead.voters.exceptions import CorruptStorageError
from snipelead.voters.storage import Storage

SEEDS = (1, 2, 3, 4, 5, 6)
SECONDS = 30
# A promise that was broken, or voters that did not recover.
BROKEN = (InvariantError, trio.TooSlowError)
# Which seed finds a broken variant changes with each change of the code.
MAX_SEEDS = 40


class SoakTest(TestCase):
    def test_fixed_seeds_keep_all_promises(self):
        for seed in SEEDS:
            soak = run_seed(seed, SECONDS)
            self.assertTrue(soak.ledger.counts['accepted'] > 50)
            self.assertTrue(soak.ledger.counts['granted'] > 50)
            self.assertTrue(soak.ledger.counts['certified'] > 30)

    def test_same_seed_gives_the_same_run(self):
        one = run_seed(1, 10)
        other = run_seed(1, 10)
        self.assertEqual(one.faults, other.faults)
        self.assertEqual(one.ledger.counts, other.ledger.counts)


class BrokenVariantTest(TestCase):
    """The soak finds each mechanism that is left out."""

    def expect_found(self, *others):
        for seed in range(1, 1 + MAX_SEEDS):
            try:
                run_seed(seed, SECONDS)
            except ExceptionGroup as group:
                found, other = group.split((*BROKEN, *others))
                self.assertIsNotNone(found, other)
                return
        self.fail('the broken variant was not found')

    def test_acknowledgement_before_sync(self):
        sync = Storage.append

        async def append_late(storage, entries):
            held = storage.__dict__.setdefault('held', [])
            held.append(entries)
            if len(held) > 3:
                for batch in held:
                    await sync(storage, batch)
                held.clear()

        # A voter that comes back without entries that it had published
        # refuses to start, before any promise is broken.
        with mock.patch.object(Storage, 'append', append_late):
            self.expect_found(CorruptStorageError)

    def test_vote_for_a_candidate_with_an_old_log(self):
        with mock.patch.object(
            Election, '_is_new_enough', lambda self, request: True
        ):
            self.expect_found()

    def test_lost_disk_keeps_its_name(self):
        with mock.patch('secrets.token_hex', lambda count: 'same'):
            self.expect_found()
