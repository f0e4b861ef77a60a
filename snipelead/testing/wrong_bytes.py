"""Random bytes that are almost, or not at all, messages of a protocol."""

import struct

import msgspec

from snipelead.http.writing import encode_head

__all__ = ['WrongBytes']

MAX_RANDOM_BYTES = 2_000
MAX_DIGITS = 6_000
MAX_NESTING = 100_000
# Heads, and frames between processes, are damaged in so many places at most.
MAX_CHANGES = 4
_OFFERS = (
    (),
    (b'Upgrade: h2c',),
    (b'Connection: Upgrade',),
    (b'Connection: Upgrade', b'Upgrade: h2c'),
    (b'Connection: keep-alive, Upgrade', b'Upgrade: websocket'),
)
# Fields whose values are read as numbers.
_LENGTH_FIELD = b'Content-Length: %b'
_NUMBER_FIELDS = (
    *(_LENGTH_FIELD,) * 3,
    b'Keep-Alive: timeout=%b',
    b'Retry-After: %b',
    b'Server-Limit: %b',
    b'X-Retry-After-Ms: %b',
    b'Deadline-Ms: %b',
)
_FRAMINGS = (
    (b'Content-Length: 3', b'abc'),
    (b'Content-Length: 3', b'ab'),
    (b'Transfer-Encoding: chunked', b'3\r\nabc\r\n0\r\n\r\n'),
    (b'Transfer-Encoding: chunked', b'fffffffffffffffff\r\nabc'),
    (b'Transfer-Encoding: gzip', b'abc'),
    (b'X-None: ', b''),
)
_METHODS = (b'GET', b'POST', b'HEAD', b'CONNECT', b'PRI', b'get', b'\xff')
_STATUSES = (200, 204, 304, 421, 500, 503, 599)
_LENGTH_PREFIX = struct.Struct('>I')


class WrongBytes:
    """Draws bytes that a process may get from a faulty peer.

    Some of what is drawn is a valid message.

    Parameters
    ----------
    rng : random.Random
        Random generator.
    field_lines : sequence of bytes
        Header fields without which a message is refused for another reason.
    """

    def __init__(self, rng, field_lines=()):
        self.rng = rng
        self.field_lines = tuple(field_lines)

    def draw_request(self):
        """Return bytes in the place of an HTTP/1.1 request."""
        line = b'%b /%d HTTP/1.1' % (
            self.rng.choice(_METHODS),
            self.rng.randrange(10),
        )
        return self._draw_message(line, (b'Host: mesh',))

    def draw_response(self):
        """Return bytes in the place of an HTTP/1.1 response."""
        if self.rng.random() < 0.5:  # noqa: PLR2004
            status = self.rng.randrange(100, 200)
        else:
            status = self.rng.choice(_STATUSES)
        return self._draw_message(b'HTTP/1.1 %d X' % status, ())

    def draw_document(self, method, path):
        """Return a request with bytes in the place of a JSON document.

        Parameters
        ----------
        method, path : bytes
            Method and path of the request.
        """
        body = self.draw_json()
        start_line = b'%b %b HTTP/1.1' % (method, path)
        length = b'Content-Length: %d' % len(body)
        return encode_head(start_line, (b'Host: mesh', length)) + body

    def draw_frame(self):
        """Return bytes in the place of a frame between two processes."""
        payload = msgspec.msgpack.encode(
            (self.rng.randrange(3), 'CertifyRequest', b'\x90')
        )
        match self.rng.randrange(4):
            case 0:
                payload = self._draw_nested(b'\x91')
            case 1:
                payload = b'\x94\x01\xa0\xc4\x00' + self._draw_nested(b'\x91')
            case 2:
                payload = self._damage(payload)
            case 3:
                payload = self.rng.randbytes(self.rng.randrange(100))
        size = len(payload)
        if self.rng.random() < 0.1:  # noqa: PLR2004
            size = self.rng.randrange(2**32)
        return _LENGTH_PREFIX.pack(size) + payload

    def draw_json(self):
        """Return bytes in the place of a JSON document."""
        match self.rng.randrange(4):
            case 0:
                return self._draw_nested(b'[')
            case 1:
                return b'{"x":' + self._draw_nested(b'{"x":')
            case 2:
                return self._draw_number()
            case _:
                return self.rng.randbytes(self.rng.randrange(100))

    def _draw_message(self, start_line, field_lines):
        framing, body = self.rng.choice(_FRAMINGS)
        lines = [
            *field_lines,
            *self.field_lines,
            *self.rng.choice(_OFFERS),
            framing,
        ]
        if self.rng.random() < 0.5:  # noqa: PLR2004
            number_field = self.rng.choice(_NUMBER_FIELDS)
            # A second length would be refused for that reason alone.
            kept = lines[:-1] if number_field is _LENGTH_FIELD else lines
            lines = [*kept, number_field % self._draw_number()]
        message = b'\r\n'.join((start_line, *lines, b'', body))
        match self.rng.randrange(5):
            case 0:
                return self._damage(message)
            case 1:
                return message[: self.rng.randrange(len(message))]
            case 2:
                return self.rng.randbytes(self.rng.randrange(MAX_RANDOM_BYTES))
            case _:
                return message

    def _draw_number(self):
        digits = self.rng.choice((1, 20, 400, MAX_DIGITS))
        return self.rng.choice(
            (
                b'9' * digits,
                b'0' * digits + b'3',
                b'-' + b'9' * digits,
                b'1e%d' % digits,
                b'0x3',
                b'3, 3',
                b'nan',
                b'',
                b'\xb2',
            )
        )

    def _draw_nested(self, opening):
        return opening * self.rng.choice((10, 2_000, MAX_NESTING))

    def _damage(self, data):
        """Change, insert or remove bytes at random positions."""
        data = bytearray(data)
        for _ in range(self.rng.randint(1, MAX_CHANGES)):
            position = self.rng.randrange(len(data))
            data[position : position + self.rng.randrange(3)] = (
                self.rng.randbytes(self.rng.randrange(3))
            )
        return bytes(data)
