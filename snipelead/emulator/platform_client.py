"""Emulated client of the users' platform.

Its connections may be reused, and support pipelined requests.
"""

from collections import deque

import httptools
from msgspec import Struct
import trio

from snipelead.emulator.exceptions import InvalidResponseError

__all__ = ['Attempt', 'ClientConnection', 'Response', 'guarantees_not_run']

RECEIVE_BYTES = 65_536
# Statuses that guarantee that a request neither ran nor will run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


def guarantees_not_run(status):
    """Tell whether a status guarantees that a request never runs."""
    return status in NOT_RUN_STATUSES


class Attempt(Struct, frozen=True):
    """One attempt of a client to send a request.

    Parameters
    ----------
    attempt_id : str
        Unique id of the attempt.
    method, host, path : str
        Method, host and path of the request.
    deadline_ms : int
        Time that the client waits for the response, in milliseconds.
    body : bytes
        Request body.
    fields : tuple of (str, str)
        Names and values of further header fields.
    """

    attempt_id: str
    method: str
    host: str
    path: str
    deadline_ms: int
    body: bytes = b''
    fields: tuple[tuple[str, str], ...] = ()

    def encode(self):
        """Return the encoded request."""
        lines = [
            f'{self.method} {self.path} HTTP/1.1',
            f'Host: {self.host}',
            f'Attempt-Id: {self.attempt_id}',
            f'Deadline-Ms: {self.deadline_ms}',
            *(f'{name}: {value}' for name, value in self.fields),
        ]
        if self.body:
            lines.append(f'Content-Length: {len(self.body)}')
        return '\r\n'.join(lines).encode() + b'\r\n\r\n' + self.body


class Response(Struct):
    """A complete response.

    Parameters
    ----------
    status : int
        HTTP status code.
    body : bytes
        Response body.
    sealed : bool
        Whether the response carries a target's ``Response-Seal``.
    retry_after_s : float or None
        Delay before the next attempt, in seconds.
    keep_alive : bool
        Whether the connection may be used again.
    states_limit, states_leaving : bool
        Whether the target states a rate limit, and that it is leaving.
    """

    status: int = 0
    body: bytes = b''
    sealed: bool = False
    retry_after_s: float | None = None
    keep_alive: bool = True
    states_limit: bool = False
    states_leaving: bool = False


class _ResponseCollector:
    """Parser callbacks that collect responses in order of arrival."""

    def __init__(self):
        self.parser = httptools.HttpResponseParser(self)
        self.completed = deque()
        self.response = Response()

    def on_message_begin(self):
        self.response = Response()

    def on_header(self, name, value):
        match name.lower():
            case b'response-seal':
                self.response.sealed = True
            case b'retry-after':
                self.response.retry_after_s = float(value)
            case b'server-limit':
                self.response.states_limit = True
            case b'server-leaving':
                self.response.states_leaving = True

    def on_body(self, body):
        self.response.body += body

    def on_message_complete(self):
        self.response.status = self.parser.get_status_code()
        self.response.keep_alive = self.parser.should_keep_alive()
        self.completed.append(self.response)


class ClientConnection:
    """Client connection; a context manager that closes it.

    Parameters
    ----------
    stream : trio.SocketStream
        The open connection.
    """

    def __init__(self, stream):
        self.stream = stream
        self.collector = _ResponseCollector()

    @classmethod
    async def open(cls, address):
        """Connect to an address."""
        host, _, port = address.rpartition(':')
        return cls(await trio.open_tcp_stream(host, int(port)))

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.stream.socket.close()

    async def send(self, *attempts):
        """Send requests without waiting for responses.

        Raises
        ------
        trio.BrokenResourceError
            If the connection fails.
        """
        await self.stream.send_all(b''.join(a.encode() for a in attempts))

    async def receive(self):
        """Return the next complete response.

        Raises
        ------
        InvalidResponseError
            If the response is malformed or the connection closes early.
        trio.BrokenResourceError
            If the connection fails.
        """
        while not self.collector.completed:
            data = await self.stream.receive_some(RECEIVE_BYTES)
            if not data:
                raise InvalidResponseError(
                    'connection closed before the end of the response'
                )
            try:
                self.collector.parser.feed_data(data)
            except httptools.HttpParserError as error:
                raise InvalidResponseError(
                    f'malformed response: {error}'
                ) from error
        return self.collector.completed.popleft()
