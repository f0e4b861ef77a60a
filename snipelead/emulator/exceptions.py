"""Errors of the emulator."""

from snipelead.exceptions import SnipeleadError

__all__ = ['InvalidBehaviourError', 'WrongAnswerError']


class InvalidBehaviourError(SnipeleadError):
    """A change of a stand-in target's behaviour cannot be read."""

    code = 'SL8001'


class WrongAnswerError(SnipeleadError):
    """A caller received an answer that is not whole or not its own."""

    code = 'SL8002'
