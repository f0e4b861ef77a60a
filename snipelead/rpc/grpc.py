"""Transport over gRPC, by grpclib under trio-asyncio.

Messages are already encoded when they get here, so the codec passes bytes
through and no generated code is needed. The process's main task must run
inside :func:`open_transport`.
"""

from contextlib import asynccontextmanager

from grpclib.client import Channel as GrpcClientChannel
from grpclib.client import UnaryUnaryMethod
from grpclib.const import Cardinality
from grpclib.const import Handler
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError
from grpclib.server import Server
import trio
from trio_asyncio import aio_as_trio
from trio_asyncio import open_loop
from trio_asyncio import trio_as_aio

from snipelead.rpc.base import Channel
from snipelead.rpc.base import dispatch
from snipelead.rpc.base import Transport
from snipelead.rpc.exceptions import RpcNotSentError
from snipelead.rpc.exceptions import RpcUnreachableError

__all__ = ['GrpcChannel', 'GrpcTransport', 'open_transport']

SERVICE_PATH = '/s'


class _BytesCodec(CodecBase):
    __content_subtype__ = 'msgpack'

    def encode(self, message, message_type):
        return message

    def decode(self, data, message_type):
        return data


def _split_address(address):
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)


class _ConnectError(Exception):
    """The connection could not be opened."""


async def _exchange(connection, method, payload):
    """Connect if needed and make one call, under asyncio."""
    try:
        await connection.__connect__()
    except OSError as error:
        raise _ConnectError(str(error)) from error
    stub = UnaryUnaryMethod(
        connection, f'{SERVICE_PATH}/{method}', bytes, bytes
    )
    return await stub(payload)


class GrpcChannel(Channel):
    """Channel over one HTTP/2 connection."""

    def __init__(self, address, stats):
        super().__init__(address, stats)
        self.connection = None

    def _connection(self):
        if self.connection is None:
            host, port = _split_address(self.address)
            self.connection = GrpcClientChannel(
                host, port, codec=_BytesCodec()
            )
        return self.connection

    async def exchange(self, method, payload):
        """Send an encoded request and return the encoded envelope."""
        connection = self._connection()
        try:
            return await aio_as_trio(_exchange)(connection, method, payload)
        except _ConnectError as error:
            self._drop(connection)
            raise RpcNotSentError(
                f'cannot connect to {self.address}: {error}'
            ) from error
        except (GRPCError, StreamTerminatedError, OSError) as error:
            self._drop(connection)
            raise RpcUnreachableError(
                f'cannot reach {self.address}: {error}'
            ) from error

    def _drop(self, connection):
        """Close a connection that failed, unless it was replaced already."""
        if self.connection is connection:
            connection.close()
            self.connection = None

    async def reset(self):
        """Drop the current connection; calls in flight on it fail."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    async def aclose(self):
        """Close the connection."""
        await self.reset()


class _Service:
    """Adapter from grpclib's server to trio handlers."""

    def __init__(self, handlers):
        self.handlers = handlers

    def __mapping__(self):
        return {
            f'{SERVICE_PATH}/{request_type.__name__}': Handler(
                self._make_handler(request_type.__name__),
                Cardinality.UNARY_UNARY,
                bytes,
                bytes,
            )
            for request_type in self.handlers
        }

    def _make_handler(self, method):
        async def handle(stream):
            payload = await stream.recv_message()
            if payload is None:
                return
            answer = await trio_as_aio(dispatch)(
                self.handlers, method, payload
            )
            await stream.send_message(answer)

        return handle


class GrpcTransport(Transport):
    """Transport over gRPC."""

    def connect(self, address):
        """Return a channel to an address; connects when used."""
        return GrpcChannel(address, self.stats)

    async def serve(
        self, address, handlers, *, task_status=trio.TASK_STATUS_IGNORED
    ):
        """Serve handlers until cancelled."""
        server = Server([_Service(handlers)], codec=_BytesCodec())
        host, port = _split_address(address)
        await aio_as_trio(server.start)(host, port)
        try:
            task_status.started(address)
            await trio.sleep_forever()
        finally:
            server.close()


@asynccontextmanager
async def open_transport():
    """Run an asyncio loop inside trio and yield a transport on it."""
    async with open_loop():
        yield GrpcTransport()
