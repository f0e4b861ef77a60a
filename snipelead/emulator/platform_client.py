"""Stand-in of a client on the users' platform.

It keeps connections or opens new ones, and may send further requests before
the first is answered.
"""

from collections import deque

import httptools
from msgspec import Struct
import trio

from snipelead.emulator.exceptions import WrongAnswerError

__all__ = ['Attempt', 'ClientConnection', 'Reply', 'is_not_run_status']

RECEIVE_BYTES = 65_536
# Statuses that promise that a request was not run and never will be.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


def is_not_run_status(status):
    """Tell whether a status promises that a request never runs."""
    return status in NOT_RUN_STATUSES


class Attempt(Struct, frozen=True):
    """One attempt of a client to get a request answered.

    Parameters
    ----------
    attempt_id : str
        Id that no other attempt has.
    method, host, path : str
        What is asked for.
    deadline_ms : int
        How long the client waits, in milliseconds.
    body : bytes
        Body of the request.
    """

    attempt_id: str
    method: str
    host: str
    path: str
    deadline_ms: int
    body: bytes = b''

    def encode(self):
        """Return the bytes of the request."""
        lines = [
            f'{self.method} {self.path} HTTP/1.1',
            f'Host: {self.host}',
            f'Attempt-Id: {self.attempt_id}',
            f'Deadline-Ms: {self.deadline_ms}',
        ]
        if self.body:
            lines.append(f'Content-Length: {len(self.body)}')
        return '\r\n'.join(lines).encode() + b'\r\n\r\n' + self.body


class Reply(Struct):
    """A whole answer.

    Parameters
    ----------
    status : int
        HTTP status.
    body : bytes
        Body.
    sealed : bool
        Whether a target's seal came with it.
    retry_after_s : float or None
        When to come back, in seconds.
    keep_alive : bool
        Whether the connection may be used again.
    """

    status: int = 0
    body: bytes = b''
    sealed: bool = False
    retry_after_s: float | None = None
    keep_alive: bool = True


class _Replies:
    """Callbacks of the parser; collects answers in their order."""

    def __init__(self):
        self.parser = httptools.HttpResponseParser(self)
        self.ready = deque()
        self.reply = Reply()

    def on_message_begin(self):
        self.reply = Reply()

    def on_header(self, name, value):
        match name.lower():
            case b'response-seal':
                self.reply.sealed = True
            case b'retry-after':
                self.reply.retry_after_s = float(value)

    def on_body(self, body):
        self.reply.body += body

    def on_message_complete(self):
        self.reply.status = self.parser.get_status_code()
        self.reply.keep_alive = self.parser.should_keep_alive()
        self.ready.append(self.reply)


class ClientConnection:
    """Connection of a client; a context manager that closes it.

    Parameters
    ----------
    stream : trio.SocketStream
        The open connection.
    """

    def __init__(self, stream):
        self.stream = stream
        self.replies = _Replies()

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
        """Send requests without waiting for answers.

        Raises
        ------
        trio.BrokenResourceError
            If the connection fails.
        """
        await self.stream.send_all(b''.join(a.encode() for a in attempts))

    async def receive(self):
        """Return the next whole answer.

        Raises
        ------
        WrongAnswerError
            If the connection ends before, or its bytes cannot be read.
        trio.BrokenResourceError
            If the connection fails.
        """
        while not self.replies.ready:
            data = await self.stream.receive_some(RECEIVE_BYTES)
            if not data:
                raise WrongAnswerError('the connection closed early')
            try:
                self.replies.parser.feed_data(data)
            except httptools.HttpParserError as error:
                raise WrongAnswerError(f'unreadable: {error}') from error
        return self.replies.ready.popleft()
