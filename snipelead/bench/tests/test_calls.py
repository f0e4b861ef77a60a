from testtools import ExpectedException
from testtools import TestCase
import trio
from trio.testing import MockClock

from snipelead.bench.calls import measure
from snipelead.bench.calls import OPTIONS
from snipelead.bench.calls import render
from snipelead.bench.calls import run
from snipelead.bench.cases import CASES
from snipelead.bench.deployments import DEPLOYMENTS
from snipelead.bench.policies import POLICIES
from snipelead.emulator.recorder import CallOutcome
from snipelead.exceptions import InvalidParameterError


def measure_case(name, seconds=0.4):
    return trio.run(
        measure,
        DEPLOYMENTS['feriasoft'],
        CASES[name],
        POLICIES['default'],
        seconds,
        1,
        clock=MockClock(autojump_threshold=0),
    )


class CallsTest(TestCase):
    def check_audit(self, result):
        audit = result.audit
        self.assertEqual(
            ([], [], [], []),
            (audit.duplicated, audit.lost, audit.misreported, audit.invalid),
        )

    def test_every_call_succeeds_under_even_load(self):
        result = measure_case('even')
        self.assertEqual(
            {CallOutcome.DONE},
            {call.outcome for call in result.recorder.calls},
        )
        self.check_audit(result)
        lines = render(result)
        self.assertIn('goodput', lines[1])
        self.assertEqual(2 + 3 * 2 + 1, len(lines))

    def test_overload_refusals_are_not_misreported(self):
        result = measure_case('greedy')
        outcomes = {call.outcome for call in result.recorder.calls}
        self.assertIn(CallOutcome.REFUSED, outcomes)
        self.check_audit(result)

    def test_killed_nodes_cause_no_duplicate_runs(self):
        self.check_audit(measure_case('herd', 0.8))

    def test_network_partition_causes_no_duplicate_runs(self):
        self.check_audit(measure_case('zone-cut', 0.8))

    def test_unknown_case_is_rejected(self):
        with ExpectedException(InvalidParameterError, ".*'even'.*"):
            run({'case': 'none'})

    def test_options_have_defaults_and_help_texts(self):
        for default, help_text in OPTIONS.values():
            self.assertTrue(default)
            self.assertTrue(help_text)
