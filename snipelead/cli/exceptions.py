"""Errors of the command line."""

from snipelead.exceptions import SnipeleadError

__all__ = ['BenchUnavailableError', 'NotInForceError', 'UsageError']


class UsageError(SnipeleadError):
    """The command line cannot be understood."""

    code = 'SL4004'


class NotInForceError(SnipeleadError):
    """The release is accepted but not yet in force on all nodes."""

    code = 'SL4005'


class BenchUnavailableError(SnipeleadError):
    """The bench needs a library of the ``bench`` extra."""

    code = 'SL4008'
