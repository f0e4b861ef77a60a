"""Server side of HTTP/1.1 for stand-in targets, on httptools."""

from collections import deque
import json

import httptools
import trio

__all__ = ['HttpConnection', 'HttpRequest', 'format_answer']

RECEIVE_BYTES = 65_536
_REASONS = {
    200: b'OK',
    400: b'Bad Request',
    503: b'Service Unavailable',
    504: b'Gateway Timeout',
}


class HttpRequest:
    """One whole request.

    Attributes
    ----------
    method : str
        Method in capitals.
    url : str
        Path and query as received.
    headers : dict of str to str
        Headers by lower-case name.
    body : bytes
        Whole body.
    keep_alive : bool
        Whether the connection stays open after the answer.
    """

    def __init__(self):
        self.method = ''
        self.url = ''
        self.headers = {}
        self.body = b''
        self.keep_alive = True


class _Receiver:
    """Callbacks of the parser; collects whole requests."""

    def __init__(self):
        self.requests = deque()
        self.parser = httptools.HttpRequestParser(self)
        self.request = HttpRequest()
        self.parts = []

    def on_message_begin(self):
        self.request = HttpRequest()
        self.parts = []

    def on_url(self, url):
        self.request.url += url.decode('latin-1')

    def on_header(self, name, value):
        name = name.decode('latin-1').lower()
        self.request.headers[name] = value.decode('latin-1')

    def on_body(self, body):
        self.parts.append(body)

    def on_message_complete(self):
        self.request.method = self.parser.get_method().decode('latin-1')
        self.request.keep_alive = self.parser.should_keep_alive()
        self.request.body = b''.join(self.parts)
        self.requests.append(self.request)


class HttpConnection:
    """Connection from a caller; requests come out in order.

    Parameters
    ----------
    stream : trio.abc.Stream
        Accepted connection.
    """

    def __init__(self, stream):
        self.stream = stream
        self.closed = False
        self._receiver = _Receiver()

    async def next_request(self):
        """Return the next request, or None when the caller went away."""
        while not self._receiver.requests:
            if not await self._receive():
                return None
        return self._receiver.requests.popleft()

    async def work(self, seconds):
        """Let time pass as the work of a request.

        Requests that arrive meanwhile are kept for later.

        Returns
        -------
        bool
            False when the caller went away before the time was over.
        """
        with trio.move_on_after(seconds):
            while await self._receive():
                pass
        return not self.closed

    async def send(self, data):
        """Send bytes; returns False when the caller went away."""
        try:
            await self.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.closed = True
        return not self.closed

    async def _receive(self):
        if self.closed:
            return False
        try:
            data = await self.stream.receive_some(RECEIVE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            data = b''
        if not data:
            self.closed = True
            return False
        try:
            self._receiver.parser.feed_data(data)
        except httptools.HttpParserError:
            self.closed = True
        return not self.closed


def format_answer(status, document, headers=(), keep_alive=True):
    """Encode an answer whose body is JSON.

    Parameters
    ----------
    status : int
        HTTP status.
    document : dict
        Body.
    headers : iterable of (str, str)
        Further headers.
    keep_alive : bool
        Whether the connection stays open.

    Returns
    -------
    bytes
    """
    body = json.dumps(document).encode()
    lines = [
        b'HTTP/1.1 %d %s' % (status, _REASONS.get(status, b'Other')),
        b'Content-Type: application/json',
        b'Content-Length: %d' % len(body),
    ]
    lines += [f'{n}: {v}'.encode('latin-1') for n, v in headers]
    if not keep_alive:
        lines.append(b'Connection: close')
    return b'\r\n'.join(lines) + b'\r\n\r\n' + body
