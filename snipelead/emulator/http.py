"""HTTP/1.1 server connections of emulated targets, parsed by httptools."""

from collections import deque
import json

import httptools
import trio

__all__ = ['HttpConnection', 'HttpRequest', 'encode_response']

RECEIVE_BYTES = 65_536
_REASONS = {
    200: b'OK',
    400: b'Bad Request',
    503: b'Service Unavailable',
    504: b'Gateway Timeout',
}


class HttpRequest:
    """One complete request.

    Attributes
    ----------
    method : str
        Method in upper case.
    url : str
        Path and query string as received.
    headers : dict of str to str
        Header values by lower-case name.
    body : bytes
        Complete body.
    keep_alive : bool
        Whether the connection stays open after the response.
    """

    def __init__(self):
        self.method = ''
        self.url = ''
        self.headers = {}
        self.body = b''
        self.keep_alive = True


class _RequestCollector:
    """Parser callbacks that collect complete requests."""

    def __init__(self):
        self.requests = deque()
        self.parser = httptools.HttpRequestParser(self)
        self.request = HttpRequest()
        self.body_parts = []

    def on_message_begin(self):
        self.request = HttpRequest()
        self.body_parts = []

    def on_url(self, url):
        self.request.url += url.decode('latin-1')

    def on_header(self, name, value):
        name = name.decode('latin-1').lower()
        self.request.headers[name] = value.decode('latin-1')

    def on_body(self, body):
        self.body_parts.append(body)

    def on_message_complete(self):
        self.request.method = self.parser.get_method().decode('latin-1')
        self.request.keep_alive = self.parser.should_keep_alive()
        self.request.body = b''.join(self.body_parts)
        self.requests.append(self.request)


class HttpConnection:
    """Server side of a connection; returns requests in order of arrival.

    Parameters
    ----------
    stream : trio.abc.Stream
        Accepted connection.
    """

    def __init__(self, stream):
        self.stream = stream
        self.closed = False
        self._collector = _RequestCollector()

    async def next_request(self):
        """Return the next request, or None if the caller disconnected."""
        while not self._collector.requests:
            if not await self._receive():
                return None
        return self._collector.requests.popleft()

    async def simulate_work(self, seconds):
        """Wait for the service time of a request.

        Requests that arrive meanwhile are queued.

        Returns
        -------
        bool
            False if the caller disconnected before the time was over.
        """
        with trio.move_on_after(seconds):
            while await self._receive():
                pass
        return not self.closed

    async def send(self, data):
        """Send bytes; return False if the caller disconnected."""
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
            self._collector.parser.feed_data(data)
        except httptools.HttpParserError:
            self.closed = True
        return not self.closed


def encode_response(status, document, headers=(), keep_alive=True):
    """Encode a response with a JSON body.

    Parameters
    ----------
    status : int
        HTTP status code.
    document : dict
        Content of the body.
    headers : iterable of (str, str)
        Additional headers.
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
    lines += [f'{name}: {value}'.encode('latin-1') for name, value in headers]
    if not keep_alive:
        lines.append(b'Connection: close')
    return b'\r\n'.join(lines) + b'\r\n\r\n' + body
