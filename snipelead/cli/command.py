"""Base class of the commands, with exit codes, output and errors."""

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
from snipelead.cli.exceptions import UnexpectedError
from snipelead.cli.exceptions import UsageError
from snipelead.controls.exceptions import OutcomeUnknownError
from snipelead.exceptions import InvalidParameterError
from snipelead.exceptions import SnipeleadError
from snipelead.operators.client import OperatorClient
from snipelead.operators.exceptions import NotUpToDateError
from snipelead.utils.validation import check_address

__all__ = [
    'CONTROL_OPTION',
    'CONTROLS_VARIABLE',
    'ExitCode',
    'JSON_OPTION',
    'SnipeleadCommand',
    'find_coded_error',
    'to_coded_error',
]

CONTROLS_VARIABLE = 'SNIPELEAD_CONTROLS'

JSON_OPTION = option('json', description='Print JSON.')
CONTROL_OPTION = option(
    'control',
    description='Operator address of a control, IP:port; may be repeated.'
    f' Default: the comma-separated addresses in {CONTROLS_VARIABLE}.',
    flag=False,
    multiple=True,
)


class ExitCode(IntEnum):
    """Exit codes of the ``snipelead`` command.

    ``OK``: the command succeeded. ``REFUSED``: it was refused or failed.
    ``USAGE``: the command line is invalid. ``UNKNOWN``: its effect is not
    known, or its result is not confirmed.
    """

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3


_UNKNOWN_OUTCOME_ERRORS = (
    OutcomeUnknownError,
    InterruptedCommandError,
    UnexpectedError,
    NotInForceError,
    NotUpToDateError,
)


def get_exit_code(error):
    """Return the exit code for a coded error."""
    if isinstance(error, UsageError):
        return ExitCode.USAGE
    if isinstance(error, _UNKNOWN_OUTCOME_ERRORS):
        return ExitCode.UNKNOWN
    return ExitCode.REFUSED


def find_error(error, error_type):
    """Return the first error of a type in an exception or exception group.

    Returns None if there is none.
    """
    match error:
        case error_type():
            return error
        case BaseExceptionGroup():
            matches = (find_error(e, error_type) for e in error.exceptions)
            return next((e for e in matches if e is not None), None)
        case _:
            return None


def find_coded_error(error):
    """Return the first coded error in an exception or exception group.

    Returns None if there is none.
    """
    return find_error(error, SnipeleadError)


def to_coded_error(error):
    """Convert an exception or exception group to a coded error.

    Returns the first coded error that it contains, or else a new one.
    """
    coded_error = find_coded_error(error)
    if coded_error is not None:
        return coded_error
    if find_error(error, KeyboardInterrupt) is not None:
        return InterruptedCommandError(
            'interrupted before the outcome was known'
        )
    os_error = find_error(error, OSError)
    if os_error is not None:
        return OperatingSystemError(str(os_error))
    return UnexpectedError(repr(error))


class SnipeleadCommand(Command):
    """Base class of all commands, which maps errors to exit codes.

    Subclasses implement :meth:`run_command`.

    Attributes
    ----------
    transport : httpx.AsyncBaseTransport or None
        Replaces the network in tests.
    """

    transport = None

    def handle(self):
        """Run the command and return its exit code."""
        try:
            return self.run_command() or ExitCode.OK
        except (Exception, KeyboardInterrupt, BaseExceptionGroup) as error:
            coded_error = to_coded_error(error)
            if isinstance(coded_error, UnexpectedError):
                self.show_diagnostic(format_exc())
            return self.show_error(coded_error)

    def run_command(self):
        """Run the command.

        Returns
        -------
        ExitCode or None
            None means success.
        """
        raise NotImplementedError

    @property
    def wants_json(self):
        """Whether ``--json`` was given."""
        return self._definition.has_option('json') and self.option('json')

    def show(self, text):
        """Print a line to standard output, without markup."""
        self.io.write_line(text, type=Type.RAW)

    def show_diagnostic(self, text):
        """Print a line to standard error, without markup."""
        self.io.write_error_line(text, type=Type.RAW)

    def show_json(self, value):
        """Print a value as indented JSON."""
        encoded = msgspec.json.format(msgspec.json.encode(value), indent=2)
        self.show(encoded.decode())

    def show_error(self, error):
        """Print a coded error and return its exit code."""
        if self.wants_json:
            self.show_json(error.to_info())
        self.io.write_error_line(str(error), type=Type.RAW)
        return get_exit_code(error)

    def read_file_argument(self, name):
        """Return the content of the file that an argument names."""
        path = self.argument(name)
        try:
            return Path(path).read_text()
        except (OSError, UnicodeDecodeError) as error:
            raise UsageError(f'cannot read {path}: {error}') from error

    def parse_seconds(self, name):
        """Return the value of an option in seconds, which must be positive."""
        text = self.option(name)
        try:
            value = float(text)
        except ValueError:
            value = 0.0
        if not 0 < value < float('inf'):
            raise UsageError(
                f'--{name} must be a number of seconds above 0, got {text!r}'
            )
        return value

    def get_control_addresses(self):
        """Return the operator addresses of the controls.

        They come from ``--control`` or else from the environment.
        """
        addresses = self.option('control') or [
            part.strip()
            for part in os.environ.get(CONTROLS_VARIABLE, '').split(',')
            if part.strip()
        ]
        if not addresses:
            raise UsageError(
                'no control given; use --control IP:port or set'
                f' {CONTROLS_VARIABLE}'
            )
        try:
            return [
                check_address('command line', '--control', a)
                for a in addresses
            ]
        except InvalidParameterError as error:
            raise UsageError(error.message, **error.details) from error

    def open_client(self):
        """Return a client of the controls, to be used as a context manager."""
        return OperatorClient(
            self.get_control_addresses(), transport=self.transport
        )
