"""Requests and responses with streamed bodies."""

from collections import deque

__all__ = ['Message']

# Smaller parts of a body are joined, so that a body that is received in parts
# of a few bytes does not take many times its size.
MIN_CHUNK_BYTES = 4 * 1024
_INTERIM_STATUSES = range(100, 200)
_MIN_SERVER_ERROR_STATUS = 500


class Message:
    """Request or response with a streamed body.

    Parameters
    ----------
    reader : RequestReader or ResponseReader
        Reader that receives the body.

    Attributes
    ----------
    field_lines : list of bytes
        Header fields to forward, each ``name: value``.
    fields : dict of bytes to bytes
        Values of the inspected header fields by lower-case name.
    method, url : bytes
        Method and target of a request.
    status : int
        Status code of a response, 0 for a request.
    reason : bytes
        Reason phrase of a response.
    body_chunks : deque of bytes
        Parts of the body that were received but not read.
    buffered_bytes : int
        Total size of ``body_chunks``.
    received_bytes : int
        Number of bytes of the body received so far.
    complete : bool
        Whether the complete body has been received.
    keep_alive : bool
        Whether the connection stays open after this message.
    version : str
        HTTP version, ``'1.0'`` or ``'1.1'``.
    """

    __slots__ = (
        'body_chunks',
        'buffered_bytes',
        'complete',
        'field_lines',
        'fields',
        'keep_alive',
        'method',
        'reader',
        'received_bytes',
        'reason',
        'status',
        'url',
        'version',
    )

    def __init__(self, reader):
        self.reader = reader
        self.field_lines = []
        self.fields = {}
        self.method = b''
        self.url = b''
        self.status = 0
        self.reason = b''
        self.version = '1.1'
        self.body_chunks = deque()
        self.buffered_bytes = 0
        self.received_bytes = 0
        self.complete = False
        self.keep_alive = True

    @property
    def content_length(self):
        """Value of the Content-Length field, None if it is absent."""
        value = self.fields.get(b'content-length')
        return None if value is None else int(value)

    @property
    def is_interim(self):
        """Whether this is an interim (1xx) response."""
        return self.status in _INTERIM_STATUSES

    @property
    def is_server_error(self):
        """Whether the status of the response is 500 or above."""
        return self.status >= _MIN_SERVER_ERROR_STATUS

    def mark_complete(self):
        """Mark the body as completely received."""
        self.complete = True

    def add_body_part(self, data):
        """Add a received part of the body."""
        size = len(data)
        self.buffered_bytes += size
        self.received_bytes += size
        chunks = self.body_chunks
        if (
            not chunks
            or size >= MIN_CHUNK_BYTES
            or len(chunks[-1]) >= MIN_CHUNK_BYTES
        ):
            chunks.append(data)
            return
        if type(chunks[-1]) is not bytearray:
            chunks[-1] = bytearray(chunks[-1])
        chunks[-1] += data

    def remove_connection_fields(self, field_names):
        """Remove the header fields that a Connection field lists.

        Parameters
        ----------
        field_names : bytes
            Lower-case value of the Connection field.
        """
        prefixes = tuple(n.strip() + b':' for n in field_names.split(b','))
        self.field_lines = [
            line
            for line in self.field_lines
            if not line.lower().startswith(prefixes)
        ]

    def take_buffered_body(self):
        """Remove and return the buffered part of the body."""
        data = b''.join(self.body_chunks)
        self.body_chunks.clear()
        self.buffered_bytes = 0
        return data

    async def buffer_body(self, max_bytes):
        """Buffer the body until it is complete or exceeds a size.

        Parameters
        ----------
        max_bytes : int
            Receiving stops once more than this many bytes are buffered.

        Raises
        ------
        ConnectionLostError, MalformedMessageError
            If the body ends before it is complete.
        """
        while not self.complete and self.buffered_bytes <= max_bytes:
            await self.reader.receive()

    async def read(self):
        """Return the next part of the body, or ``b''`` at its end.

        Raises
        ------
        ConnectionLostError, MalformedMessageError
            If the body ends before it is complete.
        """
        while not self.body_chunks:
            if self.complete:
                return b''
            await self.reader.receive()
        data = self.body_chunks.popleft()
        self.buffered_bytes -= len(data)
        return data
