"""Base classes of the RPC transports."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import msgspec
from msgspec import Struct
import trio

from snipelead.exceptions import error_from_info
from snipelead.exceptions import ErrorInfo
from snipelead.exceptions import InvariantError
from snipelead.exceptions import SnipeleadError
from snipelead.messages import REPLY_TYPES
from snipelead.rpc.exceptions import RpcInternalError
from snipelead.rpc.exceptions import RpcTimeoutError
from snipelead.utils.decoding import decode_msgpack

__all__ = [
    'CONNECT_TIMEOUT_S',
    'Channel',
    'Handlers',
    'Transport',
    'TransportStats',
]

# A connection is opened within this time or not at all. The kernel repeats a
# lost opening packet only after 1, 3 and 7 s; a new attempt sends it at once.
CONNECT_TIMEOUT_S = 0.5

# Handlers by request type. A handler takes the request and returns the reply
# or raises a coded error, which is raised again at the caller.
Handlers = dict[type, Callable[[Any], Awaitable[Any]]]

_encode = msgspec.msgpack.encode


class _Envelope(Struct, frozen=True, omit_defaults=True, array_like=True):
    """Response on the wire: either an error or an encoded reply."""

    error: ErrorInfo | None = None
    reply: msgspec.Raw = msgspec.Raw(b'\xc0')


class TransportStats(Struct):
    """Counters of the calls made through a transport.

    Parameters
    ----------
    calls : int
        Calls that got a response.
    sent_bytes, received_bytes : int
        Payload bytes of those calls and of their responses.
    """

    calls: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


async def dispatch(handlers, method, payload):
    """Decode a request, run its handler and encode the result.

    Parameters
    ----------
    handlers : Handlers
        Handlers by request type.
    method : str
        Name of the request type.
    payload : bytes
        Encoded request.

    Returns
    -------
    bytes
        Encoded envelope with the reply or an error.

    Raises
    ------
    InvariantError
        If the handler raised it; the process has to stop.
    """
    request_type = next((t for t in handlers if t.__name__ == method), None)
    if request_type is None:
        info = RpcInternalError(f'unknown RPC method {method!r}').to_info()
        return _encode(_Envelope(info))
    try:
        request = decode_msgpack(payload, type=request_type)
        reply = await handlers[request_type](request)
    except InvariantError:
        raise
    except SnipeleadError as error:
        return _encode(_Envelope(error.to_info()))
    except msgspec.DecodeError as error:
        return _encode(_Envelope(RpcInternalError(str(error)).to_info()))
    return _encode(_Envelope(None, msgspec.Raw(_encode(reply))))


def encode_error(error):
    """Return an encoded envelope with an error."""
    return _encode(_Envelope(error.to_info()))


class Channel:
    """Client side of RPC to one address; a context manager that closes it.

    Subclasses implement :meth:`send_request`, :meth:`reset` and
    :meth:`aclose`. A channel reconnects automatically: after a failure or
    timeout the next call opens a new connection, so that an unresponsive one
    is not reused.

    Parameters
    ----------
    address : Address
        Address of the server.
    stats : TransportStats
        Counters that each call updates.
    """

    def __init__(self, address, stats):
        self.address = address
        self.stats = stats

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        await self.aclose()

    async def send_request(self, method, payload):
        """Send an encoded request and return the encoded envelope."""
        raise NotImplementedError

    async def reset(self):
        """Close the current connection, if any."""

    async def aclose(self):
        """Close the channel permanently."""

    async def call(self, request, timeout_s):
        """Call the RPC method named after the type of the request.

        Parameters
        ----------
        request : Struct
            Message with an entry in ``REPLY_TYPES``.
        timeout_s : float
            Time limit in seconds.

        Returns
        -------
        Struct
            The reply.

        Raises
        ------
        RpcTimeoutError, RpcUnreachableError
            If no response arrived; the server may have run the call.
        RpcNotSentError
            If no connection could be opened; the call was not sent.
        RpcInternalError
            If the handler is unknown, failed unexpectedly or sent an
            invalid response.
        SnipeleadError
            Coded error that the handler raised.
        """
        payload = _encode(request)
        with trio.move_on_after(timeout_s) as scope:
            response = await self.send_request(type(request).__name__, payload)
        if scope.cancelled_caught:
            await self.reset()
            raise RpcTimeoutError(
                f'no response from {self.address} within {timeout_s} s'
            )
        self.stats.calls += 1
        self.stats.sent_bytes += len(payload)
        self.stats.received_bytes += len(response)
        return self._decode_response(type(request), response)

    def _decode_response(self, request_type, response):
        try:
            envelope = decode_msgpack(response, type=_Envelope)
            if envelope.error is not None:
                raise error_from_info(envelope.error)
            return decode_msgpack(
                envelope.reply, type=REPLY_TYPES[request_type]
            )
        except msgspec.DecodeError as error:
            raise RpcInternalError(
                f'cannot decode the response of {self.address}: {error}'
            ) from error


class Transport:
    """Factory of channels and server of handlers.

    Attributes
    ----------
    stats : TransportStats
        Counters of the calls of all channels.
    """

    def __init__(self):
        self.stats = TransportStats()

    def connect(self, address):
        """Return a :class:`Channel`, which connects on its first call."""
        raise NotImplementedError

    async def serve(
        self, address, handlers, *, task_status=trio.TASK_STATUS_IGNORED
    ):
        """Serve handlers until cancelled.

        Parameters
        ----------
        address : Address
            Address to listen on.
        handlers : Handlers
            Handlers by request type.
        task_status : trio.TaskStatus
            Receives the address once the server listens.
        """
        raise NotImplementedError
