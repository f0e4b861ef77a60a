"""Commands that show and lift the quarantine of requests."""

from datetime import datetime
from datetime import UTC

from cleo.helpers import argument
from cleo.helpers import option
import trio

from snipelead.cli.command import ExitCode
from snipelead.cli.command import JSON_OPTION
from snipelead.cli.command import SnipeleadCommand
from snipelead.cli.exceptions import UnknownFingerprintError
from snipelead.cli.exceptions import UsageError
from snipelead.exceptions import InvalidParameterError
from snipelead.messages import LiftRequest
from snipelead.messages import WatchedRequest
from snipelead.quarantine.ledger import count_completions
from snipelead.quarantine.ledger import judge
from snipelead.quarantine.ledger import Verdict
from snipelead.rpc.exceptions import RpcTimeoutError
from snipelead.rpc.exceptions import RpcUnreachableError
from snipelead.rpc.stream import open_stream_transport
from snipelead.utils.validation import check_address

__all__ = ['QuarantineLiftCommand', 'QuarantineListCommand']

CALL_TIMEOUT_S = 2.0
MS_PER_S = 1_000
_TRANSPORTS = ('grpc', 'stream')
RPC_OPTION = option(
    'rpc',
    description='Address of a control for other processes, IP:port; may be'
    ' repeated. The first one that replies is used.',
    flag=False,
    multiple=True,
)
TRANSPORT_OPTION = option(
    'transport',
    description=f'How it is called: {" or ".join(_TRANSPORTS)}.',
    flag=False,
    default='grpc',
)


def describe_record(record):
    """Yield the lines that describe a CrashRecord."""
    yield (
        f'{record.fingerprint.hex()} {judge(record).value}: {record.summary}'
    )
    yield (
        f'  {len(record.crashes)} crashes,'
        f' {count_completions(record)} completed copies'
    )
    for crash in record.crashes:
        yield (
            f'  {format_time(crash.time_ms)} {crash.target_id}, incarnation'
            f' {crash.incarnation}, noticed by {crash.node_id}'
        )


def format_time(time_ms):
    """Return a Unix time in milliseconds as ISO 8601 text in UTC."""
    moment = datetime.fromtimestamp(time_ms / MS_PER_S, UTC)
    return moment.isoformat(timespec='milliseconds')


class _QuarantineCommand(SnipeleadCommand):
    """Base of the commands that call a control."""

    def open_transport(self):
        """Return the transport to use, as a context manager.

        Raises
        ------
        UsageError
            If there is no such transport.
        """
        match self.option('transport'):
            case 'stream':
                return open_stream_transport()
            case 'grpc':
                # Platform processes are installed without the library.
                from snipelead.rpc.grpc import open_grpc_transport

                return open_grpc_transport()
            case name:
                raise UsageError(
                    f'--transport must be one of {_TRANSPORTS}, got {name!r}'
                )

    def get_rpc_addresses(self):
        """Return the addresses of the controls.

        Raises
        ------
        UsageError
            If none is given, or one is invalid.
        """
        if not self.option('rpc'):
            raise UsageError('no control given; use --rpc IP:port')
        try:
            return [
                check_address('command line', '--rpc', address)
                for address in self.option('rpc')
            ]
        except InvalidParameterError as error:
            raise UsageError(error.message, **error.details) from error

    async def call_control(self, request):
        """Return the reply of the first control that replies."""
        *others, last = self.get_rpc_addresses()
        async with self.open_transport() as transport:
            for address in others:
                try:
                    return await self._call(transport, address, request)
                except (RpcTimeoutError, RpcUnreachableError) as error:
                    self.show_diagnostic(str(error))
            return await self._call(transport, last, request)

    async def _call(self, transport, address, request):
        async with transport.connect(address) as channel:
            return await channel.call(request, CALL_TIMEOUT_S)


class QuarantineListCommand(_QuarantineCommand):
    """Shows the requests that were running when targets crashed."""

    name = 'quarantine list'
    description = 'Show requests that were running when targets crashed.'
    help = """Lists those in quarantine; with --all, also those that are
suspected or have been cleared.

Example:
  snipelead quarantine list --rpc 127.0.0.1:7110"""
    options = [
        RPC_OPTION,
        TRANSPORT_OPTION,
        JSON_OPTION,
        option('all', description='Also list other watched requests.'),
    ]

    def run_command(self):
        """Fetch the records and print them."""
        records = trio.run(self.call_control, WatchedRequest()).records
        if not self.option('all'):
            records = [r for r in records if judge(r) is Verdict.QUARANTINED]
        if self.wants_json:
            self.show_json(
                [
                    {
                        'fingerprint': record.fingerprint.hex(),
                        'verdict': judge(record).value,
                        'summary': record.summary,
                        'completions': count_completions(record),
                        'crashes': record.crashes,
                    }
                    for record in records
                ]
            )
            return
        for record in records:
            for line in describe_record(record):
                self.show(line)


class QuarantineLiftCommand(_QuarantineCommand):
    """Ends the quarantine of a request."""

    name = 'quarantine lift'
    description = 'Discard what is known of crashes under a request.'
    help = """Copies of the request are sent to targets again until they have
crashed as many once more. With --all, all quarantines end, as after the repair
of a service that crashed under many requests. Exits 1 if the control knows no
such request.

Example:
  snipelead quarantine lift --rpc 127.0.0.1:7110 9c41...68"""
    arguments = [
        argument(
            'fingerprint', 'As `quarantine list` shows it.', optional=True
        )
    ]
    options = [
        RPC_OPTION,
        TRANSPORT_OPTION,
        option('all', description='Lift all quarantines.'),
    ]

    def run_command(self):
        """Ask a control to discard the evidence."""
        text = self.argument('fingerprint')
        if bool(text) == self.option('all'):
            raise UsageError('give either a fingerprint or --all')
        if self.option('all'):
            return self._lift_all()
        return self._lift(text)

    def _lift_all(self):
        for record in trio.run(self.call_control, WatchedRequest()).records:
            if judge(record) is Verdict.QUARANTINED:
                self._lift(record.fingerprint.hex())
        return ExitCode.OK

    def _lift(self, text):
        try:
            fingerprint = bytes.fromhex(text)
        except ValueError as error:
            raise UsageError(
                f'fingerprint must be hexadecimal, got {text!r}'
            ) from error
        reply = trio.run(self.call_control, LiftRequest(fingerprint))
        if not reply.found:
            raise UnknownFingerprintError(
                f'the control knows no crash under request {text}'
            )
        self.show(f'lifted {text}')
        return ExitCode.OK
