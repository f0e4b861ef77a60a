"""Errors raised by controls and their clients."""

from snipelead.exceptions import SnipeleadError

__all__ = [
    'BaseUnknownError',
    'NoControlError',
    'NoQuorumError',
    'OutcomeForgottenError',
    'OutcomeUnknownError',
    'StaleRequestError',
]


class NoQuorumError(SnipeleadError):
    """No majority of voters was reachable; the operation had no effect."""

    code = 'SL2001'


class OutcomeUnknownError(SnipeleadError):
    """The reply was lost; the operation may or may not have taken effect."""

    code = 'SL2002'


class NoControlError(SnipeleadError):
    """No control could be reached; the request was not sent."""

    code = 'SL2003'


class OutcomeForgottenError(OutcomeUnknownError):
    """The note's outcome is no longer recorded; it may have been accepted."""

    code = 'SL2005'


class BaseUnknownError(SnipeleadError):
    """A replacement is based on a release that is not accepted yet."""

    code = 'SL2006'


class StaleRequestError(SnipeleadError):
    """A poll is older than the latest poll of its node and was dropped."""

    code = 'SL2004'
