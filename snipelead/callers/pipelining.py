"""Pipelined requests of one connection, handled side by side.

A caller may send further requests before the first is answered. They are
read ahead and handled concurrently; the answers go out in the order of the
requests.
"""

import trio

from snipelead.callers.connections import ConnectionServer
from snipelead.callers.exceptions import CallError
from snipelead.callers.execution import finish_cancelled_call

__all__ = ['Exchange', 'PipeliningServer']


class Exchange:
    """One request of a connection and the place of its answer.

    It stands in for the connection while the request is handled: what is
    sent waits until all earlier requests have been answered.

    Parameters
    ----------
    pipeline : Pipeline
        Requests of the connection.
    previous : Exchange or None
        The request before this one, if it may still be unanswered.

    Attributes
    ----------
    scope : trio.CancelScope or None
        Scope that the request is handled in.
    ended : trio.Event
        Set once the whole answer was sent, or none will be.
    """

    __slots__ = ('connection', 'finished', 'pipeline', 'previous', 'scope')

    def __init__(self, pipeline, previous):
        self.pipeline = pipeline
        self.connection = pipeline.connection
        self.previous = previous
        self.scope = None
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
        """Whether no later request has been read."""
        return self.pipeline.newest is self

    async def begin_answer(self, request):
        """Wait until the answer to a request may be sent."""
        await self.wait_turn()
        if self.pipeline.server.draining and self.is_last:
            request.keep_alive = False

    async def wait_turn(self):
        """Wait until all earlier requests have been answered."""
        if self.previous is not None:
            await self.previous.finished.wait()
            self.previous = None

    async def send(self, data):
        """Send all bytes, in turn.

        Raises
        ------
        SendFailedError
            If the connection was reset or closed here.
        """
        await self.wait_turn()
        await self.connection.send(data)

    def send_now(self, data):
        """Send nothing; only an answer in turn may be sent."""
        return len(data)

    def abort(self):
        """Reset the connection."""
        self.connection.abort()

    def close(self):
        """Close the connection."""
        self.connection.close()


class Pipeline:
    """Requests of one connection that are being handled.

    Parameters
    ----------
    server : PipeliningServer
        Handles the requests.
    connection : Connection
        The connection.
    reader : CallerReader
        Reads its requests.

    Attributes
    ----------
    newest : Exchange or None
        The request that was read last.
    open : int
        Requests that are not answered yet.
    reading : trio.CancelScope
        Cancelled when no further request is to be read.
    ends : bool
        Whether the connection is closed after the answers.
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
        """Handle requests until the connection ends."""
        async with trio.open_nursery() as nursery:
            with self.reading_scope:
                while await self._start_request(nursery):
                    pass
        if not self.connection.closed and self.close_after_responses:
            await self.connection.finish()

    async def _start_request(self, nursery):
        """Read one request; returns whether another may follow."""
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
        # Its task starts later; until then the connection must not look idle.
        self.server.active_requests[exchange] = request
        nursery.start_soon(self._handle_request, exchange, request)
        await request.wait_reader_released()
        # A caller that always has a further request under way would keep
        # the connection open for as long as the node drains.
        if not request.keep_alive or self.server.draining:
            return False
        while self.unanswered >= self.server.depth:
            await self._request_finished.wait()
        return True

    async def _handle_request(self, exchange, request):
        try:
            with trio.CancelScope() as exchange.scope:
                await self.server.handle_request(exchange, request)
            if self.server.active_requests.pop(exchange, None) is not None:
                await finish_cancelled_call(exchange, request)
            self._finish_exchange(exchange, request)
        finally:
            self.unanswered -= 1
            exchange.finished.set()
            exchange.previous = None
            request.release_reader()
            self._request_finished.set()
            self._request_finished = trio.Event()

    def _finish_exchange(self, exchange, request):
        connection = self.connection
        connection.used_at = self.server.last_tick_at
        if connection.closed:
            self.reading_scope.cancel()
            self._abandon_others()
        elif not request.keep_alive or not request.complete:
            self.close_after_responses = True
            self.reading_scope.cancel()

    def _abandon_others(self):
        """Cancel the other requests of a connection that is closed."""
        for exchange, request in tuple(self.server.active_requests.items()):
            if exchange.connection is not self.connection:
                continue
            if request.call is not None:
                request.call.abandon()
            elif exchange.scope is not None:
                exchange.scope.cancel()


class PipeliningServer(ConnectionServer):
    """Accepts connections whose requests are handled side by side.

    Parameters
    ----------
    listener, handle, limits, idle_s, max_connections, protocol
        As for :class:`ConnectionServer`.
    depth : int
        Requests of one connection that are handled at a time.
    """

    def __init__(self, *args, depth, **kwargs):
        super().__init__(*args, **kwargs)
        self.depth = depth

    def is_busy(self, connection):
        """Tell whether a request of a connection is being answered."""
        return any(
            exchange.connection is connection
            for exchange in self.active_requests
        )

    def drain(self, nursery):
        """Accept no more; close connections after their current request."""
        self.stop_accepting(nursery)
        self.begin_draining()

    async def serve_requests(self, connection, reader):
        """Serve the requests of one connection until it closes."""
        await Pipeline(self, connection, reader).run()
