"""Requests and responses written to connections."""

from http import HTTPStatus

__all__ = [
    'encode_chunk',
    'encode_head',
    'frame_body',
    'send_message',
    'status_line',
]

LAST_CHUNK = b'0\r\n\r\n'
_NO_BODY_STATUS = frozenset((204, 304))


def status_line(status, reason=b''):
    """Return the first line of a response, without its line end."""
    if not reason:
        try:
            reason = HTTPStatus(status).phrase.encode()
        except ValueError:
            reason = b'Unknown'
    return b'HTTP/1.1 %d %b' % (status, reason)


def encode_head(first_line, lines):
    """Return an encoded head."""
    return b'\r\n'.join((first_line, *lines, b'', b''))


def encode_chunk(data):
    """Return bytes as one chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(data), data)


def frame_body(message, chunks_allowed=True):
    """Choose how the body of a message is delimited when passed on.

    Parameters
    ----------
    message : Message
        Source of the body.
    chunks_allowed : bool
        Whether the receiver understands chunks; if not, the end of the
        connection ends the body.

    Returns
    -------
    tuple of (bytes or None, bool)
        Header field to add, and whether the body is sent in chunks.
    """
    if message.status in _NO_BODY_STATUS:
        return None, False
    stated = message.fields.get(b'content-length')
    if stated is not None:
        return b'Content-Length: ' + stated, False
    if message.complete:
        size = sum(map(len, message.chunks))
        if size or message.status:
            return b'Content-Length: %d' % size, False
        return None, False
    if not chunks_allowed:
        return b'Connection: close', False
    return b'Transfer-Encoding: chunked', True


async def send_message(connection, first_line, lines, message):
    """Send a head and pass the body of a message on as it arrives.

    The head and what has been received of the body go out in one write.

    Parameters
    ----------
    connection : Connection
        Receiver.
    first_line : bytes
        Request or status line.
    lines : list of bytes
        Header fields, without those that delimit the body.
    message : Message
        Source of the body.
    """
    framing, chunked = frame_body(message)
    if framing is not None:
        lines = [*lines, framing]
    data = message.take_received()
    if chunked and data:
        data = encode_chunk(data)
    head = encode_head(first_line, lines)
    await connection.send(head + data if data else head)
    await send_rest(connection, message, chunked)


async def send_rest(connection, message, chunked):
    """Pass on the part of a body that has not been sent yet."""
    while data := await message.read():
        await connection.send(encode_chunk(data) if chunked else data)
    if chunked:
        await connection.send(LAST_CHUNK)
