"""Errors of the test helpers."""

from snipelead.exceptions import SnipeleadError

__all__ = ['ConditionTimeoutError', 'KnownRedError', 'ProcessEndedError']


class ConditionTimeoutError(SnipeleadError):
    """A condition did not come to hold within a test's time limit."""

    code = 'SL8010'


class ProcessEndedError(SnipeleadError):
    """A process of a test ended before it was ready."""

    code = 'SL8011'


class KnownRedError(SnipeleadError):
    """The list of tests that are known to fail cannot be read."""

    code = 'SL8012'
