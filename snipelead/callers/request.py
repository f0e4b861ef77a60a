"""Requests received from callers and from other nodes."""

from collections import deque
from math import inf

import trio

from snipelead.callers.exceptions import BadRequestError
from snipelead.callers.exceptions import BodyTooLargeError
from snipelead.callers.exceptions import CallerDisconnectedError
from snipelead.callers.protocol import DEFAULT_CALLER_PROTOCOL
from snipelead.http.budget import CallerBudget
from snipelead.http.exceptions import ConnectionLostError
from snipelead.http.exceptions import MalformedMessageError
from snipelead.http.message import Message
from snipelead.http.request_reading import RequestReader
from snipelead.http.writing import encode_head

__all__ = ['CallerReader', 'Request']

# Estimated memory of a request in progress, without its head and body, and of
# a header field besides its bytes.
REQUEST_BYTES = 8 * 1024
FIELD_BYTES = 100
# Size of the start of a body that is kept while the body is forwarded.
KEPT_BODY_BYTES = 64 * 1024
# A caller is stalled if it makes no progress for this time. Its connection may
# be closed when memory or connections are short.
STALL_S = 2.0
CONTINUE_RESPONSE = encode_head(b'HTTP/1.1 100 Continue', ())


class Request(Message):
    """A request with a limited body size.

    Attributes
    ----------
    max_body_bytes : int
        Limit of the body size in bytes.
    body_bytes_read : int
        Number of bytes of the body read so far.
    saved_body : bytes or None
        Body, if it was received in full before the first attempt. The request
        can be sent again only then, or while none of its body has been read.
    call : Call or None
        Call that handles the request.
    continue_sent : bool
        Whether a ``100 Continue`` response was sent.
    body_start : bytearray or None
        Start of the body as far as it was read; None unless
        :meth:`keep_body_start` was called.
    charged_bytes : int
        Estimated memory that is charged to the connection.
    collected_bytes : int
        Size of the parts of the body that :meth:`receive_body` holds.
    response_bytes : int
        Size of the response that waits to be sent.
    waiting_since : float
        Since when the body is waited for; infinite if it is not.
    reader_released : trio.Event or None
        Set once the body is no longer read from the connection; None until
        :meth:`wait_reader_released` is called.
    """

    __slots__ = (
        'body_bytes_read',
        'body_start',
        'call',
        'charged_bytes',
        'collected_bytes',
        'continue_sent',
        'max_body_bytes',
        'reader_released',
        'response_bytes',
        'saved_body',
        'waiting_since',
    )

    def __init__(self, reader):
        super().__init__(reader)
        self.max_body_bytes = reader.max_body_bytes
        self.body_bytes_read = 0
        self.call = None
        self.saved_body = None
        self.body_start = None
        self.continue_sent = False
        self.reader_released = None
        self.charged_bytes = 0
        self.collected_bytes = 0
        self.response_bytes = 0
        self.waiting_since = inf

    def update_charge(self):
        """Charge the memory of the request to its connection."""
        size = (
            REQUEST_BYTES
            + FIELD_BYTES * len(self.field_lines)
            + self.buffered_bytes
            + len(self.saved_body or b'')
            + self.collected_bytes
            + self.response_bytes
        )
        charged_bytes, self.charged_bytes = self.charged_bytes, size
        self.reader.account.charge(size - charged_bytes)

    def release_charge(self):
        """Charge no more memory; the request has ended."""
        self.reader.account.charge(-self.charged_bytes)
        self.charged_bytes = 0

    def hold_response(self, size):
        """Charge a response that waits to be sent.

        Parameters
        ----------
        size : int
            Size in bytes.
        """
        self.response_bytes = size
        self.update_charge()

    def is_stalled(self, now):
        """Return whether the caller neither sends the body nor reads.

        Parameters
        ----------
        now : float
            Time in seconds of trio's clock.
        """
        send_blocked_at = self.reader.connection.send_blocked_at
        return now - min(self.waiting_since, send_blocked_at) > STALL_S

    def mark_complete(self):
        """Mark the body as received in full."""
        super().mark_complete()
        self.release_reader()

    def release_reader(self):
        """Allow the next request to be read from the connection."""
        if self.reader_released is not None:
            self.reader_released.set()

    async def wait_reader_released(self):
        """Wait until the body is no longer read from the connection."""
        if not self.complete:
            self.reader_released = trio.Event()
            await self.reader_released.wait()

    @property
    def is_replayable(self):
        """Whether the request can be sent again."""
        return self.saved_body is not None or self.body_bytes_read == 0

    def take_buffered_body(self):
        """Return all received bytes of the body that were not read yet."""
        data = super().take_buffered_body()
        if data:
            self.update_charge()
        self.body_bytes_read += len(data)
        self._extend_body_start(data)
        return data

    def keep_body_start(self):
        """Keep the start of the body, which must not have been read yet."""
        if self.complete:
            self.save_body()
            self.rewind()
        else:
            self.body_start = bytearray()

    def get_body_start(self, max_bytes):
        """Return the start of the body as far as it was received.

        Parameters
        ----------
        max_bytes : int
            Maximum size in bytes, at most ``KEPT_BODY_BYTES``.
        """
        if self.saved_body is not None:
            return self.saved_body[:max_bytes]
        unread = b''.join(self.body_chunks)
        return (bytes(self.body_start or b'') + unread)[:max_bytes]

    def _extend_body_start(self, data):
        if self.body_start is not None:
            self.body_start += data[: KEPT_BODY_BYTES - len(self.body_start)]

    def save_body(self):
        """Save a body that was received in full, for further attempts."""
        if self.complete:
            self.saved_body = self.take_buffered_body()
            if self.saved_body:
                self.update_charge()

    def rewind(self):
        """Make a saved body readable from its start."""
        if self.saved_body is None:
            return
        self.body_bytes_read = 0
        if self.saved_body:
            self.body_chunks = deque((self.saved_body,))
            self.buffered_bytes = len(self.saved_body)

    @property
    def expects_continue(self):
        """Whether the sender waits for a ``100 Continue`` response."""
        expected = self.fields.get(b'expect', b'').lower() == b'100-continue'
        return expected and not self.continue_sent and not self.complete

    def check_body_size(self):
        """Check the Content-Length and the received size of the body.

        Raises
        ------
        BodyTooLargeError
            If either exceeds the limit.
        """
        if (
            max(self.buffered_bytes, self.content_length or 0)
            > self.max_body_bytes
        ):
            self.raise_body_too_large()

    def raise_body_too_large(self):
        """Raise BodyTooLargeError."""
        raise BodyTooLargeError(
            f'the request body exceeds the limit of {self.max_body_bytes}'
            ' bytes',
            limit=self.max_body_bytes,
        )

    async def send_continue(self):
        """Send ``100 Continue`` if the sender waits for it."""
        if self.expects_continue:
            self.continue_sent = True
            await self.reader.connection.send(CONTINUE_RESPONSE)

    async def read(self):
        """Return the next part of the body, or ``b''`` at its end.

        Raises
        ------
        BadRequestError
            If the body is malformed.
        BodyTooLargeError
            If the body exceeds the size limit.
        CallerDisconnectedError
            If the connection was lost before the end of the body.
        """
        try:
            await self.send_continue()
            if not self.body_chunks and not self.complete:
                self.waiting_since = trio.current_time()
            data = await super().read()
        except MalformedMessageError as error:
            raise BadRequestError(error.message) from error
        except ConnectionLostError as error:
            raise CallerDisconnectedError(error.message) from error
        finally:
            self.waiting_since = inf
        if data:
            self.update_charge()
        self.body_bytes_read += len(data)
        self._extend_body_start(data)
        if self.body_bytes_read > self.max_body_bytes:
            self.raise_body_too_large()
        return data

    async def receive_body(self, limit):
        """Receive the body until it is complete or exceeds a size.

        The body can still be read afterwards. ``complete`` tells whether it
        was received in full.

        Parameters
        ----------
        limit : int
            Size in bytes after which receiving stops.
        """
        parts = []
        size = 0
        while size <= limit and (self.body_chunks or not self.complete):
            data = await self.read()
            if not data:
                break
            parts.append(data)
            size += len(data)
            self.collected_bytes = size
        self.collected_bytes = 0
        self.body_bytes_read = 0
        self.body_chunks.extendleft(reversed(parts))
        self.buffered_bytes += size
        self.update_charge()

    async def discard(self):
        """Read and discard the rest of the body."""
        while await self.read():
            pass


