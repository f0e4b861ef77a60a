"""Minimal HTTP server for the platform's interfaces.

It serves connections in the same way as those of clients.
"""

from contextlib import suppress

import trio

from snipelead.callers.connections import ConnectionServer
from snipelead.callers.exceptions import RequestTimeoutError
from snipelead.http.connection import listen
from snipelead.http.exceptions import INCOMPLETE_MESSAGE_ERRORS
from snipelead.http.writing import encode_head
from snipelead.http.writing import status_line
from snipelead.settings.schema import NodeLimits

__all__ = ['HttpResponse', 'serve_interface']

IDLE_TIMEOUT_S = 60.0
# Configurations sent by operators may be large.
DEFAULT_MAX_BODY_BYTES = 32 * 1024 * 1024
# Generous for the largest body on a slow link.
BODY_TIMEOUT_S = 300.0
TICK_INTERVAL_S = 1.0


class HttpResponse:
    """Complete HTTP response.

    Parameters
    ----------
    status : int
        HTTP status code.
    body : bytes
        Response body.
    content_type : bytes
        Media type of the body.
    field_lines : tuple of bytes
        Additional header fields, each ``name: value``.
    """

    __slots__ = ('body', 'content_type', 'field_lines', 'status')

    def __init__(
        self,
        status,
        body=b'',
        content_type=b'application/json',
        field_lines=(),
    ):
        self.status = status
        self.body = body
        self.content_type = content_type
        self.field_lines = field_lines

    def encode(self, keep_alive):
        """Encode the response.

        Parameters
        ----------
        keep_alive : bool
            Whether the connection is kept open.

        Returns
        -------
        bytes
        """
        field_lines = [
            b'Content-Type: ' + self.content_type,
            b'Content-Length: %d' % len(self.body),
            *self.field_lines,
        ]
        if not keep_alive:
            field_lines.append(b'Connection: close')
        return encode_head(status_line(self.status), field_lines) + self.body


async def serve_interface(
    address,
    handle_request,
    budget=None,
    max_body_bytes=DEFAULT_MAX_BODY_BYTES,
    *,
    task_status=trio.TASK_STATUS_IGNORED,
):
    """Serve an HTTP interface until cancelled.

    Parameters
    ----------
    address : Address
        Listening address.
    handle_request : callable
        Coroutine function of the method, the path without its query and the
        body, all bytes; returns an :class:`HttpResponse`.
    budget : CallerBudget or None
        Limits of all connections that the process accepts; None for limits of
        this interface alone.
    max_body_bytes : int
        Maximum size of a request body.
    task_status : trio.TaskStatus
        Notified once the server is listening.
    """

    async def handle(connection, request):
        request.check_body_size()
        with trio.move_on_after(BODY_TIMEOUT_S) as scope:
            await request.receive_body(request.max_body_bytes)
        if scope.cancelled_caught:
            raise RequestTimeoutError(
                f'the request body was incomplete after {BODY_TIMEOUT_S} s'
            )
        body = request.take_buffered_body()
        path = request.url.partition(b'?')[0]
        response = await handle_request(request.method, path, body)
        with suppress(*INCOMPLETE_MESSAGE_ERRORS):
            await connection.send(response.encode(request.keep_alive))

    listener = listen(address)
    limits = NodeLimits(body_bytes=max_body_bytes)
    server = ConnectionServer(
        listener, handle, limits, IDLE_TIMEOUT_S, budget=budget
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.run, nursery)
        task_status.started()
        while True:
            await trio.sleep(TICK_INTERVAL_S)
            server.tick(trio.current_time())
