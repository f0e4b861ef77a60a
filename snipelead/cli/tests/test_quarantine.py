from cleo.testers.application_tester import ApplicationTester
import msgspec
from testtools import TestCase
import trio

from snipelead.cli.application import make_application
from snipelead.cli.command import ExitCode
from snipelead.controls.service import ControlService
from snipelead.controls.tests.mesh import make_peers
from snipelead.messages import TargetCrash
from snipelead.quarantine.ledger import CrashLedger
from snipelead.quarantine.ledger import Verdict
from snipelead.rpc.stream import open_stream_transport
from snipelead.settings.schema import ControlSettings
from snipelead.testing.source import FakeSource
from snipelead.utils.ports import find_free_addresses

QUARANTINED = b'q' * 16
SUSPECTED = b's' * 16
# Time limit of a test with a server, in seconds.
TIMEOUT_S = 30


def fill(ledger):
    for number in range(3):
        crash = TargetCrash(f't{number}', number, 'n1', 1_700_000_000_123)
        ledger.record_crash(QUARANTINED, crash, 'default: GET shop/bad')
    ledger.record_crash(SUSPECTED, crash, 'default: GET shop/maybe')


class QuarantineCommandsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.tester = ApplicationTester(make_application())
        self.ledger = None

    @property
    def output(self):
        return self.tester.io.fetch_output()

    def run_commands(self, *commands):
        """Run commands while a control serves; return their exit codes."""

        async def main():
            with trio.fail_after(TIMEOUT_S):
                async with (
                    open_stream_transport() as transport,
                    trio.open_nursery() as nursery,
                ):
                    service = self.make_service(transport)
                    await nursery.start(
                        transport.serve, self.address, service.handlers()
                    )
                    codes = [
                        await trio.to_thread.run_sync(self.execute, command)
                        for command in commands
                    ]
                    nursery.cancel_scope.cancel()
            return codes

        (self.address,) = find_free_addresses(1)
        return trio.run(main)

    def make_service(self, transport):
        settings = ControlSettings(
            control_id='c0',
            zone='a',
            address=self.address,
            operator_address=self.address,
            data_dir='unused',
            peers=make_peers(['a']),
        )
        service = ControlService(settings, FakeSource(), transport)
        self.ledger = service.ledger
        fill(self.ledger)
        return service

    def execute(self, command):
        return self.tester.execute(
            command.format(f'--transport stream --rpc {self.address}')
        )

    def test_list_shows_requests_in_quarantine(self):
        self.assertEqual(
            [ExitCode.OK], self.run_commands('quarantine list {}')
        )
        output = self.output
        self.assertIn(f'{QUARANTINED.hex()} quarantined: default', output)
        self.assertIn('GET shop/bad', output)
        self.assertIn(
            '2023-11-14T22:13:20.123+00:00 t0, incarnation 0, noticed by n1',
            output,
        )
        self.assertNotIn('maybe', output)

    def test_list_of_all_as_json(self):
        self.run_commands('quarantine list --all --json {}')
        records = {
            r['fingerprint']: r for r in msgspec.json.decode(self.output)
        }
        self.assertEqual('suspect', records[SUSPECTED.hex()]['verdict'])
        self.assertEqual(3, len(records[QUARANTINED.hex()]['crashes']))

    def test_lift_ends_the_quarantine(self):
        codes = self.run_commands(f'quarantine lift {{}} {QUARANTINED.hex()}')
        self.assertEqual([ExitCode.OK], codes)
        self.assertIs(Verdict.CLEAR, self.ledger.get_verdict(QUARANTINED))

    def test_lift_of_all_ends_quarantines_only(self):
        codes = self.run_commands('quarantine lift --all {}')
        self.assertEqual([ExitCode.OK], codes)
        self.assertIs(Verdict.CLEAR, self.ledger.get_verdict(QUARANTINED))
        self.assertIs(Verdict.SUSPECT, self.ledger.get_verdict(SUSPECTED))

    def test_lift_of_an_unknown_request_is_refused(self):
        codes = self.run_commands(
            f'quarantine lift {{}} {QUARANTINED.hex()}',
            f'quarantine lift {{}} {QUARANTINED.hex()}',
            f'quarantine lift {{}} {"ab" * 16}',
        )
        self.assertEqual(
            [ExitCode.OK, ExitCode.REFUSED, ExitCode.REFUSED], codes
        )
        self.assertIn('SL4013', self.tester.io.fetch_error())

    def test_next_control_is_called_if_one_does_not_reply(self):
        (unused,) = find_free_addresses(1)
        codes = self.run_commands(f'quarantine list --rpc {unused} {{}}')
        self.assertEqual([ExitCode.OK], codes)
        self.assertIn('shop/bad', self.output)

    def test_invalid_command_lines_are_usage_errors(self):
        self.ledger = CrashLedger()
        for command in (
            'quarantine list',
            'quarantine list --rpc nowhere',
            'quarantine list --rpc 127.0.0.1:1 --transport pigeon',
            'quarantine lift --rpc 127.0.0.1:1 no-hex',
            'quarantine lift --rpc 127.0.0.1:1',
            'quarantine lift --rpc 127.0.0.1:1 --all abcd',
        ):
            self.assertEqual(ExitCode.USAGE, self.tester.execute(command))
