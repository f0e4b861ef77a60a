"""Requests that a node sends to the target beside it."""

import trio

from snipelead.callers.exceptions import AnswerLostError
from snipelead.callers.exceptions import TargetUnreachableError
from snipelead.http.exceptions import ConnectFailedError
from snipelead.http.exceptions import LOST_ERRORS
from snipelead.http.exceptions import SendFailedError
from snipelead.http.pool import ConnectionPool
from snipelead.http.writing import send_message
from snipelead.types import Ran

__all__ = ['TargetSender']

# Shorter than the keep-alive timeout of usual servers (5 s).
IDLE_S = 4.0


class TargetSender:
    """Connections to the targets beside a node; closes them on exit.

    Parameters
    ----------
    max_idle : int
        Idle connections kept for each target.
    """

    def __init__(self, max_idle=64):
        self.pool = ConnectionPool(IDLE_S, max_idle)

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.pool.__exit__(*exc_info)

    async def acquire(self, address):
        """Return a reader of a connection to a target.

        Raises
        ------
        TargetUnreachableError
            If the target refuses connections; nothing was sent.
        """
        reader = self.pool.take(address)
        if reader is not None:
            return reader
        try:
            return await self.pool.open(address)
        except ConnectFailedError as error:
            raise TargetUnreachableError(error.message) from error

    async def exchange(self, reader, call, request):
        """Send a request and return the head of its response.

        From here on the request may have run: ``call.ran`` is UNKNOWN until
        the head of the response is there, then YES.

        Raises
        ------
        AnswerLostError
            If the connection was lost before that.
        """
        line = b'%b %b HTTP/1.1' % (request.method, request.url)
        deadline_ms = b'X-Deadline-Ms: %d' % call.remaining_ms()
        lines = [*request.lines, deadline_ms]
        call.ran = Ran.UNKNOWN
        sent_at = trio.current_time()
        try:
            await self._send(reader, line, lines, request)
            response = await self._next_final(reader, request)
        except LOST_ERRORS as error:
            raise AnswerLostError(
                'the connection to the target was lost', ran=Ran.UNKNOWN
            ) from error
        call.ran = Ran.YES
        call.target_s = trio.current_time() - sent_at
        return response

    async def _send(self, reader, line, lines, request):
        try:
            await send_message(reader.connection, line, lines, request)
        except SendFailedError:
            # A target may answer early and close; its answer counts.
            return

    async def _next_final(self, reader, request):
        while True:
            response = await reader.next_response(request.method == b'HEAD')
            if not response.is_interim:
                return response

    def release(self, address, reader, response):
        """Take back a connection, or close it when it cannot be reused."""
        if response.complete and response.keep_alive:
            self.pool.release(address, reader)
        else:
            reader.connection.close()
