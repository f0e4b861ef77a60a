from pathlib import Path

from cleo.testers.application_tester import ApplicationTester
from fixtures import EnvironmentVariable
from fixtures import MonkeyPatch
from fixtures import TempDir
import httpx
import msgspec
from testtools import TestCase

from snipelead.cli.application import make_application
from snipelead.cli.command import CONTROLS_VARIABLE
from snipelead.operators.app import make_operator_app
from snipelead.releases.note import load_note
from snipelead.testing.fakes import FailingSource
from snipelead.testing.fakes import FakeService

FIRST_NOTE = """
release: 1
note: first
changes:
  - {action: add, service: {name: stock}}
  - {action: add, route: {name: levels, service: stock}}
  - {action: add, setting: {name: callers.authenticate, value: true}}
  - {action: add, customer: {name: balts, api_keys: [SECRET-1, SECRET-2]}}
"""
NOTE = """
release: 2
note: second
changes:
  - action: change
    customer: {name: balts, api_keys: [SECRET-2, SECRET-3, SECRET-4]}
  - {action: change, route: {name: levels, service: stock, priority: 1}}
"""
CHANGED_KEYS = "~ customer 'balts': 2 API keys added; 1 API keys removed\n"


class UnreachableTransport(httpx.AsyncBaseTransport):
    """Transport to which no control responds."""

    async def handle_async_request(self, request):
        raise httpx.ConnectError('refused', request=request)


class ReleaseCheckTest(TestCase):
    def setUp(self):
        super().setUp()
        self.directory = Path(self.useFixture(TempDir()).path)
        self.first_note = self.write('first.yaml', FIRST_NOTE)
        self.note = self.write('note.yaml', NOTE)
        self.source = FailingSource()
        self.source.apply(load_note(FIRST_NOTE))
        app = make_operator_app(FakeService(), self.source)
        self.use_transport(httpx.ASGITransport(app))
        self.useFixture(EnvironmentVariable(CONTROLS_VARIABLE, '127.0.0.1:1'))
        self.tester = ApplicationTester(make_application())

    def write(self, name, text):
        path = self.directory / name
        path.write_text(text)
        return path

    def use_transport(self, transport):
        self.useFixture(
            MonkeyPatch(
                'snipelead.cli.command.SnipeleadCommand.transport', transport
            )
        )

    def check(self, arguments, expected_code=0):
        code = self.tester.execute(f'release check {arguments}')
        self.errors = self.tester.io.fetch_error()
        output = self.tester.io.fetch_output()
        self.assertEqual(expected_code, code, output + self.errors)
        self.assertNotIn('SECRET', output + self.errors)
        return output

    def test_differences_from_the_release_of_the_controls(self):
        output = self.check(self.note)
        self.assertIn('0 errors, 0 warnings', output)
        self.assertIn('2 entries differ from release 1', output)
        self.assertIn("~ route 'levels': priority: 0 -> 1\n", output)
        self.assertIn(CHANGED_KEYS, output)

    def test_against_files_gives_the_same_output(self):
        output = self.check(self.note)
        self.use_transport(UnreachableTransport())
        self.assertEqual(
            output, self.check(f'{self.note} --against {self.first_note}')
        )

    def test_json(self):
        report = msgspec.json.decode(self.check(f'{self.note} --json'))
        self.assertEqual([0, 0], [report['errors'], report['warnings']])
        self.assertTrue(report['certified'])
        review = report['review']
        self.assertEqual(
            self.source.current.digest, review['against']['digest']
        )
        self.assertEqual(
            ['levels', 'balts'], [d['name'] for d in review['differences']]
        )

    def test_unreachable_control(self):
        self.use_transport(UnreachableTransport())
        output = self.check(self.note)
        self.assertIn('SL2003', self.errors)
        self.assertIn('not compared with a release in force', output)

    def test_without_a_control(self):
        self.useFixture(EnvironmentVariable(CONTROLS_VARIABLE))
        output = self.check(self.note)
        self.assertEqual('', self.errors)
        self.assertIn('not compared with a release in force', output)

    def test_uncertified_release_is_pointed_out(self):
        self.source.certification_succeeds = False
        self.check(self.note)
        self.assertIn('could not confirm', self.errors)

    def test_errors_exit_1(self):
        self.note.write_text(NOTE.replace('release: 2', 'release: 1'))
        self.assertIn('error SL7004', self.check(self.note, 1))

    def test_warnings_exit_1_only_if_strict(self):
        self.note.write_text(
            NOTE + '  - {action: add, service: {name: spare}}\n'
        )
        self.assertIn('warning unused-service', self.check(self.note))
        self.check(f'{self.note} --strict', 1)

    def test_usage_errors_exit_2(self):
        self.check('/nonexistent.yaml', 2)
        self.check(f'{self.note} --against /nonexistent.yaml', 2)
        self.check(f'{self.note} --against {self.note}', 2)
        self.check(f'{self.note} --control localhost:1', 2)

    def test_refused_notes_show_no_keys(self):
        # Messages of parsers and of checks quote parts of the note.
        shared = '{action: add, customer: {name: x, api_keys: [SECRET-2]}}'
        for changes in (
            shared,
            shared.replace('add', 'withdraw'),
            shared.replace('[SECRET-2]', 'SECRET-2'),
            shared.replace('[SECRET-2]', '[SECRET-2, ""]'),
            shared.replace('SECRET-2', '*SECRET-2'),
            shared.replace('SECRET-2', '!SECRET-2'),
            shared.replace('SECRET-2', '!SECRET!2 x'),
            shared.replace('SECRET-2', '&SECRET a, &SECRET b'),
            shared.replace('[SECRET-2]', '["SECRET-2'),
            shared.replace('api_keys: [SECRET-2]', 'SECRET-2'),
            shared.replace('api_keys: [SECRET-2]', '"SECRET`` - at"'),
            shared.replace('[SECRET-2]', '{SECRET-2: 1}'),
            shared.replace('x, api_keys', 'x, rate_per_s: -1, api_keys'),
            shared.replace('customer', 'service: {name: s}, customer'),
        ):
            self.note.write_text(
                f'release: 2\nnote: n\nchanges:\n  - {changes}\n'
            )
            for arguments in ('', '--json', f'--against {self.first_note}'):
                self.check(f'{self.note} {arguments}', 1)

    def test_controls_return_no_keys(self):
        bodies = []

        class RecordingTransport(httpx.ASGITransport):
            async def handle_async_request(self, request):
                response = await super().handle_async_request(request)
                bodies.append(await response.aread())
                return response

        app = make_operator_app(FakeService(), self.source)
        self.use_transport(RecordingTransport(app))
        self.check(self.note)
        self.assertIn(b'balts', bodies[0])
        self.assertNotIn(b'SECRET', bodies[0])
