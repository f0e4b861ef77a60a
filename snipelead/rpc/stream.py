"""RPC transport over plain TCP with length-prefixed msgpack frames.

The transport needs neither an asyncio loop nor an HTTP/2 library, which saves
memory and processor time on small VMs. Calls are multiplexed over one
connection for each channel.
"""

from contextlib import asynccontextmanager
from itertools import count
import struct

import msgspec
from msgspec import Struct
import trio

from snipelead.exceptions import InvariantError
from snipelead.http.connection import ACCEPT_RETRY_DELAY_S
from snipelead.http.connection import connect
from snipelead.http.connection import Connection
from snipelead.http.connection import listen
from snipelead.http.exceptions import ConnectFailedError
from snipelead.http.exceptions import ConnectionLostError
from snipelead.logs import log_event
from snipelead.rpc.base import Channel
from snipelead.rpc.base import CONNECT_TIMEOUT_S
from snipelead.rpc.base import dispatch
from snipelead.rpc.base import encode_error
from snipelead.rpc.base import Transport
from snipelead.rpc.events import FRAME_INVALID
from snipelead.rpc.events import PROCEDURE_FAILED
from snipelead.rpc.exceptions import InvalidFrameError
from snipelead.rpc.exceptions import RpcInternalError
from snipelead.rpc.exceptions import RpcNotSentError
from snipelead.rpc.exceptions import RpcUnreachableError
from snipelead.utils.decoding import limit_nesting

__all__ = ['StreamChannel', 'StreamTransport', 'open_stream_transport']

# A larger length prefix is rejected before the payload is buffered.
MAX_FRAME_BYTES = 64 * 1024 * 1024
# TCP_USER_TIMEOUT, the time for which sent data may stay unacknowledged; it
# allows for two retransmissions.
USER_TIMEOUT_MS = 1_000
_LENGTH_PREFIX = struct.Struct('>I')

_encode = msgspec.msgpack.encode


class _Frame(Struct, frozen=True, array_like=True):
    """Call or response; a response has an empty method."""

    call_id: int
    method: str
    payload: bytes


_decode_frame = limit_nesting(msgspec.msgpack.Decoder(_Frame).decode)


class _FrameStream:
    """Sends and receives frames over one connection."""

    def __init__(self, connection):
        self.connection = connection
        self.buffer = bytearray()
        self.send_lock = trio.Lock()

    async def send(self, frame):
        """Send a frame; a failure or cancellation ends the connection.

        Raises
        ------
        ConnectionLostError
            If the connection was lost.
        """
        data = _encode(frame)
        async with self.send_lock:
            try:
                await self.connection.send(
                    _LENGTH_PREFIX.pack(len(data)) + data
                )
            except BaseException:
                # After a partial frame the receiver could not find the
                # start of the next one.
                self.connection.abort()
                raise

    async def receive(self):
        """Return the next frame.

        Raises
        ------
        ConnectionLostError
            If the connection ended.
        InvalidFrameError
            If a frame is invalid; no other frame can be read after it.
        """
        prefix = await self._read_exactly(_LENGTH_PREFIX.size)
        size = _LENGTH_PREFIX.unpack(prefix)[0]
        if size > MAX_FRAME_BYTES:
            raise self._reject(f'frame length {size} exceeds the limit')
        data = await self._read_exactly(size)
        try:
            return _decode_frame(data)
        except msgspec.DecodeError as error:
            raise self._reject(f'invalid frame: {error}') from error

    def _reject(self, message):
        log_event(FRAME_INVALID, error=message)
        return InvalidFrameError(message)

    async def _read_exactly(self, size):
        while len(self.buffer) < size:
            data = await self.connection.receive()
            if not data:
                raise ConnectionLostError('the peer closed the connection')
            self.buffer += data
        result = bytes(self.buffer[:size])
        del self.buffer[:size]
        return result


class _ClientConnection:
    """Client side of a connection that many calls share.

    Attributes
    ----------
    pending_calls : dict of int to _PendingCall
        Calls without a response, by call id.
    close_error : ConnectionLostError or None
        Why the connection was closed.
    """

    def __init__(self, connection):
        self.stream = _FrameStream(connection)
        self.call_ids = count(1)
        self.pending_calls = {}
        self.close_error = None

    async def call(self, method, payload):
        """Make a call and return the payload of its response."""
        if self.close_error is not None:
            raise self.close_error
        call_id = next(self.call_ids)
        pending_call = self.pending_calls[call_id] = _PendingCall()
        try:
            await self.stream.send(_Frame(call_id, method, payload))
            return await pending_call.wait()
        finally:
            self.pending_calls.pop(call_id, None)

    async def run(self):
        """Pass responses to their calls until the connection ends."""
        try:
            while True:
                frame = await self.stream.receive()
                pending_call = self.pending_calls.get(frame.call_id)
                if pending_call is not None:
                    pending_call.resolve(frame.payload)
        except ConnectionLostError as error:
            self.close(error)

    def close(self, error):
        """Close the connection; pending calls fail with the error."""
        self.close_error = self.close_error or error
        self.stream.connection.close()
        for pending_call in self.pending_calls.values():
            pending_call.fail(self.close_error)


