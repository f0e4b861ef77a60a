"""Requests as the call path reads them."""

from collections import deque

import trio

from snipelead.callers.exceptions import BadRequestError
from snipelead.callers.exceptions import BodyTooLargeError
from snipelead.callers.exceptions import CallerDisconnectedError
from snipelead.callers.protocol import DEFAULT_CALLER_PROTOCOL
from snipelead.http.exceptions import ConnectionLostError
from snipelead.http.exceptions import MalformedMessageError
from snipelead.http.reading import Message
from snipelead.http.reading import RequestReader
from snipelead.http.writing import encode_head

__all__ = ['CallerReader', 'Request']

CONTINUE_RESPONSE = encode_head(b'HTTP/1.1 100 Continue', ())


class Request(Message):
    """A request whose body is limited in size.

    Attributes
    ----------
    body_bytes : int
        Largest body.
    body_size : int
        Bytes of the body read so far.
    whole_body : bytes or None
        The body when it was received whole before the first attempt; only
        then, or before any of it was read, can the request be sent again.
    call : Call or None
        The call that the request began.
    continued : bool
        Whether the sender was told to send the body.
    released : trio.Event or None
        Set once nobody reads the body any more; None until somebody waits.
    """

    __slots__ = (
        'body_bytes',
        'body_bytes_read',
        'call',
        'continue_sent',
        'reader_released',
        'saved_body',
    )

    def __init__(self, reader):
        super().__init__(reader)
        self.body_bytes = reader.body_bytes
        self.body_bytes_read = 0
        self.call = None
        self.saved_body = None
        self.continue_sent = False
        self.reader_released = None

    def finish(self):
        """Note that the whole body has been received."""
        super().finish()
        self.release_reader()

    def release_reader(self):
        """Let the next request of the connection be read."""
        if self.reader_released is not None:
            self.reader_released.set()

    async def wait_reader_released(self):
        """Wait until nobody reads the body any more."""
        if not self.complete:
            self.reader_released = trio.Event()
            await self.reader_released.wait()

    @property
    def is_replayable(self):
        """Whether the request can be sent to another target."""
        return self.saved_body is not None or self.body_bytes_read == 0

    def take_received(self):
        """Return all bytes of the body received so far."""
        data = super().take_received()
        self.body_bytes_read += len(data)
        return data

    def save_body(self):
        """Keep a body that is there as a whole for further attempts."""
        if self.complete:
            self.saved_body = self.take_received()

    def rewind(self):
        """Make a kept body readable from its start."""
        if self.saved_body is None:
            return
        self.body_bytes_read = 0
        if self.saved_body:
            self.chunks = deque((self.saved_body,))

    @property
    def expects_continue(self):
        """Whether the sender waits for leave to send the body."""
        expected = self.fields.get(b'expect', b'').lower() == b'100-continue'
        return expected and not self.continue_sent and not self.complete

    def check_body_size(self):
        """Check the stated length of the body and what came of it.

        Raises
        ------
        BodyTooLargeError
            If it exceeds the limit.
        """
        received = sum(map(len, self.chunks))
        if max(received, self.content_length or 0) > self.body_bytes:
            self.raise_body_too_large()

    def raise_body_too_large(self):
        """Raise the error for a body that exceeds the limit."""
        raise BodyTooLargeError(
            f'the body exceeds {self.body_bytes} bytes',
            limit=self.body_bytes,
        )

    async def send_continue(self):
        """Tell the sender to go on when it waits for that."""
        if self.expects_continue:
            self.continue_sent = True
            await self.reader.connection.send(CONTINUE_RESPONSE)

    async def read(self):
        """Return the next part of the body, or ``b''`` at its end.

        Raises
        ------
        BadRequestError, BodyTooLargeError, CallerGoneError
            If the body does not come whole.
        """
        try:
            await self.send_continue()
            data = await super().read()
        except MalformedMessageError as error:
            raise BadRequestError(error.message) from error
        except ConnectionLostError as error:
            raise CallerDisconnectedError(error.message) from error
        self.body_bytes_read += len(data)
        if self.body_bytes_read > self.body_bytes:
            self.raise_body_too_large()
        return data

    async def buffer(self, limit):
        """Receive the body up to a number of bytes.

        The body stays readable; ``complete`` tells whether it is whole.
        """
        parts = []
        size = 0
        while size <= limit and (self.chunks or not self.complete):
            data = await self.read()
            if not data:
                break
            parts.append(data)
            size += len(data)
        self.body_bytes_read = 0
        self.chunks.extendleft(reversed(parts))

    async def discard(self):
        """Read what is left of the body."""
        while await self.read():
            pass


class CallerReader(RequestReader):
    """Reads the requests of one connection.

    Parameters
    ----------
    connection : Connection
        The connection.
    limits : NodeLimits
        Limits of head and body.
    protocol : CallerProtocol
        Says which header fields are read and passed on.
    """

    message_class = Request

    def __init__(self, connection, limits, protocol=DEFAULT_CALLER_PROTOCOL):
        super().__init__(connection, limits.head_bytes, protocol.rules)
        self.protocol = protocol
        self.body_bytes = limits.body_bytes
