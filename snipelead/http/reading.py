"""Incremental parsing of HTTP/1.1 messages; reading of responses."""

from collections import deque
from math import inf
from typing import NamedTuple

import httptools

from snipelead.http.exceptions import ConnectionLostError
from snipelead.http.exceptions import HeadTooLargeError
from snipelead.http.exceptions import MalformedMessageError
from snipelead.http.message import Message

__all__ = [
    'DEFAULT_FIELD_RULES',
    'FieldRules',
    'INSPECTED_FIELDS',
    'MessageReader',
    'ResponseReader',
]

DEFAULT_MAX_HEAD_BYTES = 64 * 1024
# Interim responses that may precede the final response to a request.
MAX_INTERIM_RESPONSES = 16
# Internal header fields, not forwarded; each hop writes its own.
INTERNAL_FIELD_PREFIXES = (b'x-snipelead-', b'x-deadline-ms')

# Hop-by-hop header fields (RFC 9110, section 7.6.1) and fields of the message
# framing; not forwarded, since each hop sets its own.
HOP_BY_HOP_FIELDS = frozenset(
    (
        b'connection',
        b'content-length',
        b'expect',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)
# Header fields that the call path inspects and forwards.
INSPECTED_FIELDS = frozenset(
    (
        b'host',
        b'idempotency-key',
        b'retry-after',
        b'x-retry-after-ms',
        b'x-tenant',
    )
)
# Values of the Connection field that name no other header field.
_PERSISTENCE_OPTIONS = (b'keep-alive', b'close')


class FieldRules(NamedTuple):
    """Header fields that a message reader inspects or removes.

    Attributes
    ----------
    inspected : frozenset of bytes
        Lower-case names of fields that are inspected and forwarded.
    removed : frozenset of bytes
        Lower-case names of fields that are inspected and not forwarded.
    """

    inspected: frozenset = INSPECTED_FIELDS
    removed: frozenset = frozenset()


DEFAULT_FIELD_RULES = FieldRules()
_VALID_STATUSES = range(100, 600)
# The parser accepts any number of leading zeros, but not more than 64 bits.
MAX_LENGTH_DIGITS = 20


class MessageReader:
    """Base of the readers; implements the callbacks of httptools.

    Parameters
    ----------
    connection : Connection
        Connection to read from.
    max_head_bytes : int
        Maximum size of the start line and header fields in bytes.
    rules : FieldRules
        Header fields that are inspected or removed.

    Attributes
    ----------
    current_message : Message or None
        Message that is being received.
    in_head : bool
        Whether the head of the current message is still incomplete.
    parsed_head_bytes : int
        Size in bytes of the parts of the current head that callbacks
        reported.
    incomplete_head_bytes : int
        Bytes received of a head that is still incomplete.
    messages_started : int
        Number of messages that the parser has started.
    parts_received : int
        Number of complete heads, parts of a body and ends of messages.
    undelivered_bytes : int
        Bytes received since the last such part.
    ready_messages : deque of Message
        Messages with a complete head that were not returned yet.
    error : Exception or None
        Error that the next call of :meth:`receive` raises.
    """

    message_class = Message

    def __init__(
        self,
        connection,
        max_head_bytes=DEFAULT_MAX_HEAD_BYTES,
        rules=DEFAULT_FIELD_RULES,
    ):
        self.connection = connection
        self.max_head_bytes = max_head_bytes
        self.rules = rules
        self.parser = self.make_parser()
        self.current_message = None
        self.in_head = False
        self.parsed_head_bytes = 0
        self.incomplete_head_bytes = 0
        self.messages_started = 0
        self.parts_received = 0
        self.undelivered_bytes = 0
        self.ready_messages = deque()
        self.error = None

    def make_parser(self):
        """Return a new parser."""
        raise NotImplementedError

    def on_message_begin(self):
        """Start a message."""
        self.current_message = self.message_class(self)
        self.in_head = True
        self.parsed_head_bytes = 0
        self.messages_started += 1

    def on_header(self, name, value):
        """Add a header field to the current message."""
        if not self.in_head:
            # Trailer fields are dropped: the head may already have been
            # forwarded.
            return
        self.parsed_head_bytes += len(name) + len(value) + len(b': \r\n')
        message = self.current_message
        lower_name = name.lower()
        if (
            lower_name in HOP_BY_HOP_FIELDS
            or lower_name in self.rules.removed
            or lower_name.startswith(INTERNAL_FIELD_PREFIXES)
        ):
            if lower_name == b'connection' and lower_name in message.fields:
                value = b'%b, %b' % (message.fields[lower_name], value)
            message.fields[lower_name] = value
            return
        if lower_name in self.rules.inspected:
            message.fields[lower_name] = value
        message.field_lines.append(b'%b: %b' % (name, value))

    def on_body(self, data):
        """Add a part of the body to the current message."""
        self.parts_received += 1
        self.current_message.add_body_part(data)

    def on_message_complete(self):
        """Complete the current message."""
        self.parts_received += 1
        message, self.current_message = self.current_message, None
        message.mark_complete()

    def complete_head(self):
        """Make the current message available once its head is complete."""
        self.parts_received += 1
        self.in_head = False
        if self.parsed_head_bytes > self.max_head_bytes:
            raise HeadTooLargeError(
                f'message head exceeds {self.max_head_bytes} bytes'
            )
        message = self.current_message
        length = message.fields.get(b'content-length', b'')
        if len(length) > MAX_LENGTH_DIGITS:
            raise MalformedMessageError(
                f'Content-Length has {len(length)} characters, at most'
                f' {MAX_LENGTH_DIGITS} are allowed'
            )
        options = message.fields.get(b'connection', b'keep-alive').lower()
        if options not in _PERSISTENCE_OPTIONS:
            message.remove_connection_fields(options)
        message.keep_alive = self.parser.should_keep_alive()
        message.version = self.parser.get_http_version()
        self.ready_messages.append(message)

    def feed(self, data):
        """Parse received data."""
        previous, started = self.current_message, self.messages_started
        parts_before = self.parts_received
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            self.error = error.__context__ or error
        except httptools.HttpParserError as error:
            self.error = MalformedMessageError(str(error))
        except httptools.HttpParserUpgrade:
            # Not a subclass of HttpParserError.
            self.error = MalformedMessageError(
                'the peer switched to another protocol'
            )
        if self.in_head:
            self._count_incomplete_head(previous, started, len(data))
        self._count_undelivered(parts_before, len(data))

    def _count_undelivered(self, parts_before, received_bytes):
        """Limit the bytes that lead to no part of a message.

        Trailer fields, chunk extensions and empty lines before a message may
        go on without end, and httptools keeps an incomplete trailer field.
        """
        if self.parts_received > parts_before:
            self.undelivered_bytes = 0
            return
        self.undelivered_bytes += received_bytes
        if self.error is None and self.undelivered_bytes > self.max_head_bytes:
            self.error = MalformedMessageError(
                f'{self.undelivered_bytes} bytes without a part of a message'
            )

    def _count_incomplete_head(self, previous, started, received_bytes):
        """Limit the size of a head that is still incomplete.

        httptools reports a field only once it is complete, so that a field
        without an end would otherwise grow without bound.
        """
        if self.current_message is previous:
            self.incomplete_head_bytes += received_bytes
        elif previous is None and self.messages_started == started + 1:
            self.incomplete_head_bytes = received_bytes
        else:
            self.incomplete_head_bytes = 0
        if self.incomplete_head_bytes > self.max_head_bytes:
            self.error = HeadTooLargeError(
                f'message head exceeds {self.max_head_bytes} bytes'
            )

    async def receive(self):
        """Receive and parse more data.

        Raises
        ------
        ConnectionLostError, MalformedMessageError, HeadTooLargeError
            If the message cannot be completed.
        """
        if self.error is not None:
            raise self.error
        data = await self.connection.receive()
        if data:
            self.feed(data)
        else:
            self.handle_eof()

    def handle_eof(self):
        """Handle the end of the connection."""
        self.error = ConnectionLostError('the peer closed the connection')


class ResponseReader(MessageReader):
    """Reads the responses of a connection in order.

    Attributes
    ----------
    is_head_request : bool
        Whether the current request uses the method HEAD.
    idle_timeout_s : float
        Idle timeout that the peer announced in seconds; infinite if it
        announced none.
    is_reused : bool
        Whether an earlier response was read from the connection.
    request_incomplete : bool
        Whether a request was sent only in part. The peer would take anything
        sent after it for the rest of its body.
    """

    is_head_request = False
    idle_timeout_s = inf
    is_reused = False
    request_incomplete = False

    def make_parser(self):
        """Return a new response parser."""
        return httptools.HttpResponseParser(self)

    def on_status(self, reason):
        """Append a part of the reason phrase."""
        self.current_message.reason += reason

    def on_headers_complete(self):
        """Complete the head of the current response."""
        message = self.current_message
        message.status = self.parser.get_status_code()
        if message.status not in _VALID_STATUSES:
            raise MalformedMessageError(
                f'the status {message.status:03} is not valid'
            )
        self.complete_head()
        if self.is_head_request:
            # The parser does not know the method of the request and would
            # wait for a body, which a response to HEAD does not have.
            message.mark_complete()
            message.keep_alive = False

    async def next_response(self, is_head_request=False):
        """Return the next response, which may be an interim one.

        Parameters
        ----------
        is_head_request : bool
            Whether the request used the method HEAD.

        Raises
        ------
        ConnectionLostError
            If the connection ends before the head is complete.
        MalformedMessageError, HeadTooLargeError
            If the received data is not an acceptable response.
        """
        self.is_head_request = is_head_request
        while not self.ready_messages:
            await self.receive()
        return self.ready_messages.popleft()

    async def next_final_response(self, is_head_request=False):
        """Return the next response that is not an interim one.

        Parameters
        ----------
        is_head_request : bool
            Whether the request used the method HEAD.

        Raises
        ------
        ConnectionLostError
            If the connection ends before the head is complete.
        MalformedMessageError, HeadTooLargeError
            If the received data is not an acceptable response, or if too many
            interim responses precede it.
        """
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            response = await self.next_response(is_head_request)
            if not response.is_interim:
                return response
        raise MalformedMessageError(
            f'more than {MAX_INTERIM_RESPONSES} interim responses'
        )

    def handle_eof(self):
        """Handle the end of the connection.

        It completes a body that has neither a length nor chunks; any other
        message in progress is lost.
        """
        message = self.current_message
        body_ends_at_eof = (
            message is not None
            and not self.in_head
            and b'content-length' not in message.fields
            and b'transfer-encoding' not in message.fields
        )
        if body_ends_at_eof:
            message.mark_complete()
            message.keep_alive = False
            self.current_message = None
            return
        super().handle_eof()