class _PendingCall:
    """Call that waits for its response."""

    def __init__(self):
        self.completed = trio.Event()
        self.payload = None
        self.error = None

    def resolve(self, payload):
        self.payload = payload
        self.completed.set()

    def fail(self, error):
        self.error = error
        self.completed.set()

    async def wait(self):
        await self.completed.wait()
        if self.error is not None:
            raise self.error
        return self.payload


class StreamChannel(Channel):
    """Channel over one TCP connection.

    Parameters
    ----------
    address : Address
        Address of the server.
    stats : TransportStats
        Counters that each call updates.
    nursery : trio.Nursery
        Nursery of the tasks that receive responses.
    """

    def __init__(self, address, stats, nursery):
        super().__init__(address, stats)
        self.nursery = nursery
        self.client_connection = None
        self.connect_lock = trio.Lock()

    async def send_request(self, method, payload):
        """Send an encoded request and return the encoded envelope."""
        client_connection = await self._get_client_connection()
        try:
            return await client_connection.call(method, payload)
        except ConnectionLostError as error:
            raise RpcUnreachableError(
                f'cannot reach {self.address}: {error.message}'
            ) from error

    async def _get_client_connection(self):
        async with self.connect_lock:
            if (
                self.client_connection is None
                or self.client_connection.close_error is not None
            ):
                connection = await self._open_connection()
                connection.set_user_timeout(USER_TIMEOUT_MS)
                self.client_connection = _ClientConnection(connection)
                self.nursery.start_soon(self.client_connection.run)
            return self.client_connection

    async def _open_connection(self):
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                return await connect(self.address)
        except ConnectFailedError as error:
            raise RpcNotSentError(
                f'cannot connect to {self.address}: {error.message}'
            ) from error
        except trio.TooSlowError as error:
            raise RpcNotSentError(
                f'cannot connect to {self.address} within'
                f' {CONNECT_TIMEOUT_S} s'
            ) from error

    async def reset(self):
        """Close the current connection; calls in progress on it fail."""
        if self.client_connection is not None:
            self.client_connection.close(
                ConnectionLostError('the client closed the connection')
            )
            self.client_connection = None

    async def aclose(self):
        """Close the connection."""
        await self.reset()


class StreamTransport(Transport):
    """Transport over plain TCP.

    Parameters
    ----------
    nursery : trio.Nursery
        Nursery of the tasks of its channels.
    """

    def __init__(self, nursery):
        super().__init__()
        self.nursery = nursery

    def connect(self, address):
        """Return a channel, which connects on its first call."""
        return StreamChannel(address, self.stats, self.nursery)

    async def serve(
        self, address, handlers, *, task_status=trio.TASK_STATUS_IGNORED
    ):
        """Serve handlers until cancelled."""
        with listen(address) as listener:
            async with trio.open_nursery() as nursery:
                task_status.started(address)
                while True:
                    for connection in await _accept(listener):
                        nursery.start_soon(
                            _serve_connection, connection, handlers
                        )


async def _accept(listener):
    """Wait for a connection and accept all that are pending."""
    while True:
        await trio.lowlevel.wait_readable(listener)
        if connections := _accept_pending(listener):
            return connections
        await trio.sleep(ACCEPT_RETRY_DELAY_S)


def _accept_pending(listener):
    """Accept pending connections while there are file descriptors."""
    connections = []
    while True:
        try:
            sock, _ = listener.accept()
        except ConnectionAbortedError:
            continue
        except OSError:
            return connections
        connection = Connection(sock)
        connection.set_user_timeout(USER_TIMEOUT_MS)
        connections.append(connection)


async def _serve_connection(connection, handlers):
    """Serve one connection; its calls are cancelled when it ends."""
    stream = _FrameStream(connection)
    with connection:
        async with trio.open_nursery() as nursery:
            try:
                while True:
                    frame = await stream.receive()
                    nursery.start_soon(_handle_call, stream, frame, handlers)
            except ConnectionLostError:
                nursery.cancel_scope.cancel()


async def _handle_call(stream, frame, handlers):
    try:
        payload = await dispatch(handlers, frame.method, frame.payload)
    except InvariantError:
        raise
    except Exception as error:
        log_event(
            PROCEDURE_FAILED,
            method=frame.method,
            error=repr(error),
            exc_info=True,
        )
        payload = encode_error(RpcInternalError(repr(error)))
    try:
        await stream.send(_Frame(frame.call_id, '', payload))
    except ConnectionLostError:
        # The client notices the lost connection as well.
        return


@asynccontextmanager
async def open_stream_transport():
    """Yield a plain TCP transport and stop its tasks on exit."""
    async with trio.open_nursery() as nursery:
        yield StreamTransport(nursery)
        nursery.cancel_scope.cancel()