class CallerReader(RequestReader):
    """Reads the requests of one connection.

    Parameters
    ----------
    connection : Connection
        Connection to read from.
    limits : NodeLimits
        Size limits of request head and body.
    protocol : CallerProtocol
        Defines the header fields that are read and forwarded.

    Attributes
    ----------
    account : BufferAccount
        Buffers of the connection.
    read_ahead_bytes : int
        Charged size of what was received but is not part of a request yet.
    """

    message_class = Request

    def __init__(self, connection, limits, protocol=DEFAULT_CALLER_PROTOCOL):
        super().__init__(connection, limits.head_bytes, protocol.rules)
        self.protocol = protocol
        self.max_body_bytes = limits.body_bytes
        if connection.account is None:
            connection.account = CallerBudget().open_account(connection)
        self.account = connection.account
        self.account.discard_buffers = self.discard
        self.read_ahead_bytes = 0

    def feed(self, data):
        """Parse received data up to the end of one request."""
        super().feed(data)
        self._charge_read_ahead()

    def feed_unparsed(self):
        """Parse data that was received before up to the end of a request."""
        super().feed_unparsed()
        self._charge_read_ahead()

    def _charge_read_ahead(self):
        """Charge an incomplete head and what was received after a request.

        The time for the head begins with its first bytes.
        """
        if self.error is not None:
            self.discard()
        size = len(self.unparsed)
        if self.in_head and self.error is None:
            field_count = len(self.current_message.field_lines)
            size += self.incomplete_head_bytes + FIELD_BYTES * field_count
        if self.in_head or (
            self.undelivered_bytes and self.current_message is None
        ):
            if self.connection.head_started_at == inf:
                self.connection.head_started_at = trio.current_time()
        elif self.connection.head_started_at != inf:
            self.connection.head_started_at = inf
        if size != self.read_ahead_bytes:
            added_bytes = size - self.read_ahead_bytes
            self.read_ahead_bytes = size
            self.account.charge(added_bytes)

    def discard(self):
        """Free the memory of what can no longer be completed."""
        if self.error is None:
            self.error = ConnectionLostError('the connection was closed')
        self.unparsed = b''
        if self.current_message is None:
            return
        if self.in_head:
            self.current_message.field_lines.clear()
        else:
            # The rest of the body cannot be received either.
            self.current_message.take_buffered_body()

    def on_body(self, data):
        """Add a part of the body to the current request."""
        super().on_body(data)
        self.current_message.update_charge()

    def complete_head(self):
        """Make the current request available once its head is complete."""
        super().complete_head()
        self.current_message.update_charge()
