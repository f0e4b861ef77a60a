from msgspec.structs import replace
from testtools import TestCase
import trio
from trio.testing import MockClock

from snipelead.targets.heartbeats import HeartbeatOutcome
from snipelead.targets.heartbeats import HeartbeatTracker
from snipelead.targets.heartbeats import MAX_HEARTBEAT_DELAY_S
from snipelead.targets.heartbeats import MAX_WITHDRAWALS
from snipelead.targets.heartbeats import TargetHeartbeat
from snipelead.targets.local import LocalTargets
from snipelead.targets.status import TargetStatus
from snipelead.types import TargetState

SERVING = TargetState.SERVING
LEAVING = TargetState.LEAVING
FIRST = TargetHeartbeat('i-1', 'stock', '10.0.0.1:80', 18, SERVING, 1_000, 1)


def make_heartbeat(**changes):
    return replace(FIRST, **changes)


class HeartbeatTrackerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.services = {'stock', 'contracts'}

    def run_tracker(self, test, history_complete=True):
        async def main():
            local_targets = LocalTargets('n', 'z', '10.0.0.1:1')
            tracker = HeartbeatTracker(
                local_targets, lambda s: s in self.services, history_complete
            )
            test(tracker, local_targets)

        trio.run(main, clock=MockClock())

    def state_of(self, local_targets, target_id='i-1'):
        target = local_targets.targets.get(target_id)
        return None if target is None else target.entry.state

    def test_first_heartbeat_registers_the_target(self):
        def test(tracker, local_targets):
            self.assertIs(HeartbeatOutcome.ACCEPTED, tracker.process(FIRST))
            self.assertIs(SERVING, self.state_of(local_targets))

        self.run_tracker(test)

    def test_unchanged_heartbeat_is_not_announced_again(self):
        def test(tracker, local_targets):
            tracker.process(FIRST)
            sequence = local_targets.sequence
            tracker.process(make_heartbeat(sequence=2))
            self.assertEqual(sequence, local_targets.sequence)

        self.run_tracker(test)

    def test_target_that_stated_to_leave_stays_so_whatever_heartbeats_say(
        self,
    ):
        def test(tracker, local_targets):
            tracker.process(FIRST)
            statuses = tracker.statuses
            statuses.on_leaving = local_targets.mark_leaving
            leaving = TargetStatus(is_leaving=True)
            statuses.record('i-1', FIRST.started_ms, leaving, 0.0)
            self.assertIs(LEAVING, self.state_of(local_targets))
            sequence = local_targets.sequence
            tracker.process(make_heartbeat(sequence=2))
            tracker.process(make_heartbeat(sequence=3))
            self.assertIs(LEAVING, self.state_of(local_targets))
            self.assertEqual(sequence, local_targets.sequence)
            tracker.process(make_heartbeat(sequence=1, started_ms=2_000))
            self.assertIs(SERVING, self.state_of(local_targets))

        self.run_tracker(test)

    def test_target_that_stated_to_leave_is_not_verified_later(self):
        def test(tracker, local_targets):
            leaving = TargetStatus(is_leaving=True)
            tracker.statuses.record('i-1', FIRST.started_ms, leaving, 0.0)
            for sequence in range(1, 6):
                tracker.process(make_heartbeat(sequence=sequence))
                self.assertIsNot(SERVING, self.state_of(local_targets))

        self.run_tracker(test, history_complete=False)

    def test_delayed_heartbeat_does_not_cancel_leaving(self):
        def test(tracker, local_targets):
            tracker.process(FIRST)
            tracker.process(make_heartbeat(sequence=5, state=LEAVING))
            self.assertIs(
                HeartbeatOutcome.STALE,
                tracker.process(make_heartbeat(sequence=4)),
            )
            self.assertIs(LEAVING, self.state_of(local_targets))

        self.run_tracker(test)

    def test_leaving_is_final_within_an_incarnation(self):
        def test(tracker, local_targets):
            tracker.process(make_heartbeat(state=LEAVING))
            tracker.process(make_heartbeat(sequence=9))
            self.assertIs(LEAVING, self.state_of(local_targets))

        self.run_tracker(test)

    def test_later_incarnation_restarts_the_sequence(self):
        def test(tracker, local_targets):
            tracker.process(make_heartbeat(sequence=50, state=LEAVING))
            outcome = tracker.process(
                make_heartbeat(started_ms=2_000, sequence=1)
            )
            self.assertIs(HeartbeatOutcome.ACCEPTED, outcome)
            self.assertIs(SERVING, self.state_of(local_targets))

        self.run_tracker(test)

    def test_heartbeat_of_a_previous_incarnation_is_rejected(self):
        def test(tracker, local_targets):
            tracker.process(make_heartbeat(target_id='i-2', started_ms=2_000))
            outcome = tracker.process(make_heartbeat(sequence=70))
            self.assertIs(HeartbeatOutcome.PREVIOUS_INCARNATION, outcome)
            self.assertIsNone(self.state_of(local_targets))
            self.assertIs(SERVING, self.state_of(local_targets, 'i-2'))

        self.run_tracker(test)

    def test_later_incarnation_replaces_the_target(self):
        def test(tracker, local_targets):
            tracker.process(FIRST)
            tracker.process(make_heartbeat(target_id='i-2', started_ms=2_000))
            self.assertEqual(['i-2'], list(local_targets.targets))

        self.run_tracker(test)

    def test_withdrawal_is_final_within_an_incarnation(self):
        def test(tracker, local_targets):
            tracker.process(FIRST)
            tracker.withdraw('i-1')
            outcome = tracker.process(make_heartbeat(sequence=2))
            self.assertIs(HeartbeatOutcome.WITHDRAWN, outcome)
            self.assertIsNone(self.state_of(local_targets))
            later = make_heartbeat(started_ms=2_000)
            tracker.process(later)
            # It may be the incarnation that withdrew itself.
            self.assertIsNone(self.state_of(local_targets))
            tracker.confirm_serving(later)
            self.assertIs(SERVING, self.state_of(local_targets))

        self.run_tracker(test)

    def test_withdrawal_before_the_first_heartbeat_is_kept(self):
        """Guards against late heartbeats of a target that has gone."""

        def test(tracker, local_targets):
            tracker.withdraw('i-1')
            for sequence in range(1, 9):
                tracker.process(make_heartbeat(sequence=sequence))
                self.assertIsNone(self.state_of(local_targets))
            self.assertTrue(tracker.needs_check)

        self.run_tracker(test)

    def test_withdrawal_that_overtakes_a_new_incarnation_is_kept(self):
        def test(tracker, local_targets):
            tracker.process(FIRST)
            tracker.withdraw('i-1')
            for sequence in range(1, 9):
                later = make_heartbeat(started_ms=2_000, sequence=sequence)
                tracker.process(later)
                self.assertIsNone(self.state_of(local_targets))

        self.run_tracker(test)

    def test_withdrawal_during_a_health_check_is_kept(self):
        def test(tracker, local_targets):
            tracker.withdraw('i-1')
            tracker.process(FIRST)
            tracker.withdraw('i-1')
            self.assertFalse(tracker.needs_check)
            tracker.confirm_serving(FIRST)
            self.assertIsNone(self.state_of(local_targets))

        self.run_tracker(test)

    def test_other_targets_need_no_check_after_a_withdrawal(self):
        def test(tracker, local_targets):
            tracker.withdraw('i-9')
            tracker.process(FIRST)
            self.assertIs(SERVING, self.state_of(local_targets))

        self.run_tracker(test)

    def test_withdrawals_are_bounded_and_none_is_forgotten(self):
        def test(tracker, local_targets):
            tracker.withdraw('i-1')
            for index in range(5 * MAX_WITHDRAWALS):
                tracker.withdraw(f'i-other-{index}')
            self.assertEqual(MAX_WITHDRAWALS, len(tracker.withdrawals))
            tracker.process(FIRST)
            tracker.process(make_heartbeat(sequence=2))
            self.assertIsNone(self.state_of(local_targets))

        self.run_tracker(test)

    def test_heartbeats_of_a_target_in_use_clear_no_withdrawal(self):
        def test(tracker, local_targets):
            tracker.process(FIRST)
            for index in range(2 * MAX_WITHDRAWALS):
                tracker.withdraw(f'i-other-{index}')
            tracker.process(make_heartbeat(sequence=2))
            late = make_heartbeat(target_id='i-other-0', started_ms=2_000)
            tracker.process(late)
            self.assertIsNone(self.state_of(local_targets, 'i-other-0'))

        self.run_tracker(test)

    def test_leaving_that_a_newer_heartbeat_overtook_is_kept(self):
        """Guards against an announcement that is acknowledged and ignored."""

        def test(tracker, local_targets):
            tracker.process(make_heartbeat(sequence=3))
            outcome = tracker.process(
                make_heartbeat(sequence=2, state=LEAVING)
            )
            self.assertIs(HeartbeatOutcome.STALE, outcome)
            self.assertIs(LEAVING, self.state_of(local_targets))
            tracker.process(make_heartbeat(sequence=4))
            self.assertIs(LEAVING, self.state_of(local_targets))

        self.run_tracker(test)

    def test_withdrawal_of_another_target_is_ignored(self):
        def test(tracker, local_targets):
            tracker.process(FIRST)
            tracker.withdraw('i-9')
            self.assertIs(SERVING, self.state_of(local_targets))

        self.run_tracker(test)

    def test_unknown_service_is_rejected(self):
        def test(tracker, local_targets):
            outcome = tracker.process(make_heartbeat(service='other'))
            self.assertIs(HeartbeatOutcome.UNKNOWN_SERVICE, outcome)
            self.assertEqual({}, local_targets.targets)

        self.run_tracker(test)

    def test_targets_of_a_stopping_node_stay_leaving(self):
        def test(tracker, local_targets):
            tracker.process(FIRST)
            tracker.mark_leaving()
            tracker.process(make_heartbeat(sequence=2))
            self.assertIs(LEAVING, self.state_of(local_targets))
            tracker.process(make_heartbeat(target_id='i-2', started_ms=2_000))
            self.assertIs(LEAVING, self.state_of(local_targets, 'i-2'))

        self.run_tracker(test)

    def test_expired_target_is_registered_by_its_next_heartbeat(self):
        def test(tracker, local_targets):
            tracker.process(FIRST)
            local_targets.change_state('i-1', TargetState.GONE)
            tracker.process(make_heartbeat(sequence=2))
            self.assertIs(SERVING, self.state_of(local_targets))

        self.run_tracker(test)

    def test_restarted_node_verifies_that_the_target_serves(self):
        def test(tracker, local_targets):
            # The previous node process may have been told that it is leaving.
            tracker.process(FIRST)
            self.assertIsNone(self.state_of(local_targets))
            tracker.confirm_serving(FIRST)
            self.assertIs(SERVING, self.state_of(local_targets))

        self.run_tracker(test, history_complete=False)

    def test_verification_does_not_cancel_leaving(self):
        def test(tracker, local_targets):
            tracker.process(make_heartbeat(sequence=7))
            tracker.process(make_heartbeat(sequence=9, state=LEAVING))
            tracker.confirm_serving(FIRST)
            self.assertIs(LEAVING, self.state_of(local_targets))

        self.run_tracker(test, history_complete=False)

    def test_verification_does_not_cancel_withdrawal(self):
        def test(tracker, local_targets):
            tracker.process(FIRST)
            tracker.withdraw('i-1')
            tracker.confirm_serving(FIRST)
            self.assertIsNone(self.state_of(local_targets))

        self.run_tracker(test, history_complete=False)

    def test_heartbeats_verify_a_target_once_none_can_be_late(self):
        """Guards against use on the word of late heartbeats after a restart.

        Neither is a target out for ever if its health check is wrongly
        negative.
        """

        def test(tracker, local_targets):
            clock = trio.lowlevel.current_clock()
            for sequence in range(1, 6):
                tracker.process(make_heartbeat(sequence=sequence))
                self.assertIsNone(self.state_of(local_targets))
                clock.jump(MAX_HEARTBEAT_DELAY_S / 5)
            tracker.process(make_heartbeat(sequence=6))
            self.assertIs(SERVING, self.state_of(local_targets))

        self.run_tracker(test, history_complete=False)

    def test_withdrawn_target_is_verified_once_no_heartbeat_can_be_late(self):
        def test(tracker, local_targets):
            tracker.withdraw('i-1')
            tracker.process(FIRST)
            clock = trio.lowlevel.current_clock()
            clock.jump(MAX_HEARTBEAT_DELAY_S)
            tracker.process(make_heartbeat(sequence=2))
            self.assertIs(SERVING, self.state_of(local_targets))

        self.run_tracker(test)

    def test_verification_applies_to_one_incarnation(self):
        def test(tracker, local_targets):
            later = make_heartbeat(started_ms=2_000)
            tracker.process(FIRST)
            tracker.process(later)
            tracker.confirm_serving(FIRST)
            self.assertIsNone(self.state_of(local_targets))
            tracker.confirm_serving(later)
            self.assertIs(SERVING, self.state_of(local_targets))
            # All later heartbeats are sent to this process.
            tracker.process(make_heartbeat(target_id='i-2', started_ms=3_000))
            self.assertIs(SERVING, self.state_of(local_targets, 'i-2'))

        self.run_tracker(test, history_complete=False)
