"""Errors of remote procedure calls."""

from snipelead.exceptions import SnipeleadError

__all__ = [
    'RpcInternalError',
    'RpcNotSentError',
    'RpcTimeoutError',
    'RpcUnreachableError',
]


class RpcUnreachableError(SnipeleadError):
    """The connection failed; the server may have run the call."""

    code = 'SL6001'


class RpcTimeoutError(SnipeleadError):
    """No response arrived in time; the server may have run the call."""

    code = 'SL6002'


class RpcInternalError(SnipeleadError):
    """The server failed unexpectedly or a message could not be decoded."""

    code = 'SL6003'


class RpcNotSentError(RpcUnreachableError):
    """No connection could be opened; the call was not sent."""

    code = 'SL6004'
