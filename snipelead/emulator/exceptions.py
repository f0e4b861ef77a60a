"""Errors of the emulator."""

from snipelead.exceptions import SnipeleadError

__all__ = [
    'InvalidBehaviourError',
    'InvalidRequestError',
    'InvalidResponseError',
]


class InvalidBehaviourError(SnipeleadError):
    """The request to change an emulated target's behaviour is invalid."""

    code = 'SL8001'


class InvalidRequestError(SnipeleadError):
    """A request to an emulated target has an invalid option."""

    code = 'SL8003'


class InvalidResponseError(SnipeleadError):
    """A response is incomplete, malformed or belongs to another request."""

    code = 'SL8002'
