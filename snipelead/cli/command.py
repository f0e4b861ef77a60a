"""What all commands share: exit codes, output and coded errors."""

from enum import IntEnum
import os
from pathlib import Path
from traceback import format_exc

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.outputs.output import Type
import msgspec

from snipelead.cli.exceptions import InterruptedCommandError
from snipelead.cli.exceptions import NotInForceError
from snipelead.cli.exceptions import OperatingSystemError
from snipelead.cli.exceptions import UnforeseenError
from snipelead.cli.exceptions import UsageError
from snipelead.controls.exceptions import OutcomeUnknownError
from snipelead.exceptions import InvalidParameterError
from snipelead.exceptions import SnipeleadError
from snipelead.operators.client import OperatorClient
from snipelead.operators.exceptions import NotProvedCurrentError
from snipelead.utils.validation import check_address

__all__ = [
    'CONTROL_OPTION',
    'CONTROLS_VARIABLE',
    'ExitCode',
    'JSON_OPTION',
    'SnipeleadCommand',
    'find_coded',
    'make_coded',
]

CONTROLS_VARIABLE = 'SNIPELEAD_CONTROLS'

JSON_OPTION = option('json', description='Print JSON.')
CONTROL_OPTION = option(
    'control',
    description='Operator address of a control, IP:port; may be repeated.'
    f' Default: {CONTROLS_VARIABLE}, separated by commas.',
    flag=False,
    multiple=True,
)


class ExitCode(IntEnum):
    """Exit codes of the ``snipelead`` command."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3


_UNKNOWN_ERRORS = (
    OutcomeUnknownError,
    InterruptedCommandError,
    UnforeseenError,
    NotInForceError,
    NotProvedCurrentError,
)


def exit_code_of(error):
    """Return the exit code that a coded error leads to."""
    if isinstance(error, UsageError):
        return ExitCode.USAGE
    if isinstance(error, _UNKNOWN_ERRORS):
        return ExitCode.UNKNOWN
    return ExitCode.REFUSED


def find_error(error, error_type):
    """Return the first error of a type in an exception or group, or None."""
    match error:
        case error_type():
            return error
        case BaseExceptionGroup():
            found = (find_error(e, error_type) for e in error.exceptions)
            return next((e for e in found if e is not None), None)
        case _:
            return None


def find_coded(error):
    """Return the first coded error in an exception or group, or None."""
    return find_error(error, SnipeleadError)


def make_coded(error):
    """Return the coded error that an exception or group stands for."""
    coded = find_coded(error)
    if coded is not None:
        return coded
    if find_error(error, KeyboardInterrupt) is not None:
        return InterruptedCommandError('stopped before the outcome was known')
    refused = find_error(error, OSError)
    if refused is not None:
        return OperatingSystemError(str(refused))
    return UnforeseenError(repr(error))


class SnipeleadCommand(Command):
    """Base of all commands; turns coded errors into exit codes.

    Subclasses implement :meth:`run_checked`.

    Attributes
    ----------
    transport : httpx.AsyncBaseTransport or None
        Stand-in for the network, in tests.
    """

    transport = None

    def handle(self):
        """Run the command and return its exit code."""
        try:
            return self.run_checked() or ExitCode.OK
        except (Exception, KeyboardInterrupt, BaseExceptionGroup) as error:
            coded = make_coded(error)
            if isinstance(coded, UnforeseenError):
                self.show_progress(format_exc())
            return self.show_error(coded)

    def run_checked(self):
        """Do the work; returns an exit code or None for success."""
        raise NotImplementedError

    @property
    def wants_json(self):
        """Whether ``--json`` was given."""
        return self._definition.has_option('json') and self.option('json')

    def show(self, text):
        """Print a line as it is."""
        self.io.write_line(text, type=Type.RAW)

    def show_progress(self, text):
        """Print a line about long work beside the output."""
        self.io.write_error_line(text, type=Type.RAW)

    def show_json(self, value):
        """Print a value as JSON."""
        encoded = msgspec.json.format(msgspec.json.encode(value), indent=2)
        self.show(encoded.decode())

    def show_error(self, error):
        """Print a coded error and return its exit code."""
        if self.wants_json:
            self.show_json(error.to_info())
        self.io.write_error_line(str(error), type=Type.RAW)
        return exit_code_of(error)

    def read_text(self, name):
        """Read the file named by an argument."""
        path = self.argument(name)
        try:
            return Path(path).read_text()
        except (OSError, UnicodeDecodeError) as error:
            raise UsageError(f'cannot read {path}: {error}') from error

    def seconds(self, name):
        """Return the value of an option as a positive number of seconds."""
        given = self.option(name)
        try:
            value = float(given)
        except ValueError:
            value = 0.0
        if not 0 < value < float('inf'):
            raise UsageError(
                f'--{name} must be a number of seconds above 0, got {given!r}'
            )
        return value

    def control_addresses(self):
        """Return the operator addresses of the controls to talk to."""
        given = self.option('control') or [
            part.strip()
            for part in os.environ.get(CONTROLS_VARIABLE, '').split(',')
            if part.strip()
        ]
        if not given:
            raise UsageError(
                f'name a control by --control IP:port or {CONTROLS_VARIABLE}'
            )
        try:
            return [
                check_address('command line', '--control', a) for a in given
            ]
        except InvalidParameterError as error:
            raise UsageError(error.message, **error.details) from error

    def open_client(self):
        """Return a client of the controls; a context manager."""
        return OperatorClient(
            self.control_addresses(), transport=self.transport
        )
