"""Client side of the connections from a node to its local targets."""

from contextlib import suppress
from math import inf

import trio

from snipelead.callers.exceptions import MisdirectedRequestError
from snipelead.callers.exceptions import ResponseLostError
from snipelead.callers.exceptions import TargetBusyError
from snipelead.callers.exceptions import TargetUnreachableError
from snipelead.http.exceptions import ConnectFailedError
from snipelead.http.exceptions import ConnectionLostError
from snipelead.http.exceptions import INCOMPLETE_MESSAGE_ERRORS
from snipelead.http.exceptions import MalformedMessageError
from snipelead.http.exceptions import SendFailedError
from snipelead.http.pool import ConnectionPool
from snipelead.http.writing import encode_message
from snipelead.http.writing import send_message
from snipelead.logs import log_event
from snipelead.targets.events import ANSWER_BROKEN
from snipelead.targets.events import ANSWER_STRAY
from snipelead.targets.protocol import DEFAULT_TARGET_PROTOCOL
from snipelead.targets.protocol import ResponseKind
from snipelead.targets.status import StatusSource
from snipelead.targets.status import TargetStatuses
from snipelead.types import Ran

__all__ = ['TargetSender']

# Shorter than the common keep-alive timeout of servers (5 s).
IDLE_TIMEOUT_S = 4.0
# The connection is closed after a refusal with a larger body.
MAX_REFUSAL_BYTES = 64 * 1024
# Limits of what a target may send before the response to a request: interim
# responses, late responses to other requests, and the bodies of the latter.
MAX_SKIPPED_RESPONSES = 16
MAX_SKIPPED_BYTES = 64 * 1024


