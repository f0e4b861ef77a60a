"""Errors of the soak test."""

from snipelead.exceptions import SnipeleadError

__all__ = ['GuaranteeViolationError']


class GuaranteeViolationError(SnipeleadError):
    """A run observed a violation of a guarantee of the system."""

    code = 'SL8101'
