"""Concurrent handling of pipelined requests.

A caller may send further requests on a connection before it has received the
response to the first. They are read ahead and handled concurrently; the
responses are sent in the order of the requests.
"""

import trio

from snipelead.callers.connections import ConnectionServer
from snipelead.callers.exceptions import CallError
from snipelead.callers.execution import finish_cancelled_call

__all__ = ['Exchange', 'PipeliningServer']


class Exchange:
    """One request on a connection and its response.

    It takes the place of the connection while the request is handled and
    delays sending until all earlier responses have been sent.

    Parameters
    ----------
    pipeline : Pipeline
        Pipeline that the request belongs to.
    previous : Exchange or None
        Exchange of the preceding request.

    Attributes
    ----------
    connection : Connection
        Connection that the request was received on.
    cancel_scope : trio.CancelScope or None
        Cancel scope that the request is handled in.
    finished : trio.Event
        Set once the response was sent or the request was given up.
    """

    __slots__ = (
        'cancel_scope',
        'connection',
        'finished',
        'pipeline',
        'previous',
    )

    def __init__(self, pipeline, previous):
        self.pipeline = pipeline
        self.connection = pipeline.connection
        self.previous = previous
        self.cancel_scope = None
        self.finished = trio.Event()

    @property
    def closed(self):
        """Whether the connection is closed."""
        return self.connection.closed

    @property
    def sock(self):
        """Socket of the connection."""
        return self.connection.sock

    @property
    def is_last(self):
        """Whether this is the last request read from the connection."""
        return self.pipeline.newest is self

    async def wait_for_response_turn(self, request):
        """Wait until the response to a request may be sent."""
        await self.wait_turn()
        if self.pipeline.server.draining and self.is_last:
            request.keep_alive = False

    async def wait_turn(self):
        """Wait until all earlier responses have been sent."""
        if self.previous is not None:
            await self.previous.finished.wait()
            self.previous = None

    async def send(self, data):
        """Send all bytes once all earlier responses have been sent.

        Raises
        ------
        SendFailedError
            If the connection was reset, or closed by this process.
        """
        await self.wait_turn()
        await self.connection.send(data)

    def send_nowait(self, data):
        """Send nothing, since earlier responses may not have been sent."""
        return len(data)

    def is_hung_up(self):
        """Return whether the peer closed or reset the connection."""
        return self.connection.is_hung_up()

    def abort(self):
        """Reset the connection."""
        self.connection.abort()

    def close(self):
        """Close the connection."""
        self.connection.close()


class Pipeline:
    """Requests of one connection that are handled concurrently.

    Parameters
    ----------
    server : PipeliningServer
        Server that handles the requests.
    connection : Connection
        Connection to serve.
    reader : CallerReader
        Reads requests from the connection.

    Attributes
    ----------
    newest : Exchange or None
        Exchange of the last request read.
    unanswered : int
        Number of requests without a complete response.
    reading_scope : trio.CancelScope
        Cancelled when no further requests are to be read.
    close_after_responses : bool
        Whether to close the connection after the pending responses.
    """

    def __init__(self, server, connection, reader):
        self.server = server
        self.connection = connection
        self.reader = reader
        self.newest = None
        self.unanswered = 0
        self.reading_scope = trio.CancelScope()
        self.close_after_responses = False
        self._request_finished = trio.Event()

    async def run(self):
        """Handle requests until the connection is closed."""
        async with trio.open_nursery() as nursery:
            with self.reading_scope:
                while await self._start_request(nursery):
                    pass
        if not self.connection.closed and self.close_after_responses:
            await self.connection.close_gracefully()

    async def _start_request(self, nursery):
        """Read one request and start its task; return whether to go on."""
        try:
            request = await self.server.next_request(self.reader)
        except CallError as error:
            if self.newest is not None:
                await self.newest.finished.wait()
            await self.server.reject(self.connection, self.reader, error)
            return False
        if request is None:
            return False
        exchange = self.newest = Exchange(self, self.newest)
        self.unanswered += 1
        # The task starts later; until then the connection must not count as
        # idle.
        self.server.active_requests[exchange] = request
        nursery.start_soon(self._handle_request, exchange, request)
        await request.wait_reader_released()
        # A caller that always has another request in flight would otherwise
        # keep the connection open until the drain times out.
        if not request.keep_alive or self.server.draining:
            return False
        while self.unanswered >= self.server.depth or (
            self.unanswered and self._uses_much()
        ):
            await self._request_finished.wait()
        return True

    def _uses_much(self):
        """Return whether no further request should be read for now."""
        account = self.connection.account
        return (
            account.used_bytes > self.server.limits.connection_buffer_bytes
            or account.budget.is_tight
        )

    async def _handle_request(self, exchange, request):
        try:
            with trio.CancelScope() as exchange.cancel_scope:
                await self.server.handle_request(exchange, request)
            if self.server.active_requests.pop(exchange, None) is not None:
                await finish_cancelled_call(exchange, request)
            self._finish_exchange(exchange, request)
        finally:
            self.unanswered -= 1
            exchange.finished.set()
            exchange.previous = None
            request.release_charge()
            request.release_reader()
            self._request_finished.set()
            self._request_finished = trio.Event()

    def _finish_exchange(self, exchange, request):
        connection = self.connection
        connection.last_used_at = self.server.last_tick_at
        if connection.closed:
            self.reading_scope.cancel()
            self._abandon_others()
        elif not request.keep_alive or not request.complete:
            self.close_after_responses = True
            self.reading_scope.cancel()

    def _abandon_others(self):
        """Cancel the other requests after the connection was closed."""
        for exchange, request in tuple(self.server.active_requests.items()):
            if exchange.connection is not self.connection:
                continue
            if request.call is not None:
                request.call.abandon()
            elif exchange.cancel_scope is not None:
                exchange.cancel_scope.cancel()


class PipeliningServer(ConnectionServer):
    """Accepts connections and handles their requests concurrently.

    Parameters
    ----------
    *args, **kwargs : object
        Parameters of :class:`ConnectionServer`.
    depth : int
        Limit of concurrent requests on one connection.
    """

    def __init__(self, *args, depth, **kwargs):
        super().__init__(*args, **kwargs)
        self.depth = depth

    def is_busy(self, connection):
        """Return whether a request of a connection is being handled."""
        return any(
            exchange.connection is connection
            for exchange in self.active_requests
        )

    def drain(self, nursery):
        """Stop accepting; close connections after their pending requests."""
        self.stop_accepting(nursery)
        self.begin_draining()

    async def serve_requests(self, connection, reader):
        """Serve the requests of one connection concurrently."""
        await Pipeline(self, connection, reader).run()