class TargetSender:
    """Sends requests to local targets over pooled connections.

    It is a context manager that closes the idle connections on exit.

    Parameters
    ----------
    protocol : TargetProtocol
        Protocol between the node and its targets.
    max_idle : int
        Maximum number of idle connections kept for each target.
    statuses : TargetStatuses or None
        Receives what the targets state about themselves.
    """

    def __init__(
        self,
        protocol=DEFAULT_TARGET_PROTOCOL,
        max_idle=64,
        statuses=None,
    ):
        self.protocol = protocol
        self.statuses = statuses or TargetStatuses()
        self.pool = ConnectionPool(IDLE_TIMEOUT_S, max_idle, protocol.rules)

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.pool.__exit__(*exc_info)

    async def acquire(self, address):
        """Return a pooled or new connection to a target.

        Parameters
        ----------
        address : Address
            Listening address of the target.

        Returns
        -------
        ResponseReader
            Reader of the connection.

        Raises
        ------
        TargetUnreachableError
            If no connection can be opened; nothing was sent.
        """
        reader = self.pool.acquire(address)
        if reader is not None:
            return reader
        try:
            return await self.pool.open(address)
        except ConnectFailedError as error:
            raise TargetUnreachableError(error.message) from error

    async def send_request(self, reader, call, request, entry):
        """Send a request and return its response.

        Once sending begins, the target may execute the request: ``call.ran``
        is UNKNOWN until the head of the response has been received. It then
        becomes YES, or NO if the target did not execute the request.

        Parameters
        ----------
        reader : ResponseReader
            Reader of a connection to the target.
        call : Call
            Call that the request belongs to; ``ran`` and ``target_time_s`` are
            updated.
        request : Request
            Request to send.
        entry : TargetEntry
            Target that the request is intended for.

        Returns
        -------
        Message
            Response whose body has been received completely if it is within
            the protocol's buffer limit.

        Raises
        ------
        ResponseLostError
            If no complete, valid response was received.
        TargetBusyError, MisdirectedRequestError
            If the target did not execute the request.
        """
        line = b'%b %b HTTP/1.1' % (request.method, request.url)
        field_lines = self.protocol.request_field_lines(
            request, call, entry.target_id
        )
        call.ran = Ran.UNKNOWN
        sent_at = trio.current_time()
        try:
            await self._send(reader, line, field_lines, call, request)
            response = await self._receive_answer(
                reader, call, request, entry, sent_at
            )
            call.target_time_s = trio.current_time() - sent_at
            await self._buffer_body(response)
        except INCOMPLETE_MESSAGE_ERRORS as error:
            if not isinstance(error, ConnectionLostError):
                log_event(
                    ANSWER_BROKEN,
                    request=call.request_id,
                    error=error.message,
                )
            raise ResponseLostError(
                'the connection to the target was lost', ran=call.ran
            ) from error
        return response

    async def _receive_answer(self, reader, call, request, entry, sent_at):
        """Return the response for a call, discarding stray responses."""
        for _ in range(MAX_SKIPPED_RESPONSES):
            response = await reader.next_final_response(
                request.method == b'HEAD'
            )
            kind = self.protocol.classify_response(response, call)
            if kind is not ResponseKind.MISDIRECTED:
                self._record_status(response, kind, entry, sent_at)
            match kind:
                case ResponseKind.ANSWER:
                    call.ran = Ran.YES
                    return response
                case ResponseKind.STRAY:
                    await self._skip_body(response)
                    log_event(ANSWER_STRAY, request=call.request_id)
                case ResponseKind.BUSY:
                    call.ran = Ran.NO
                    with suppress(*INCOMPLETE_MESSAGE_ERRORS):
                        await response.buffer_body(MAX_REFUSAL_BYTES)
                    raise TargetBusyError(
                        'the target is at capacity', response
                    )
                case ResponseKind.MISDIRECTED:
                    call.ran = Ran.NO
                    raise MisdirectedRequestError(
                        'another target listens at the address'
                    )
                case ResponseKind.BROKEN:
                    log_event(
                        ANSWER_BROKEN,
                        request=call.request_id,
                        status=response.status,
                    )
                    raise ResponseLostError(
                        'the response of the target is invalid',
                        ran=Ran.UNKNOWN,
                    )
        raise ResponseLostError(
            'the target sent only responses to other requests', ran=call.ran
        )

    def _record_status(self, response, kind, entry, sent_at):
        source = StatusSource.TARGET
        if kind is ResponseKind.STRAY:
            source, sent_at = StatusSource.OTHER_RESPONSE, -inf
        self.statuses.record(
            entry.target_id,
            entry.target_incarnation,
            self.protocol.read_status(response),
            sent_at,
            source,
        )

    async def _skip_body(self, response):
        skipped_bytes = 0
        while data := await response.read():
            skipped_bytes += len(data)
            if skipped_bytes > MAX_SKIPPED_BYTES:
                raise MalformedMessageError(
                    'the response to another request exceeds'
                    f' {MAX_SKIPPED_BYTES} bytes'
                )

    async def _buffer_body(self, response):
        """Receive the body completely if it is within the buffer limit."""
        limit = self.protocol.max_buffered_bytes
        if limit and (response.content_length or 0) <= limit:
            await response.buffer_body(limit)

    async def _send(self, reader, line, field_lines, call, request):
        """Send a request, unless the target answers it before its end."""
        connection = reader.connection
        reader.request_incomplete = True
        try:
            if request.complete:
                data = encode_message(line, field_lines, request)
                await self._send_complete(reader, data, call)
            else:
                await send_message(connection, line, field_lines, request)
                reader.request_incomplete = False
        except SendFailedError:
            # A target may respond early and close the connection; its response
            # is still valid.
            return

    async def _send_complete(self, reader, data, call):
        """Send a request whose body has been received completely.

        If the target answers before it has read the whole request, the rest
        is not sent.
        """
        connection = reader.connection
        sent = connection.send_nowait(data)
        if sent == len(data):
            reader.request_incomplete = False
            return
        rest = memoryview(data)[sent:]
        async with trio.open_nursery() as nursery:

            async def send_remaining_body():
                with suppress(SendFailedError):
                    await connection.send(rest)
                    reader.request_incomplete = False
                nursery.cancel_scope.cancel()

            nursery.start_soon(send_remaining_body)
            with suppress(*INCOMPLETE_MESSAGE_ERRORS):
                while not self._has_answer(reader, call):
                    await reader.receive()
                nursery.cancel_scope.cancel()
            if reader.error is not None:
                nursery.cancel_scope.cancel()

    def _has_answer(self, reader, call):
        """Return whether nothing more is to be received before the answer.

        That is also so if the target has sent more other responses than are
        skipped.
        """
        responses = reader.ready_messages
        return (
            len(responses) > MAX_SKIPPED_RESPONSES
            or sum(r.buffered_bytes for r in responses) > MAX_SKIPPED_BYTES
            or any(
                not response.is_interim
                and self.protocol.classify_response(response, call)
                is not ResponseKind.STRAY
                for response in responses
            )
        )

    def release(self, address, reader, response):
        """Return a connection to the pool, or close it if it is not reusable.

        Parameters
        ----------
        address : Address
            Listening address of the target.
        reader : ResponseReader
            Reader of the connection.
        response : Message
            Last response received on the connection.
        """
        if response.complete and response.keep_alive:
            keep_alive_s = self.protocol.keep_alive_s(response)
            if keep_alive_s is not None:
                reader.idle_timeout_s = keep_alive_s
            self.pool.release(address, reader)
        else:
            reader.connection.close()
