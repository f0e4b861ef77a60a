"""Errors of the command line."""

from snipelead.exceptions import SnipeleadError

__all__ = [
    'BenchUnavailableError',
    'NotInForceError',
    'QuickstartError',
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
