"""Errors of the test support code."""

from snipelead.exceptions import SnipeleadError

__all__ = ['ConditionTimeoutError', 'KnownFailuresError', 'ProcessEndedError']


class ConditionTimeoutError(SnipeleadError):
    """A condition did not become true within its time limit."""

    code = 'SL8010'


class ProcessEndedError(SnipeleadError):
    """A process under test exited unexpectedly."""

    code = 'SL8011'


class KnownFailuresError(SnipeleadError):
    """The list of known test failures cannot be parsed."""

    code = 'SL8012'
