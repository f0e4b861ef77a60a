"""Server that handles each connection in a task, one request at a time."""

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
from snipelead.http.budget import CallerBudget
from snipelead.http.budget import LimitKind
from snipelead.http.connection import ACCEPT_RETRY_DELAY_S
from snipelead.http.connection import Connection
from snipelead.http.exceptions import HeadTooLargeError
from snipelead.http.exceptions import MalformedMessageError
from snipelead.http.exceptions import UpgradeRefusedError
from snipelead.logs import log_event
from snipelead.types import Ran

__all__ = ['ConnectionServer']

# Idle timeout while draining. It leaves time for a request that the caller
# sent before it noticed the drain.
DRAIN_IDLE_TIMEOUT_S = 0.5
# If two ticks are further apart, this process was paused.
PAUSE_THRESHOLD_S = 1.5
# Requests that arrived during a pause are read within this time after it.
PAUSE_RECOVERY_S = 1.0
# Once the limit of connections is reached, those that have been idle for this
# time are closed in favour of new ones.
MIN_IDLE_S = 1.0
_MS_PER_S = 1_000


class ConnectionServer:
    """Accepts connections and serves each in its own task.

    A cancel scope and a timeout per request would cost more than the rest of
    the request handling. Therefore all requests of a connection share one
    cancel scope, and :meth:`tick` closes idle connections.

    Parameters
    ----------
    listener : socket.socket
        Listening socket.
    handle : callable
        Coroutine function of connection and request that sends the response.
    limits : NodeLimits
        Limits of request head and body.
    idle_timeout_s : float
        Time in seconds after which an idle connection is closed.
    max_connections : int or None
        Limit of open connections; None for no limit.
    protocol : CallerProtocol
        Header fields of requests and of error responses.
    budget : CallerBudget or None
        Limits of all servers of the process; None for those of this server
        alone.

    Attributes
    ----------
    connections : set of Connection
        Open connections.
    active_requests : dict of Connection to Request
        Requests being handled.
    draining : bool
        Whether connections are closed after their current request.
    last_tick_at : float
        Time of the last tick in seconds of trio's clock; precise enough to
        detect idle connections.
    pause_ended_at : float
        When this process last continued after a pause, in seconds of trio's
        clock.
    """

    def __init__(
        self,
        listener,
        handle,
        limits,
        idle_timeout_s,
        max_connections=None,
        protocol=DEFAULT_CALLER_PROTOCOL,
        budget=None,
    ):
        self.protocol = protocol
        self.budget = budget or CallerBudget(limits.buffer_bytes)
        self.listener = listener
        self.handle = handle
        self.limits = limits
        self.idle_timeout_s = idle_timeout_s
        self.max_connections = max_connections
        self.connections = set()
        self.active_requests = {}
        self.draining = False
        self.last_tick_at = 0.0
        self.pause_ended_at = -inf

    async def run(self, nursery):
        """Accept connections until the listening socket is closed.

        Parameters
        ----------
        nursery : trio.Nursery
            Runs the task of each connection.
        """
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
        """Accept all connections in the backlog.

        Returns
        -------
        bool
            False if the process has no file descriptor left.
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
            if not self.budget.make_room():
                connection.close()
                continue
            connection.last_used_at = trio.current_time()
            connection.account = self.budget.open_account(connection, self)
            self.connections.add(connection)
            nursery.start_soon(self.serve, connection)

    def tick(self, now):
        """Close connections that exceeded the idle timeout.

        Parameters
        ----------
        now : float
            Time in seconds of trio's clock.
        """
        if self._was_paused(now):
            self.pause_ended_at = now
        self.last_tick_at = now
        was_paused = self.pause_ended_at == now
        for connection in tuple(self.connections):
            if connection.send_blocked_at != inf:
                self._check_unread_response(connection, now, was_paused)
            if connection.head_started_at != inf:
                self._check_incomplete_head(connection, now)
            idle_s = now - connection.last_used_at
            if idle_s <= self.idle_timeout_s or self.is_busy(connection):
                continue
            # If this process was stalled, a request may be waiting in the
            # receive buffer of the socket.
            if connection.is_idle():
                connection.close()

    def _check_unread_response(self, connection, now, was_paused):
        """Close the connection if its peer does not read a response."""
        if was_paused:
            connection.send_blocked_at = now
        if connection.closed:
            return
        connection.note_progress(now)
        blocked_s = now - connection.send_blocked_at
        if blocked_s > self.limits.response_timeout_ms / _MS_PER_S:
            connection.abort()
            self.budget.count_closed(LimitKind.RESPONSE_TIMEOUT)

    def _check_incomplete_head(self, connection, now):
        """Close the connection if its peer does not complete a head."""
        waited_s = now - connection.head_started_at
        if (
            waited_s > self.limits.head_timeout_ms / _MS_PER_S
            and not self.is_busy(connection)
            # Otherwise the rest may have arrived during a pause.
            and connection.is_idle()
        ):
            connection.abort()
            self.budget.count_closed(LimitKind.HEAD_TIMEOUT)

    def find_protected(self, only_passed_on):
        """Return the connections that must not be closed to make room.

        A connection is protected if a request was passed on to a target and
        the caller behaves.

        Parameters
        ----------
        only_passed_on : bool
            False to include connections whose requests were not passed on.

        Returns
        -------
        set of Connection
        """
        now = trio.current_time()
        protected = set()
        for request in self.active_requests.values():
            was_passed_on = (
                request.call is not None and request.call.outcome is not Ran.NO
            )
            if (
                was_passed_on or not only_passed_on
            ) and not request.is_stalled(now):
                protected.add(request.reader.connection)
        return protected

    def abandon(self, connection):
        """Cancel the calls of a connection that was closed."""
        for request in tuple(self.active_requests.values()):
            call = request.call
            if call is not None and request.reader.connection is connection:
                call.abandon()

    def _was_paused(self, now):
        return now - self.last_tick_at > PAUSE_THRESHOLD_S

    def is_abandoned(self, connection):
        """Return whether a request was abandoned before it was read.

        Its sender gave it up while this process was paused. The time left
        that the request states was measured before the pause.
        """
        now = trio.current_time()
        return (
            self._was_paused(now)
            or now - self.pause_ended_at < PAUSE_RECOVERY_S
        ) and connection.is_hung_up()

    def is_busy(self, connection):
        """Return whether a request of a connection is being handled."""
        return connection in self.active_requests

    def drain(self, nursery):
        """Stop accepting; close connections after their current request."""
        self.stop_accepting(nursery)
        self.begin_draining()
        for request in self.active_requests.values():
            self.disable_keep_alive(request)

    def stop_accepting(self, nursery):
        """Accept the connections in the backlog, then stop listening."""
        self.accept_pending(nursery)
        trio.lowlevel.notify_closing(self.listener)
        self.listener.close()

    def begin_draining(self):
        """Start closing each connection after its current request."""
        self.draining = True
        self.idle_timeout_s = DRAIN_IDLE_TIMEOUT_S
        for connection in self.connections:
            connection.last_used_at = self.last_tick_at

    def disable_keep_alive(self, request):
        """Close the connection after a request, unless another has arrived."""
        reader = request.reader
        if not reader.has_unread_requests and reader.connection.is_idle():
            request.keep_alive = False

    async def serve(self, connection):
        """Serve one connection until it is closed."""
        reader = CallerReader(connection, self.limits, self.protocol)
        try:
            with connection, connection.account:
                if self._is_over_limit() and not self.budget.close_idle(
                    1, self, MIN_IDLE_S
                ):
                    error = TooManyConnectionsError(
                        'the node has reached its limit of caller connections'
                    )
                    await self.reject(connection, reader, error)
                    return
                await self.serve_requests(connection, reader)
        finally:
            self.connections.discard(connection)
            self.active_requests.pop(connection, None)

    async def serve_requests(self, connection, reader):
        """Serve the requests of one connection sequentially."""
        while await self._serve_in_scope(connection, reader):
            pass

    def _is_over_limit(self):
        limit = self.max_connections
        return limit is not None and len(self.connections) > limit

    async def _serve_in_scope(self, connection, reader):
        """Serve requests until the connection closes or one is cancelled.

        Returns
        -------
        bool
            Whether the connection can be used for another request.
        """
        with trio.CancelScope() as connection.cancel_scope:
            while await self._serve_request(connection, reader):
                pass
            return False
        request = self.active_requests.pop(connection, None)
        if request is None:
            # The scope was cancelled after the response had been sent.
            return not connection.closed
        await finish_cancelled_call(connection, request)
        return await self._finish_request(connection, request)

    async def _serve_request(self, connection, reader):
        """Handle one request; return whether another may follow."""
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
        """Close the connection unless it can be used for another request."""
        connection.last_used_at = self.last_tick_at
        request.release_charge()
        if connection.closed:
            return False
        if not request.keep_alive or not request.complete:
            await connection.close_gracefully()
            return False
        return True

    async def handle_request(self, connection, request):
        """Handle one request; it stays active if it is cancelled."""
        if self.is_abandoned(connection):
            self.active_requests.pop(connection, None)
            connection.abort()
            return
        self.active_requests[connection] = request
        try:
            await self.handle(connection, request)
        except CallError as error:
            await send_error_response(connection, request, error, error.ran)
        except InvariantError:
            raise
        except Exception as error:
            # An unexpected error of one request must not end the task that
            # runs all others.
            log_event(CALL_FAILED, error=repr(error))
            await finish_failed_call(connection, request)
        # After a cancellation the entry is kept for finish_cancelled_call().
        del self.active_requests[connection]
        if connection.cancel_scope.deadline != inf:
            connection.cancel_scope.deadline = inf

    async def next_request(self, reader):
        """Return the next request, or None if the caller closed.

        Raises
        ------
        CallError
            If the received bytes are not a valid or supported request.
        """
        if reader.ready_messages:
            return reader.ready_messages.popleft()
        try:
            return await reader.next_request()
        except HeadTooLargeError as error:
            self.budget.count_closed(LimitKind.MALFORMED)
            raise RequestHeadTooLargeError(error.message) from error
        except UpgradeRefusedError as error:
            raise UpgradeUnsupportedError(error.message) from error
        except MalformedMessageError as error:
            self.budget.count_closed(LimitKind.MALFORMED)
            raise BadRequestError(error.message) from error

    async def reject(self, connection, reader, error):
        """Reject a connection or malformed request, and close."""
        await send_error_response(connection, Request(reader), error, Ran.NO)
        if not connection.closed:
            await connection.close_gracefully()
