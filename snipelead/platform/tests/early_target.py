"""Targets that respond before they have read the body of a request."""

import socket
from unittest import mock

import trio

from snipelead.callers.tests.fakes import bound_address
from snipelead.callers.tests.fakes import Caller
from snipelead.http.connection import connect
from snipelead.http.connection import listen
from snipelead.http.exceptions import ConnectionLostError
from snipelead.platform.tests.test_protocols import PlatformTestCase

__all__ = ['EarlyTarget', 'EarlyTargetTestCase']

# The bodies of the tests do not fit into these buffers.
SEND_BUFFER_BYTES = 16 * 1024
RECEIVE_BUFFER_BYTES = 4 * 1024


async def _open_small_connection(address):
    """Open a connection that accepts little data while nobody reads it."""
    connection = await connect(address)
    connection.sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
    )
    return connection


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
    connections : int
        Number of accepted connections.
    """

    def __init__(self, respond):
        self.respond = respond
        self.listener = listen('127.0.0.1:0')
        self.listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.address = bound_address(self.listener)
        self.received = []
        self.connections = 0

    async def run(self, *, task_status):
        """Serve until cancelled."""
        listener = trio.SocketListener(
            trio.socket.from_stdlib_socket(self.listener)
        )
        await trio.serve_listeners(
            self._serve, [listener], task_status=task_status
        )

    async def _serve(self, stream):
        self.connections += 1
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


class EarlyTargetTestCase(PlatformTestCase):
    """Base of tests whose targets respond early; see :meth:`respond`.

    Connections to targets have small buffers, so that a request cannot be sent
    to its end while the target does not read it.
    """

    def setUp(self):
        super().setUp()
        self.enterContext(
            mock.patch('snipelead.http.pool.connect', _open_small_connection)
        )

    def make_nodes(self):
        super().make_nodes()
        for node in (self.near, self.far):
            node.target.listener.close()
            node.target = EarlyTarget(self.respond)

    async def respond(self, stream, attempt_id, body):
        """Respond to a request with a body, see :class:`EarlyTarget`."""
        raise NotImplementedError

    async def post(self, path, body, attempt_id):
        """Send a request; return its response and the body of it.

        The response is read while the request is still being sent.
        """
        caller = await Caller.open(self.near.path.caller_address)
        with caller.connection:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    _send_request, caller, path, body, attempt_id
                )
                response = await caller.receive()
                nursery.cancel_scope.cancel()
        return response


async def _send_request(caller, path, body, attempt_id):
    try:
        await caller.send(
            path, 'POST', body, Attempt_Id=attempt_id, Deadline_Ms=5_000
        )
    except ConnectionLostError:
        # The node has responded and closed the connection.
        pass
