"""Transport over gRPC, by grpclib under trio-asyncio.

Messages are already encoded when they get here, so the codec passes bytes
through and no generated code is needed. The process's main task must run
inside :func:`open_transport`.
"""

from asyncio import CancelledError
from contextlib import asynccontextmanager
import logging

from grpclib.client import Channel as GrpcClientChannel
from grpclib.client import UnaryUnaryMethod
from grpclib.const import Cardinality
from grpclib.const import Handler
from grpclib.const import Status
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError
from grpclib.server import Server
import trio
from trio_asyncio import aio_as_trio
from trio_asyncio import open_loop
from trio_asyncio import trio_as_aio

from snipelead.exceptions import InvariantError
from snipelead.logs import log_event
from snipelead.rpc.base import Channel
from snipelead.rpc.base import dispatch
from snipelead.rpc.base import Transport
from snipelead.rpc.events import PROCEDURE_FAILED
from snipelead.rpc.exceptions import RpcNotSentError
from snipelead.rpc.exceptions import RpcUnreachableError

__all__ = ['GrpcChannel', 'GrpcTransport', 'open_transport']

SERVICE_PATH = '/s'

# What grpclib says there is either logged by number here, or is the loss of
# a connection, which the other end notices.
logging.getLogger('grpclib.server').setLevel(logging.CRITICAL)


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
    """Adapter from grpclib's server to trio handlers.

    Attributes
    ----------
    closing : bool
        Whether the server stops. Its connections stay open for a moment,
        but calls on them are no longer run.
    failure : InvariantError or None
        Broken rule that has to stop the process.
    """

    def __init__(self, handlers):
        self.handlers = handlers
        self.closing = False
        self.failure = None
        self.failed = trio.Event()

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
            await stream.send_message(await self._run(method, payload))

        return handle

    async def _run(self, method, payload):
        if self.closing:
            raise GRPCError(Status.UNAVAILABLE, 'the server stopped')
        try:
            return await trio_as_aio(dispatch)(self.handlers, method, payload)
        except CancelledError:
            if not self.closing:
                raise
            raise GRPCError(Status.UNAVAILABLE, 'the server stopped') from None
        except InvariantError as error:
            self.failure = error
            self.failed.set()
            raise GRPCError(Status.INTERNAL, str(error)) from error
        except Exception as error:
            log_event(
                PROCEDURE_FAILED,
                method=method,
                error=repr(error),
                exc_info=True,
            )
            raise GRPCError(Status.INTERNAL, repr(error)) from error


class GrpcTransport(Transport):
    """Transport over gRPC."""

    def connect(self, address):
        """Return a channel to an address; connects when used."""
        return GrpcChannel(address, self.stats)

    async def serve(
        self, address, handlers, *, task_status=trio.TASK_STATUS_IGNORED
    ):
        """Serve handlers until cancelled."""
        service = _Service(handlers)
        server = Server([service], codec=_BytesCodec())
        host, port = _split_address(address)
        await aio_as_trio(server.start)(host, port)
        try:
            task_status.started(address)
            await service.failed.wait()
            raise service.failure
        finally:
            service.closing = True
            server.close()


@asynccontextmanager
async def open_transport():
    """Run an asyncio loop inside trio and yield a transport on it."""
    async with open_loop():
        yield GrpcTransport()
