"""Errors of a node's conversation with the target beside it."""

from snipelead.exceptions import SnipeleadError

__all__ = ['UnknownTargetError']


class UnknownTargetError(SnipeleadError):
    """The node does not know this target; it has to announce itself again."""

    code = 'SL4010'
