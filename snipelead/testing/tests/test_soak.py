from unittest import mock

from testtools import TestCase
import trio

from snipelead.exceptions import InvariantError
from snipelead.testing.soak import FAULTS
from snipelead.testing.soak import run_seed
from snipelead.voters.election import Election
from snipelead.voters.exceptions import CorruptStorageError
from snipelead.voters.storage import Storage

SEEDS = (1, 2, 3, 4, 5, 6)
DURATION_S = 30
# A violated guarantee, or voters that did not recover in time.
VIOLATIONS = (InvariantError, trio.TooSlowError)
# The seed that detects a defect changes with each change of the code.
MAX_SEEDS = 40


class VoterSoakTest(TestCase):
    def test_fixed_seeds_have_no_violations(self):
        for seed in SEEDS:
            run = run_seed(seed, DURATION_S)
            self.assertTrue(run.checker.counts['accepted'] > 50)
            self.assertTrue(run.checker.counts['granted'] > 50)
            self.assertTrue(run.checker.counts['certified'] > 30)

    def test_same_seed_repeats_run(self):
        first = run_seed(1, 10)
        other = run_seed(1, 10)
        self.assertEqual(first.injected, other.injected)
        self.assertEqual(first.checker.counts, other.checker.counts)


class DefectDetectionTest(TestCase):
    """The soak test detects the removal of each safety mechanism."""

    def assert_detected(self, *other_errors, faults=FAULTS):
        for seed in range(1, 1 + MAX_SEEDS):
            try:
                run_seed(seed, DURATION_S, faults)
            except ExceptionGroup as group:
                detected, other = group.split((*VIOLATIONS, *other_errors))
                self.assertIsNotNone(detected, other)
                return
        self.fail('no seed detected the defect')

    def test_acknowledgement_before_sync(self):
        original_append = Storage.append

        async def append_delayed(storage, entries):
            delayed_batches = storage.__dict__.setdefault(
                'delayed_batches', []
            )
            delayed_batches.append(entries)
            if len(delayed_batches) > 3:
                for batch in delayed_batches:
                    await original_append(storage, batch)
                delayed_batches.clear()

        # A voter that restarts without entries that it had published refuses
        # to start, before any guarantee is violated.
        with mock.patch.object(Storage, 'append', append_delayed):
            self.assert_detected(CorruptStorageError)

    def test_log_replaced_in_memory_only_after_a_crash(self):
        """A voter killed while it joined was unable to start again."""
        original_open = Storage.open
        original_start_new_log = Storage._start_new_log

        async def open_without_new_log(storage, *args):
            async def start_new_log(log):
                if storage.snapshot is None:
                    await original_start_new_log(storage, log)

            storage._start_new_log = start_new_log
            log = await original_open(storage, *args)
            del storage._start_new_log
            return log

        with mock.patch.object(Storage, 'open', open_without_new_log):
            self.assert_detected(faults=('kill_while_joining', 'kill_leader'))

    def test_vote_for_candidate_with_outdated_log(self):
        with mock.patch.object(
            Election, '_is_log_up_to_date', lambda self, request: True
        ):
            self.assert_detected()

    def test_member_id_kept_after_disk_loss(self):
        with mock.patch('secrets.token_hex', lambda count: 'same'):
            self.assert_detected()
