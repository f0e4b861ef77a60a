from msgspec.structs import replace
from testtools import TestCase
import trio

from snipelead.targets.local import LocalTargets
from snipelead.targets.reports import ReportOutcome
from snipelead.targets.reports import TargetReport
from snipelead.targets.reports import TargetReports
from snipelead.types import TargetState

SERVING = TargetState.SERVING
LEAVING = TargetState.LEAVING
FIRST = TargetReport('i-1', 'stock', '10.0.0.1:80', 18, SERVING, 1_000, 1)


def make_report(**changes):
    return replace(FIRST, **changes)


class TargetReportsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.services = {'stock', 'contracts'}

    def run_reports(self, test, history_complete=True):
        async def main():
            local_targets = LocalTargets('n', 'z', '10.0.0.1:1')
            reports = TargetReports(
                local_targets, lambda s: s in self.services, history_complete
            )
            test(reports, local_targets)

        trio.run(main)

    def state_of(self, local_targets, target_id='i-1'):
        target = local_targets.targets.get(target_id)
        return None if target is None else target.entry.state

    def test_first_report_registers_the_target(self):
        def test(reports, local_targets):
            self.assertIs(ReportOutcome.ACCEPTED, reports.process(FIRST))
            self.assertIs(SERVING, self.state_of(local_targets))

        self.run_reports(test)

    def test_unchanged_report_is_not_announced_again(self):
        def test(reports, local_targets):
            reports.process(FIRST)
            sequence = local_targets.sequence
            reports.process(make_report(sequence=2))
            self.assertEqual(sequence, local_targets.sequence)

        self.run_reports(test)

    def test_delayed_report_does_not_cancel_leaving(self):
        def test(reports, local_targets):
            reports.process(FIRST)
            reports.process(make_report(sequence=5, state=LEAVING))
            self.assertIs(
                ReportOutcome.STALE, reports.process(make_report(sequence=4))
            )
            self.assertIs(LEAVING, self.state_of(local_targets))

        self.run_reports(test)

    def test_leaving_is_final_within_a_generation(self):
        def test(reports, local_targets):
            reports.process(make_report(state=LEAVING))
            reports.process(make_report(sequence=9))
            self.assertIs(LEAVING, self.state_of(local_targets))

        self.run_reports(test)

    def test_later_generation_restarts_the_sequence(self):
        def test(reports, local_targets):
            reports.process(make_report(sequence=50, state=LEAVING))
            outcome = reports.process(
                make_report(started_ms=2_000, sequence=1)
            )
            self.assertIs(ReportOutcome.ACCEPTED, outcome)
            self.assertIs(SERVING, self.state_of(local_targets))

        self.run_reports(test)

    def test_report_of_a_previous_generation_is_rejected(self):
        def test(reports, local_targets):
            reports.process(make_report(target_id='i-2', started_ms=2_000))
            outcome = reports.process(make_report(sequence=70))
            self.assertIs(ReportOutcome.PREVIOUS_GENERATION, outcome)
            self.assertIsNone(self.state_of(local_targets))
            self.assertIs(SERVING, self.state_of(local_targets, 'i-2'))

        self.run_reports(test)

    def test_later_generation_replaces_the_target(self):
        def test(reports, local_targets):
            reports.process(FIRST)
            reports.process(make_report(target_id='i-2', started_ms=2_000))
            self.assertEqual(['i-2'], list(local_targets.targets))

        self.run_reports(test)

    def test_withdrawal_is_final_within_a_generation(self):
        def test(reports, local_targets):
            reports.process(FIRST)
            reports.withdraw('i-1')
            outcome = reports.process(make_report(sequence=2))
            self.assertIs(ReportOutcome.WITHDRAWN, outcome)
            self.assertIsNone(self.state_of(local_targets))
            reports.process(make_report(started_ms=2_000))
            self.assertIs(SERVING, self.state_of(local_targets))

        self.run_reports(test)

    def test_withdrawal_of_another_target_is_ignored(self):
        def test(reports, local_targets):
            reports.process(FIRST)
            reports.withdraw('i-9')
            self.assertIs(SERVING, self.state_of(local_targets))

        self.run_reports(test)

    def test_unknown_service_is_rejected(self):
        def test(reports, local_targets):
            outcome = reports.process(make_report(service='other'))
            self.assertIs(ReportOutcome.UNKNOWN_SERVICE, outcome)
            self.assertEqual({}, local_targets.targets)

        self.run_reports(test)

    def test_targets_of_a_stopping_node_stay_leaving(self):
        def test(reports, local_targets):
            reports.process(FIRST)
            reports.mark_leaving()
            reports.process(make_report(sequence=2))
            self.assertIs(LEAVING, self.state_of(local_targets))
            reports.process(make_report(target_id='i-2', started_ms=2_000))
            self.assertIs(LEAVING, self.state_of(local_targets, 'i-2'))

        self.run_reports(test)

    def test_expired_target_is_registered_by_its_next_report(self):
        def test(reports, local_targets):
            reports.process(FIRST)
            local_targets.change_state('i-1', TargetState.GONE)
            reports.process(make_report(sequence=2))
            self.assertIs(SERVING, self.state_of(local_targets))

        self.run_reports(test)

    def test_restarted_node_verifies_that_the_target_serves(self):
        def test(reports, local_targets):
            # The previous node process may have been told that it is leaving.
            reports.process(FIRST)
            self.assertIsNone(self.state_of(local_targets))
            reports.confirm_serving(FIRST)
            self.assertIs(SERVING, self.state_of(local_targets))

        self.run_reports(test, history_complete=False)

    def test_verification_does_not_cancel_leaving(self):
        def test(reports, local_targets):
            reports.process(make_report(sequence=7))
            reports.process(make_report(sequence=9, state=LEAVING))
            reports.confirm_serving(FIRST)
            self.assertIs(LEAVING, self.state_of(local_targets))

        self.run_reports(test, history_complete=False)

    def test_verification_does_not_cancel_withdrawal(self):
        def test(reports, local_targets):
            reports.process(FIRST)
            reports.withdraw('i-1')
            reports.confirm_serving(FIRST)
            self.assertIsNone(self.state_of(local_targets))

        self.run_reports(test, history_complete=False)

    def test_unverified_target_serves_after_further_reports(self):
        def test(reports, local_targets):
            for sequence in (1, 2):
                reports.process(make_report(sequence=sequence))
                self.assertIsNone(self.state_of(local_targets))
            reports.process(make_report(sequence=3))
            self.assertIs(SERVING, self.state_of(local_targets))

        self.run_reports(test, history_complete=False)

    def test_verification_applies_to_one_generation(self):
        def test(reports, local_targets):
            later = make_report(started_ms=2_000)
            reports.process(FIRST)
            reports.process(later)
            reports.confirm_serving(FIRST)
            self.assertIsNone(self.state_of(local_targets))
            reports.confirm_serving(later)
            self.assertIs(SERVING, self.state_of(local_targets))
            # All later reports are sent to this process.
            reports.process(make_report(target_id='i-2', started_ms=3_000))
            self.assertIs(SERVING, self.state_of(local_targets, 'i-2'))

        self.run_reports(test, history_complete=False)
