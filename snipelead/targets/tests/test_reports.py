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


def report(**changes):
    return replace(FIRST, **changes)


class TargetReportsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.services = {'stock', 'contracts'}

    def run_reports(self, test, knows_past=True):
        async def main():
            local = LocalTargets('n', 'z', '10.0.0.1:1')
            reports = TargetReports(
                local, lambda s: s in self.services, knows_past
            )
            test(reports, local)

        trio.run(main)

    def state_of(self, local, target_id='i-1'):
        target = local.targets.get(target_id)
        return None if target is None else target.entry.state

    def test_report_announces_the_target(self):
        def test(reports, local):
            self.assertIs(ReportOutcome.TAKEN, reports.take(FIRST))
            self.assertIs(SERVING, self.state_of(local))

        self.run_reports(test)

    def test_repeated_report_is_no_news(self):
        def test(reports, local):
            reports.take(FIRST)
            sequence = local.sequence
            reports.take(report(sequence=2))
            self.assertEqual(sequence, local.sequence)

        self.run_reports(test)

    def test_late_report_does_not_undo_leaving(self):
        def test(reports, local):
            reports.take(FIRST)
            reports.take(report(sequence=5, state=LEAVING))
            self.assertIs(
                ReportOutcome.STALE, reports.take(report(sequence=4))
            )
            self.assertIs(LEAVING, self.state_of(local))

        self.run_reports(test)

    def test_leaving_lasts_for_the_life(self):
        def test(reports, local):
            reports.take(report(state=LEAVING))
            reports.take(report(sequence=9))
            self.assertIs(LEAVING, self.state_of(local))

        self.run_reports(test)

    def test_later_life_with_the_same_id_counts_anew(self):
        def test(reports, local):
            reports.take(report(sequence=50, state=LEAVING))
            outcome = reports.take(report(started_ms=2_000, sequence=1))
            self.assertIs(ReportOutcome.TAKEN, outcome)
            self.assertIs(SERVING, self.state_of(local))

        self.run_reports(test)

    def test_report_of_a_former_life_changes_nothing(self):
        def test(reports, local):
            reports.take(report(target_id='i-2', started_ms=2_000))
            outcome = reports.take(report(sequence=70))
            self.assertIs(ReportOutcome.FORMER_LIFE, outcome)
            self.assertIsNone(self.state_of(local))
            self.assertIs(SERVING, self.state_of(local, 'i-2'))

        self.run_reports(test)

    def test_later_life_ends_the_former_target(self):
        def test(reports, local):
            reports.take(FIRST)
            reports.take(report(target_id='i-2', started_ms=2_000))
            self.assertEqual(['i-2'], list(local.targets))

        self.run_reports(test)

    def test_withdrawn_target_does_not_come_back_in_its_life(self):
        def test(reports, local):
            reports.take(FIRST)
            reports.withdraw('i-1')
            outcome = reports.take(report(sequence=2))
            self.assertIs(ReportOutcome.WITHDRAWN, outcome)
            self.assertIsNone(self.state_of(local))
            reports.take(report(started_ms=2_000))
            self.assertIs(SERVING, self.state_of(local))

        self.run_reports(test)

    def test_withdrawal_of_another_target_changes_nothing(self):
        def test(reports, local):
            reports.take(FIRST)
            reports.withdraw('i-9')
            self.assertIs(SERVING, self.state_of(local))

        self.run_reports(test)

    def test_unknown_service_is_not_taken(self):
        def test(reports, local):
            outcome = reports.take(report(service='other'))
            self.assertIs(ReportOutcome.UNKNOWN_SERVICE, outcome)
            self.assertEqual({}, local.targets)

        self.run_reports(test)

    def test_node_that_stops_keeps_its_target_out(self):
        def test(reports, local):
            reports.take(FIRST)
            reports.leave()
            reports.take(report(sequence=2))
            self.assertIs(LEAVING, self.state_of(local))
            reports.take(report(target_id='i-2', started_ms=2_000))
            self.assertIs(LEAVING, self.state_of(local, 'i-2'))

        self.run_reports(test)

    def test_expired_target_returns_with_its_next_report(self):
        def test(reports, local):
            reports.take(FIRST)
            local.change_state('i-1', TargetState.GONE)
            reports.take(report(sequence=2))
            self.assertIs(SERVING, self.state_of(local))

        self.run_reports(test)

    def test_restarted_node_wants_proof_that_a_target_serves(self):
        def test(reports, local):
            # It may have told the process before that it leaves.
            reports.take(FIRST)
            self.assertIsNone(self.state_of(local))
            reports.prove(FIRST)
            self.assertIs(SERVING, self.state_of(local))

        self.run_reports(test, knows_past=False)

    def test_late_report_after_a_restart_does_not_undo_leaving(self):
        def test(reports, local):
            reports.take(report(sequence=7))
            reports.take(report(sequence=9, state=LEAVING))
            reports.prove(FIRST)
            self.assertIs(LEAVING, self.state_of(local))

        self.run_reports(test, knows_past=False)

    def test_withdrawn_target_is_not_proved_to_serve(self):
        def test(reports, local):
            reports.take(FIRST)
            reports.withdraw('i-1')
            reports.prove(FIRST)
            self.assertIsNone(self.state_of(local))

        self.run_reports(test, knows_past=False)

    def test_target_that_cannot_be_asked_serves_after_some_reports(self):
        def test(reports, local):
            for sequence in (1, 2):
                reports.take(report(sequence=sequence))
                self.assertIsNone(self.state_of(local))
            reports.take(report(sequence=3))
            self.assertIs(SERVING, self.state_of(local))

        self.run_reports(test, knows_past=False)

    def test_proof_of_a_former_life_says_nothing_of_the_next(self):
        def test(reports, local):
            later = report(started_ms=2_000)
            reports.take(FIRST)
            reports.take(later)
            reports.prove(FIRST)
            self.assertIsNone(self.state_of(local))
            reports.prove(later)
            self.assertIs(SERVING, self.state_of(local))
            # From now on all reports come to this process.
            reports.take(report(target_id='i-2', started_ms=3_000))
            self.assertIs(SERVING, self.state_of(local, 'i-2'))

        self.run_reports(test, knows_past=False)
