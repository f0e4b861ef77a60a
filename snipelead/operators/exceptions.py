"""Errors of the operator API."""

from snipelead.exceptions import SnipeleadError

__all__ = [
    'NotUpToDateError',
    'ReleaseNotFoundError',
    'UnexpectedResponseError',
]


class ReleaseNotFoundError(SnipeleadError):
    """No release with this number was accepted, or it is long superseded."""

    code = 'SL4001'


class NotUpToDateError(SnipeleadError):
    """The control cannot prove now that it knows the newest release."""

    code = 'SL4002'


class UnexpectedResponseError(SnipeleadError):
    """An address gave an answer that no control gives."""

    code = 'SL4003'
