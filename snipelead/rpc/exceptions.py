"""Errors of remote procedure calls."""

from snipelead.exceptions import SnipeleadError
from snipelead.http.exceptions import ConnectionLostError

__all__ = [
    'InvalidFrameError',
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


class InvalidFrameError(ConnectionLostError):
    """The peer sent bytes that are not a frame; the connection is closed."""

    code = 'SL6005'
