"""RPC transport over gRPC, based on grpclib and trio-asyncio.

Requests and responses are encoded before they reach this module, so that the
codec passes bytes through and no generated code is needed. All use of the
transport has to happen inside :func:`open_grpc_transport`, which runs the
asyncio loop.
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
from grpclib.server import Server
import trio
from trio_asyncio import aio_as_trio
from trio_asyncio import open_loop
from trio_asyncio import trio_as_aio

from snipelead.exceptions import InvariantError
from snipelead.logs import log_event
from snipelead.rpc.base import Channel
from snipelead.rpc.base import CONNECT_TIMEOUT_S
from snipelead.rpc.base import dispatch
from snipelead.rpc.base import Transport
from snipelead.rpc.events import CONNECTION_FAILED
from snipelead.rpc.events import PROCEDURE_FAILED
from snipelead.rpc.exceptions import RpcNotSentError
from snipelead.rpc.exceptions import RpcUnreachableError

__all__ = ['GrpcChannel', 'GrpcTransport', 'open_grpc_transport']

SERVICE_PATH = '/s'

# This logger only reports errors that this module logs as numbered events and
# lost connections, which the client notices as well.
logging.getLogger('grpclib.server').setLevel(logging.CRITICAL)


class _BytesCodec(CodecBase):
    """Codec that passes encoded messages through unchanged."""

    __content_subtype__ = 'msgpack'

    def encode(self, message, message_type):
        return message

    def decode(self, data, message_type):
        return data


def _split_address(address):
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)


class GrpcChannel(Channel):
    """Channel over one HTTP/2 connection.

    Attributes
    ----------
    connection : grpclib.client.Channel or None
        Current connection, None until the first call and after a failure.
        A call may open a replaced connection again and closes it in the end.
    """

    def __init__(self, address, stats):
        super().__init__(address, stats)
        self.connection = None

    def _get_connection(self):
        if self.connection is None:
            host, port = _split_address(self.address)
            self.connection = GrpcClientChannel(
                host, port, codec=_BytesCodec()
            )
        return self.connection

    async def send_request(self, method, payload):
        """Send an encoded request and return the encoded envelope."""
        connection = self._get_connection()
        try:
            await self._open(connection)
            return await self._call(connection, method, payload)
        finally:
            if self.connection is not connection:
                connection.close()

    async def _open(self, connection):
        """Open a connection, unless it is open."""
        try:
            # asyncio.wait_for may lose a cancellation.
            with trio.fail_after(CONNECT_TIMEOUT_S):
                await aio_as_trio(connection.__connect__)()
        except OSError as error:
            self._discard(connection)
            raise RpcNotSentError(
                f'cannot connect to {self.address}: {error}'
            ) from error
        except trio.TooSlowError as error:
            self._discard(connection)
            raise RpcNotSentError(
                f'cannot connect to {self.address} within'
                f' {CONNECT_TIMEOUT_S} s'
            ) from error

    async def _call(self, connection, method, payload):
        stub = UnaryUnaryMethod(
            connection, f'{SERVICE_PATH}/{method}', bytes, bytes
        )
        try:
            return await aio_as_trio(stub)(payload)
        # grpclib raises errors of many types if the connection closes.
        except Exception as error:
            self._discard(connection)
            raise RpcUnreachableError(
                f'cannot reach {self.address}: {error}'
            ) from error

    def _discard(self, connection):
        """Close a failed connection, unless it was already replaced."""
        if self.connection is connection:
            connection.close()
            self.connection = None

    async def reset(self):
        """Close the current connection; calls in progress on it fail."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    async def aclose(self):
        """Close the connection."""
        await self.reset()


class _Service:
    """Adapter between the grpclib server and trio handlers.

    Parameters
    ----------
    handlers : Handlers
        Handlers by request type.

    Attributes
    ----------
    closing : bool
        Whether the server is stopping. Its connections stay open for a
        short time, but new calls on them are rejected.
    invariant_error : InvariantError or None
        Error of a handler that has to stop the process.
    failed : trio.Event
        Set together with ``invariant_error``.
    """

    def __init__(self, handlers):
        self.handlers = handlers
        self.closing = False
        self.invariant_error = None
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
            await stream.send_message(await self._dispatch(method, payload))

        return handle

    async def _dispatch(self, method, payload):
        if self.closing:
            raise GRPCError(Status.UNAVAILABLE, 'the server is stopping')
        try:
            return await trio_as_aio(dispatch)(self.handlers, method, payload)
        except CancelledError:
            if not self.closing:
                raise
            raise GRPCError(
                Status.UNAVAILABLE, 'the server is stopping'
            ) from None
        except InvariantError as error:
            self.invariant_error = error
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
        """Return a channel, which connects on its first call."""
        return GrpcChannel(address, self.stats)

    async def serve(
        self, address, handlers, *, task_status=trio.TASK_STATUS_IGNORED
    ):
        """Serve handlers until cancelled.

        Raises
        ------
        InvariantError
            If a handler raised it.
        """
        service = _Service(handlers)
        server = Server([service], codec=_BytesCodec())
        host, port = _split_address(address)
        await aio_as_trio(server.start)(host, port)
        try:
            task_status.started(address)
            await service.failed.wait()
            raise service.invariant_error
        finally:
            service.closing = True
            server.close()


def _log_connection_error(loop, context):
    """Log an error of the loop, which by default ends the process."""
    log_event(
        CONNECTION_FAILED,
        error=repr(context.get('exception') or context['message']),
    )


@asynccontextmanager
async def open_grpc_transport():
    """Run an asyncio loop under trio and yield a gRPC transport."""
    async with open_loop() as loop:
        loop.set_exception_handler(_log_connection_error)
        yield GrpcTransport()
