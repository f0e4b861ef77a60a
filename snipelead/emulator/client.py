"""HTTP/1.1 client connections for load generation, parsed by httptools."""

import socket

import httptools
import trio

from snipelead.emulator.exceptions import InvalidResponseError

__all__ = ['CallerConnection', 'ConnectionPool', 'Response']

RECEIVE_BYTES = 65_536


class Response:
    """One complete response.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : dict of str to str
        Header values by lower-case name.
    body : bytes
        Complete body.
    keep_alive : bool
        Whether the connection may be used again.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.keep_alive = True


class _ResponseCollector:
    """Parser callbacks that collect one response."""

    def __init__(self):
        self.parser = httptools.HttpResponseParser(self)
        self.response = Response()
        self.body_parts = []
        self.complete = False

    def on_header(self, name, value):
        name = name.decode('latin-1').lower()
        self.response.headers[name] = value.decode('latin-1')

    def on_body(self, body):
        self.body_parts.append(body)

    def on_message_complete(self):
        self.response.status = self.parser.get_status_code()
        self.response.keep_alive = self.parser.should_keep_alive()
        self.response.body = b''.join(self.body_parts)
        self.complete = self.response.status >= 200


class CallerConnection:
    """Client connection that carries one request at a time.

    Parameters
    ----------
    address : Address
        Address of the server.
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
        """Tell whether the server has neither closed nor sent unread data."""
        sock = self.stream.socket
        try:
            sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    async def request(self, method, path, headers=(), body=b''):
        """Send a request and return its response.

        Parameters
        ----------
        method, path : str
            Method and target of the request line.
        headers : iterable of (str, str)
            Headers other than ``Host`` and ``Content-Length``.
        body : bytes
            Request body.

        Returns
        -------
        Response

        Raises
        ------
        InvalidResponseError
            If the response is malformed or incomplete.
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
        collector = _ResponseCollector()
        while not collector.complete:
            data = await self.stream.receive_some(RECEIVE_BYTES)
            if not data:
                raise InvalidResponseError(
                    'connection closed before the end of the response'
                )
            try:
                collector.parser.feed_data(data)
            except httptools.HttpParserError as error:
                raise InvalidResponseError(
                    f'malformed response: {error}'
                ) from error
        return collector.response

    def close(self):
        """Close the connection immediately."""
        self.stream.socket.close()


class ConnectionPool:
    """Pool of idle connections by address.

    A context manager that closes the idle connections.
    """

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
        """Return an idle connection, or open a new one."""
        connections = self.idle.setdefault(address, [])
        while connections:
            connection = connections.pop()
            if connection.is_usable():
                return connection
            connection.close()
        return await CallerConnection.open(address)

    def release(self, connection):
        """Return a connection to the pool."""
        self.idle.setdefault(connection.address, []).append(connection)
