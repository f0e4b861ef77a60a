"""One task for each connection: requests are answered in their order."""

from math import inf

import trio

from snipelead.callers.events import CALL_FAILED
from snipelead.callers.exceptions import BadRequestError
from snipelead.callers.exceptions import CallError
from snipelead.callers.exceptions import RequestHeadTooLargeError
from snipelead.callers.exceptions import TooManyConnectionsError
from snipelead.callers.exceptions import UpgradeUnsupportedError
from snipelead.callers.execution import finish_cancelled_call
from snipelead.callers.execution import finish_failed_call
from snipelead.callers.execution import send_error_response
from snipelead.callers.protocol import DEFAULT_CALLER_PROTOCOL
from snipelead.callers.request import CallerReader
from snipelead.callers.request import Request
from snipelead.exceptions import InvariantError
from snipelead.http.connection import Connection
from snipelead.http.exceptions import HeadTooLargeError
from snipelead.http.exceptions import MalformedMessageError
from snipelead.http.exceptions import UpgradeRefusedError
from snipelead.logs import log_event
from snipelead.types import Ran

__all__ = ['ConnectionServer']

# A connection idle at the start of a drain still gets this long, in
# seconds, for a request that is already on its way.
DRAIN_IDLE_TIMEOUT_S = 0.5
# Pause after an accept fails for want of descriptors, in seconds.
ACCEPT_RETRY_DELAY_S = 0.1


