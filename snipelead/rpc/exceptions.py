"""Errors of calls between processes."""

from snipelead.exceptions import SnipeleadError

__all__ = [
    'RpcInternalError',
    'RpcNotSentError',
    'RpcTimeoutError',
    'RpcUnreachableError',
]


class RpcUnreachableError(SnipeleadError):
    """The connection failed; the call may or may not have been received."""

    code = 'SL6001'


class RpcTimeoutError(SnipeleadError):
    """No answer came in time; the call may or may not have been received."""

    code = 'SL6002'


class RpcInternalError(SnipeleadError):
    """The other process failed in an unforeseen way or sent nonsense."""

    code = 'SL6003'


class RpcNotSentError(RpcUnreachableError):
    """No connection could be opened; the call was not sent."""

    code = 'SL6004'
