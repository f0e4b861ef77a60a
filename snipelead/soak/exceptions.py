"""Errors of the soak."""

from snipelead.exceptions import SnipeleadError

__all__ = ['PromiseBrokenError']


class PromiseBrokenError(SnipeleadError):
    """A run showed that a promise of the system does not hold."""

    code = 'SL8101'
