"""Errors of the emulator."""

from snipelead.exceptions import SnipeleadError

__all__ = [
    'InvalidBehaviourError',
    'InvalidRequestError',
    'WrongAnswerError',
]


class InvalidBehaviourError(SnipeleadError):
    """A change of a stand-in target's behaviour cannot be read."""

    code = 'SL8001'


class InvalidRequestError(SnipeleadError):
    """A request gives a stand-in target an option that it cannot keep."""

    code = 'SL8003'


class WrongAnswerError(SnipeleadError):
    """A caller received an answer that is not whole or not its own."""

    code = 'SL8002'
