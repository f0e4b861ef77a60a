"""Errors of the command line interface."""

from snipelead.exceptions import SnipeleadError

__all__ = [
    'BenchUnavailableError',
    'InterruptedCommandError',
    'NotInForceError',
    'OperatingSystemError',
    'QuickstartError',
    'RequestNotLoggedError',
    'UnexpectedError',
    'UnknownFingerprintError',
    'UsageError',
]


class UsageError(SnipeleadError):
    """The command line cannot be understood."""

    code = 'SL4004'


class NotInForceError(SnipeleadError):
    """The release is accepted but not yet in force on all nodes."""

    code = 'SL4005'


class BenchUnavailableError(SnipeleadError):
    """The bench needs a library of the ``bench`` extra."""

    code = 'SL4008'


class QuickstartError(SnipeleadError):
    """The quick start did not go as it must."""

    code = 'SL4009'


class RequestNotLoggedError(SnipeleadError):
    """No line of the logs given is about the request."""

    code = 'SL4012'


class UnknownFingerprintError(SnipeleadError):
    """The control knows no crash under the request."""

    code = 'SL4013'


class OperatingSystemError(SnipeleadError):
    """The operating system refused something, such as an address in use."""

    code = 'SL5003'


class UnexpectedError(SnipeleadError):
    """A command failed in an unforeseen way; its effect is unknown."""

    code = 'SL5004'


class InterruptedCommandError(SnipeleadError):
    """A command was interrupted; what it sent may have taken effect."""

    code = 'SL4011'
