from pathlib import Path

from cleo.testers.application_tester import ApplicationTester
from fixtures import EnvironmentVariable
from fixtures import MonkeyPatch
from fixtures import TempDir
import httpx
import msgspec
from testtools import TestCase

from snipelead.cli.application import make_application
from snipelead.cli.bench import BenchCommand
from snipelead.cli.command import CONTROLS_VARIABLE
from snipelead.cli.command import ExitCode
from snipelead.cli.command import get_exit_code
from snipelead.cli.command import SnipeleadCommand
from snipelead.cli.command import to_coded_error
from snipelead.controls.exceptions import NoQuorumError
from snipelead.controls.exceptions import OutcomeUnknownError
from snipelead.operators.app import make_operator_app
from snipelead.releases.document import EMPTY_RELEASE
from snipelead.testing.fakes import FailingSource
from snipelead.testing.fakes import FakeService
from snipelead.testing.fakes import make_node_status

NOTE = """
release: 1
note: n1
changes:
  - {action: add, service: {name: stock}}
"""


class ProgressingService(FakeService):
    """Control service that reports one more confirmed node at each call.

    Attributes
    ----------
    size : int
        Number of live nodes.
    confirmed : int
        Number of nodes that confirmed the current release.
    failures : list of SnipeleadError
        Raised by the next calls, one each.
    """

    def __init__(self, source, size):
        super().__init__()
        self.source = source
        self.size = size
        self.confirmed = 0
        self.failures = []

    async def collect_fleet_replies(self):
        if self.failures:
            raise self.failures.pop()
        nodes = [
            make_node_status(
                f'node-{i}',
                self.source.current.release_id
                if i < self.confirmed
                else EMPTY_RELEASE.release_id,
            )
            for i in range(self.size)
        ]
        self.confirmed += 1
        release = self.source.current.release_id
        self.current = release
        self.nodes = nodes
        return await super().collect_fleet_replies()


class CommandsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.directory = Path(self.useFixture(TempDir()).path)
        self.note = self.directory / 'note.yaml'
        self.note.write_text(NOTE)
        self.source = FailingSource()
        self.service = ProgressingService(self.source, 2)
        app = make_operator_app(self.service, self.source)
        self.useFixture(EnvironmentVariable(CONTROLS_VARIABLE, '127.0.0.1:1'))
        self.useFixture(
            MonkeyPatch(
                'snipelead.cli.command.SnipeleadCommand.transport',
                httpx.ASGITransport(app),
            )
        )
        self.tester = ApplicationTester(make_application())

    def run_command(self, arguments, expected_code):
        code = self.tester.execute(arguments)
        self.errors = self.tester.io.fetch_error()
        self.assertEqual(expected_code, code, self.errors)
        return self.tester.io.fetch_output()

    def read_json(self, arguments, expected_code=0):
        return msgspec.json.decode(self.run_command(arguments, expected_code))

    def test_submit_waits_until_in_force(self):
        report = self.read_json(f'release submit {self.note} --wait --json')
        self.assertEqual('accepted', report['answer']['outcome'])
        self.assertTrue(report['status']['in_force'])
        progress = self.errors
        self.assertIn('in force on 0 of 2 live nodes', progress)
        self.assertIn('in force on 1 of 2 live nodes', progress)

    def test_wait_continues_after_a_failed_read(self):
        # The client tries its only address twice.
        self.service.failures = [NoQuorumError('electing') for _ in '12']
        self.run_command(f'release submit {self.note} --wait', 0)
        self.assertIn('electing', self.errors)

    def test_submit_without_wait_prints_the_release(self):
        output = self.run_command(f'release submit {self.note}', 0)
        self.assertEqual('accepted: release 1\n', output)

    def test_wait_that_times_out_exits_3(self):
        self.service.size = 1_000
        self.run_command(
            f'release submit {self.note} --wait --timeout 0.001', 3
        )
        self.assertIn('SL4005', self.errors)

    def test_resent_note_has_the_same_outcome(self):
        first_report = self.read_json(f'release submit {self.note} --json')
        second_report = self.read_json(f'release submit {self.note} --json')
        self.assertEqual(first_report, second_report)

    def test_refused_note_exits_1(self):
        self.run_command(f'release submit {self.note}', 0)
        self.note.write_text(NOTE.replace('n1', 'other'))
        self.run_command(f'release submit {self.note}', 1)
        self.assertIn('SL7004', self.errors)

    def test_no_quorum_exits_1(self):
        self.source.failures = [NoQuorumError('alone') for _ in range(2)]
        self.run_command(f'release submit {self.note}', 1)
        self.assertIn('nothing took effect', self.errors)

    def test_unknown_outcome_exits_3(self):
        self.source.failures = [OutcomeUnknownError('lost') for _ in range(2)]
        self.run_command(f'release submit {self.note}', 3)
        self.assertIn(
            'unknown: read it back or resend the same note', self.errors
        )

    def test_invalid_note_is_refused_without_being_sent(self):
        self.note.write_text('release: one')
        error = self.read_json(f'release submit {self.note} --json', 1)
        self.assertEqual('SL7001', error['code'])
        self.assertEqual({}, self.source.notes)

    def test_usage_errors_exit_2(self):
        for arguments in (
            'nonsense',
            'release submit',
            'release submit /nonexistent.yaml',
            'release show one',
            'release list --limit 0',
            f'release submit {self.note} --timeout never',
            f'release submit {self.note} --control localhost:1',
            'fleet status --unknown',
            'control',
        ):
            self.run_command(arguments, 2)

    def test_control_address_is_required(self):
        self.useFixture(EnvironmentVariable(CONTROLS_VARIABLE))
        self.run_command('fleet status', 2)
        self.run_command('fleet status --control 127.0.0.1:1', 0)

    def test_show_prints_the_rollout_status(self):
        self.run_command(f'release submit {self.note}', 0)
        status = self.read_json('release show 1 --json')
        self.assertEqual('accepted', status['state'])
        self.assertEqual(2, len(status['lagging']))
        output = self.run_command('release show', 0)
        self.assertIn('release 1: accepted, in force on 1 of 2', output)
        self.assertIn('node node-1 in z1 lags', output)
        self.assertIn(
            'in force on all 2 nodes', self.run_command('release show 1', 0)
        )

    def test_show_of_unknown_release_exits_1(self):
        error = self.read_json('release show 9 --json', 1)
        self.assertEqual('SL4001', error['code'])

    def test_uncertified_read_exits_3(self):
        self.source.certification_succeeds = False
        self.service.certified = False
        self.assertFalse(self.read_json('release list --json', 3)['certified'])
        self.run_command('fleet status', 3)
        self.run_command('release show 9', 3)

    def test_show_before_the_first_release(self):
        output = self.run_command('release show', 0)
        self.assertIn('no release has been accepted yet', output)

    def test_list_prints_recent_notes(self):
        self.run_command(f'release submit {self.note}', 0)
        output = self.run_command('release list', 0)
        self.assertIn('release 1: note n1', output)
        self.note.write_text(NOTE.replace('n1', 'other'))
        self.run_command(f'release submit {self.note}', 1)
        output = self.run_command('release list --limit 1', 0)
        self.assertIn('refused: note other, SL7004', output)
        self.assertIn('2 notes are retained', output)

    def test_fleet_status_counts_nodes(self):
        status = self.read_json('fleet status --json')
        self.assertEqual(2, len(status['nodes']))
        output = self.run_command('fleet status', 0)
        self.assertIn('nodes: 2 live, 0 silent', output)
        self.assertIn('confirmed by 2 of 2 live nodes', output)
        self.assertEqual(2, status['total'])

    def test_validate_lists_required_entries(self):
        self.assertIn(
            'note n1: 1 valid changes',
            self.run_command(f'release validate {self.note}', 0),
        )
        self.note.write_text(
            'release: 2\nnote: n2\nchanges:\n'
            '  - {action: add, route: {name: r, service: stock}}\n'
            '  - {action: withdraw, setting: unit}\n'
        )
        checked = self.read_json(f'release validate {self.note} --json')
        self.assertEqual(
            ["service 'stock'", "setting 'unit'"], checked['needs']
        )

    def test_validate_refuses_contradictory_changes(self):
        self.note.write_text(
            'release: 2\nnote: n2\nchanges:\n'
            '  - {action: add, route: {name: r, service: stock}}\n'
            '  - {action: withdraw, service: stock}\n'
        )
        error = self.read_json(f'release validate {self.note} --json', 1)
        self.assertEqual('SL7002', error['code'])

    def test_help_has_examples(self):
        for command in make_application().all().values():
            if not isinstance(command, SnipeleadCommand):
                continue
            if isinstance(command, BenchCommand):
                continue
            self.assertIn('snipelead ' + command.name, command.help)

    def test_invalid_settings_exit_1_and_create_no_files(self):
        settings = self.directory / 'control.yaml'
        settings.write_text('kind: control\ncontrol-id: a\n')
        self.run_command(f'control --settings {settings}', 1)
        error = self.errors
        self.assertIn('SL5002', error)
        self.assertIn("did you mean 'control_id'", error)
        error = self.read_json(f'settings check {settings} --json', 1)
        self.assertEqual('control-id', error['details']['key'])
        self.assertEqual({self.note, settings}, set(self.directory.iterdir()))


class ToCodedErrorTest(TestCase):
    def test_coded_error_in_a_group_is_found(self):
        coded_error = NoQuorumError('alone')
        group = ExceptionGroup('g', [ExceptionGroup('h', [coded_error])])
        self.assertIs(coded_error, to_coded_error(group))

    def test_operating_system_error_is_coded(self):
        group = ExceptionGroup('g', [OSError('Address already in use')])
        coded_error = to_coded_error(group)
        self.assertEqual('SL5003: Address already in use', str(coded_error))

    def test_interruption_has_an_unknown_outcome(self):
        group = BaseExceptionGroup('g', [KeyboardInterrupt()])
        coded_error = to_coded_error(group)
        self.assertEqual('SL4011', coded_error.code)
        self.assertEqual(ExitCode.UNKNOWN, get_exit_code(coded_error))

    def test_other_exception_is_an_unforeseen_error(self):
        self.assertEqual('SL5004', to_coded_error(ZeroDivisionError()).code)