class ConnectionServer:
    """Accepts connections and serves each in a task of its own.

    A cancel scope and a time limit for each request would cost more than
    the rest of the handling. So one scope serves all requests of a
    connection, and :meth:`tick` looks for idle connections.

    Parameters
    ----------
    listener : socket.socket
        Listening socket.
    handle : callable
        Coroutine function of connection and request that answers.
    limits : NodeLimits
        Limits of head, body and number of connections.
    idle_s : float
        A connection without a request is closed after this many seconds.
    max_connections : int or None
        Connections accepted at a time.
    protocol : CallerProtocol
        Header fields of requests and of the system's own answers.

    Attributes
    ----------
    connections : set of Connection
        Connections open.
    active : dict of Connection to Request
        Requests being answered.
    draining : bool
        Whether connections are closed after their current request.
    """

    def __init__(
        self,
        listener,
        handle,
        limits,
        idle_s,
        max_connections=None,
        protocol=DEFAULT_CALLER_PROTOCOL,
    ):
        self.protocol = protocol
        self.listener = listener
        self.handle = handle
        self.limits = limits
        self.idle_timeout_s = idle_s
        self.max_connections = max_connections
        self.connections = set()
        self.active_requests = {}
        self.draining = False
        # Time of the last tick; precise enough to tell idle connections.
        self.last_tick_at = 0.0

    async def run(self, nursery):
        """Accept connections until draining."""
        self.last_tick_at = trio.current_time()
        with self.listener:
            while self.listener.fileno() >= 0:
                try:
                    await trio.lowlevel.wait_readable(self.listener)
                except trio.ClosedResourceError:
                    return
                if not self.accept_pending(nursery):
                    await trio.sleep(ACCEPT_RETRY_DELAY_S)

    def accept_pending(self, nursery):
        """Accept all connections that wait.

        Returns
        -------
        bool
            False when the process has no descriptors left.
        """
        while True:
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                return True
            except ConnectionAbortedError:
                continue
            except OSError:
                return False
            connection = Connection(sock)
            connection.used_at = trio.current_time()
            self.connections.add(connection)
            nursery.start_soon(self.serve, connection)

    def tick(self, now):
        """Close connections that have been idle for too long."""
        self.last_tick_at = now
        for connection in tuple(self.connections):
            idle_s = now - connection.used_at
            if idle_s <= self.idle_timeout_s or self.is_busy(connection):
                continue
            # After a stall of this process a request may wait to be read.
            if connection.is_silent():
                connection.close()

    def is_busy(self, connection):
        """Tell whether a request of a connection is being answered."""
        return connection in self.active_requests

    def drain(self, nursery):
        """Accept no more; close connections after their current request."""
        self.stop_accepting(nursery)
        self.begin_draining()
        for request in self.active_requests.values():
            self.disable_keep_alive(request)

    def stop_accepting(self, nursery):
        """Accept what waits, then close the listening socket."""
        self.accept_pending(nursery)
        trio.lowlevel.notify_closing(self.listener)
        self.listener.close()

    def begin_draining(self):
        """Close each connection after its current request."""
        self.draining = True
        self.idle_timeout_s = DRAIN_IDLE_TIMEOUT_S
        for connection in self.connections:
            connection.used_at = self.last_tick_at

    def disable_keep_alive(self, request):
        """Let a request be the last of its connection, unless more came."""
        reader = request.reader
        if not reader.ready and reader.connection.is_silent():
            request.keep_alive = False

    async def serve(self, connection):
        """Serve one connection until it closes."""
        reader = CallerReader(connection, self.limits, self.protocol)
        try:
            with connection:
                if self._is_over_limit():
                    error = TooManyConnectionsError('too many connections')
                    await self.reject(connection, reader, error)
                    return
                await self.serve_requests(connection, reader)
        finally:
            self.connections.discard(connection)
            self.active_requests.pop(connection, None)

    async def serve_requests(self, connection, reader):
        """Serve the requests of one connection, one after another."""
        while await self._serve_in_scope(connection, reader):
            pass

    def _is_over_limit(self):
        limit = self.max_connections
        return limit is not None and len(self.connections) > limit

    async def _serve_in_scope(self, connection, reader):
        """Serve requests until the connection ends or one is cancelled."""
        with trio.CancelScope() as connection.scope:
            while await self._serve_request(connection, reader):
                pass
            return False
        request = self.active_requests.pop(connection, None)
        if request is None:
            # It was cancelled just as its answer had been sent.
            return not connection.closed
        await finish_cancelled_call(connection, request)
        return await self._finish_request(connection, request)

    async def _serve_request(self, connection, reader):
        """Answer one request; returns whether another may follow."""
        try:
            request = await self.next_request(reader)
        except CallError as error:
            await self.reject(connection, reader, error)
            return False
        if request is None:
            return False
        if self.draining:
            self.disable_keep_alive(request)
        await self.handle_request(connection, request)
        return await self._finish_request(connection, request)

    async def _finish_request(self, connection, request):
        connection.used_at = self.last_tick_at
        if connection.closed:
            return False
        if not request.keep_alive or not request.complete:
            await connection.finish()
            return False
        return True

    async def handle_request(self, connection, request):
        """Handle one request; it stays active when it is cancelled."""
        self.active_requests[connection] = request
        try:
            await self.handle(connection, request)
        except CallError as error:
            await send_error_response(connection, request, error, error.ran)
        except InvariantError:
            raise
        except Exception as error:
            # One request must not end the calls of all others.
            log_event(CALL_FAILED, error=repr(error))
            await finish_failed_call(connection, request)
        # After a cancellation the entry stays for end_cancelled.
        del self.active_requests[connection]
        if connection.scope.deadline != inf:
            connection.scope.deadline = inf

    async def next_request(self, reader):
        """Return the next request, or None when the caller is done.

        Raises
        ------
        CallError
            If the bytes received are no request that is served.
        """
        if reader.ready:
            return reader.ready.popleft()
        try:
            return await reader.next_request()
        except HeadTooLargeError as error:
            raise RequestHeadTooLargeError(error.message) from error
        except UpgradeRefusedError as error:
            raise UpgradeUnsupportedError(error.message) from error
        except MalformedMessageError as error:
            raise BadRequestError(error.message) from error

    async def reject(self, connection, reader, error):
        """Answer what is no request, or none that is wanted, and close."""
        await send_error_response(connection, Request(reader), error, Ran.NO)
        if not connection.closed:
            await connection.finish()
