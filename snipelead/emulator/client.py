"""Caller side of HTTP/1.1, on httptools; cheap enough for load."""

import socket

import httptools
import trio

from snipelead.emulator.exceptions import WrongAnswerError

__all__ = ['Answer', 'CallerConnection', 'ConnectionPool']

RECEIVE_BYTES = 65_536


class Answer:
    """One whole answer.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : dict of str to str
        Headers by lower-case name.
    body : bytes
        Whole body.
    keep_alive : bool
        Whether the connection may be used again.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.keep_alive = True


class _Receiver:
    """Callbacks of the parser; collects one answer."""

    def __init__(self):
        self.parser = httptools.HttpResponseParser(self)
        self.answer = Answer()
        self.parts = []
        self.complete = False

    def on_header(self, name, value):
        name = name.decode('latin-1').lower()
        self.answer.headers[name] = value.decode('latin-1')

    def on_body(self, body):
        self.parts.append(body)

    def on_message_complete(self):
        self.answer.status = self.parser.get_status_code()
        self.answer.keep_alive = self.parser.should_keep_alive()
        self.answer.body = b''.join(self.parts)
        self.complete = self.answer.status >= 200


class CallerConnection:
    """Connection of a caller; carries one request at a time.

    Parameters
    ----------
    address : Address
        Where to connect.
    stream : trio.SocketStream
        The open connection.
    """

    def __init__(self, address, stream):
        self.address = address
        self.stream = stream

    @classmethod
    async def open(cls, address):
        """Connect to an address."""
        host, _, port = address.rpartition(':')
        stream = await trio.open_tcp_stream(host.strip('[]'), int(port))
        return cls(address, stream)

    def is_usable(self):
        """Tell whether the other end has neither closed nor spoken."""
        sock = self.stream.socket
        try:
            sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    async def request(self, method, path, headers=(), body=b''):
        """Send a request and return its answer.

        Parameters
        ----------
        method, path : str
            First line.
        headers : iterable of (str, str)
            Headers besides host and length.
        body : bytes
            Body.

        Returns
        -------
        Answer

        Raises
        ------
        WrongAnswerError
            If the answer cannot be read or is cut off.
        trio.BrokenResourceError
            If the connection fails.
        """
        lines = [f'{method} {path} HTTP/1.1', f'Host: {self.address}']
        lines += [f'{name}: {value}' for name, value in headers]
        if body:
            lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n'
        await self.stream.send_all(head + body)
        return await self._receive()

    async def _receive(self):
        receiver = _Receiver()
        while not receiver.complete:
            data = await self.stream.receive_some(RECEIVE_BYTES)
            if not data:
                raise WrongAnswerError('the connection closed early')
            try:
                receiver.parser.feed_data(data)
            except httptools.HttpParserError as error:
                raise WrongAnswerError(f'unreadable: {error}') from error
        return receiver.answer

    def close(self):
        """Close at once."""
        self.stream.socket.close()


class ConnectionPool:
    """Idle connections by address; a context manager that closes them."""

    def __init__(self):
        self.idle = {}

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        for connections in self.idle.values():
            for connection in connections:
                connection.close()
        self.idle = {}

    async def acquire(self, address):
        """Return an idle connection or open one."""
        connections = self.idle.setdefault(address, [])
        while connections:
            connection = connections.pop()
            if connection.is_usable():
                return connection
            connection.close()
        return await CallerConnection.open(address)

    def release(self, connection):
        """Keep a connection for the next request."""
        self.idle.setdefault(connection.address, []).append(connection)
