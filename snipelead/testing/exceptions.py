"""Errors of the test helpers."""

from snipelead.exceptions import SnipeleadError

__all__ = ['ConditionTimeoutError']


class ConditionTimeoutError(SnipeleadError):
    """A condition did not come to hold within a test's time limit."""

    code = 'SL8010'
