"""Encoding and sending of HTTP/1.1 requests and responses."""

from http import HTTPStatus
from typing import NamedTuple

__all__ = [
    'Framing',
    'choose_framing',
    'encode_chunk',
    'encode_head',
    'encode_message',
    'send_message',
    'send_remaining_body',
    'status_line',
]

LAST_CHUNK = b'0\r\n\r\n'
_NO_BODY_STATUSES = frozenset((204, 304))


class Framing(NamedTuple):
    """Framing of a message body.

    Attributes
    ----------
    field_line : bytes or None
        Header field line that declares the framing, None without a body.
    chunked : bool
        Whether the body uses the chunked transfer coding.
    """

    field_line: bytes | None
    chunked: bool = False


_NO_BODY = Framing(None)
_CHUNKED = Framing(b'Transfer-Encoding: chunked', True)
# The end of the connection ends the body.
CLOSE_DELIMITED = Framing(b'Connection: close')


def status_line(status, reason=b''):
    """Return the status line of a response without the line ending.

    Parameters
    ----------
    status : int
        Status code.
    reason : bytes
        Reason phrase; empty for the standard one.
    """
    if not reason:
        try:
            reason = HTTPStatus(status).phrase.encode()
        except ValueError:
            reason = b'Unknown'
    return b'HTTP/1.1 %d %b' % (status, reason)


def encode_head(start_line, field_lines):
    """Return the start line and header field lines as encoded head."""
    return b'\r\n'.join((start_line, *field_lines, b'', b''))


def encode_chunk(data):
    """Encode data as one chunk of the chunked transfer coding."""
    return b'%x\r\n%b\r\n' % (len(data), data)


def choose_framing(message, allow_chunked=True):
    """Choose the framing of a message body that is forwarded.

    Parameters
    ----------
    message : Message
        Message whose body is forwarded.
    allow_chunked : bool
        Whether the receiver supports the chunked transfer coding. If not, a
        body of unknown length ends with the connection.

    Returns
    -------
    Framing
    """
    if message.status in _NO_BODY_STATUSES:
        return _NO_BODY
    content_length = message.fields.get(b'content-length')
    if content_length is not None:
        return Framing(b'Content-Length: ' + content_length)
    if message.complete:
        size = sum(map(len, message.body_chunks))
        if size or message.status:
            return Framing(b'Content-Length: %d' % size)
        return _NO_BODY
    return _CHUNKED if allow_chunked else CLOSE_DELIMITED


async def send_message(connection, start_line, field_lines, message):
    """Send a head and forward the body of a message as it arrives.

    The head and the buffered part of the body are sent in one write.

    Parameters
    ----------
    connection : Connection
        Connection to the receiver.
    start_line : bytes
        Request line or status line.
    field_lines : list of bytes
        Header field lines without those that frame the body.
    message : Message
        Message whose body is forwarded.
    """
    chunked = choose_framing(message).chunked
    await connection.send(encode_message(start_line, field_lines, message))
    await send_remaining_body(connection, message, chunked)


def encode_message(start_line, field_lines, message):
    """Encode a head together with the buffered part of a body.

    Parameters
    ----------
    start_line : bytes
        Request line or status line.
    field_lines : list of bytes
        Header field lines without those that frame the body.
    message : Message
        Message whose body is forwarded.

    Returns
    -------
    bytes
    """
    framing = choose_framing(message)
    if framing.field_line is not None:
        field_lines = [*field_lines, framing.field_line]
    data = message.take_buffered_body()
    if framing.chunked and data:
        data = encode_chunk(data)
    head = encode_head(start_line, field_lines)
    return head + data if data else head


async def send_remaining_body(connection, message, chunked):
    """Forward the rest of a body.

    Parameters
    ----------
    connection : Connection
        Connection to the receiver.
    message : Message
        Message whose body is forwarded.
    chunked : bool
        Whether to use the chunked transfer coding.
    """
    while data := await message.read():
        await connection.send(encode_chunk(data) if chunked else data)
    if chunked:
        await connection.send(LAST_CHUNK)
