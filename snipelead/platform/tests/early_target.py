"""Target that responds before it has read the body of a request."""

import socket
import struct

import trio

from snipelead.callers.tests.fakes import bound_address
from snipelead.http.connection import connect
from snipelead.http.connection import listen

__all__ = ['EarlyTarget', 'open_small_connection', 'reset']

# The bodies of the tests do not fit into these buffers.
SEND_BUFFER_BYTES = 16 * 1024
RECEIVE_BUFFER_BYTES = 4 * 1024
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


async def open_small_connection(address):
    """Open a connection that accepts little data while nobody reads it."""
    connection = await connect(address)
    connection.sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
    )
    return connection


def reset(stream):
    """Close a stream with a TCP reset."""
    stream.socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
    )
    stream.socket.close()


class EarlyTarget:
    """Target whose responses to requests with a body are chosen by a test.

    Parameters
    ----------
    respond : callable
        Coroutine function of stream, attempt id and the received part of the
        body. The connection ends when it returns, unless it returns true once
        it has read the rest of the body.

    Attributes
    ----------
    received : list of tuple of bytes and bytes
        Request line and attempt id of each request.
    """

    def __init__(self, respond):
        self.respond = respond
        self.listener = listen('127.0.0.1:0')
        self.listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.address = bound_address(self.listener)
        self.received = []

    async def run(self, *, task_status):
        """Serve until cancelled."""
        listener = trio.SocketListener(
            trio.socket.from_stdlib_socket(self.listener)
        )
        await trio.serve_listeners(
            self._serve, [listener], task_status=task_status
        )

    async def _serve(self, stream):
        try:
            async with stream:
                while await self._serve_request(stream):
                    pass
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    async def _serve_request(self, stream):
        received = b''
        while b'\r\n\r\n' not in received:
            data = await stream.receive_some(RECEIVE_BUFFER_BYTES)
            if not data:
                return False
            received += data
        head, _, body = received.partition(b'\r\n\r\n')
        line, *field_lines = head.split(b'\r\n')
        fields = dict(f.lower().split(b': ', 1) for f in field_lines)
        attempt_id = fields[b'attempt-id']
        self.received.append((line, attempt_id))
        if b'content-length' in fields or b'transfer-encoding' in fields:
            return await self.respond(stream, attempt_id, body)
        await stream.send_all(
            b'HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\nResponse-Seal: 1\r\n'
            b'Content-Length: 2\r\n\r\nok' % attempt_id
        )
        return True
