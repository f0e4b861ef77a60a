"""Errors of the interface between a node and its local target."""

from snipelead.exceptions import SnipeleadError

__all__ = ['UnknownTargetError']


class UnknownTargetError(SnipeleadError):
    """The target is not registered with the node; it must announce itself."""

    code = 'SL4010'
