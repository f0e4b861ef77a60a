"""Guards against targets that send bytes without end."""

import socket
from unittest import mock

import trio

from snipelead.callers.tests.fakes import ANY_PORT
from snipelead.callers.tests.fakes import bound_address
from snipelead.callers.tests.fakes import wait_until
from snipelead.http.connection import listen
from snipelead.http.exceptions import INCOMPLETE_MESSAGE_ERRORS
from snipelead.platform.tests.test_protocols import PlatformTestCase
from snipelead.types import TargetState

OK_HEAD = (
    b'HTTP/1.1 200 OK\r\n'
    b'Attempt-Id: attempt-1\r\n'
    b'Response-Seal: 3e1b.07.5a2\r\n'
)
CHUNKED_HEAD = OK_HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
STRAY_HEAD = OK_HEAD.replace(b'attempt-1', b'attempt-0')
UNIT_BYTES = 16 * 1024
# Includes what the buffers of the kernel hold.
MAX_SENT_BYTES = 32 * 1024 * 1024
SEND_BUFFER_BYTES = 64 * 1024
ENDLESS_PATH = b'/orders/endless'


class EndlessTarget:
    """Target that answers requests for one path with bytes without end.

    Parameters
    ----------
    start : bytes
        First bytes of the answer.
    unit : bytes
        Bytes that follow again and again.

    Attributes
    ----------
    sent_bytes : int
        Bytes accepted by the socket.
    closed_connections : int
        Endless answers that ended because the node closed the connection.
    """

    def __init__(self, start, unit):
        self.start = start
        self.unit = unit
        self.sent_bytes = 0
        self.closed_connections = 0
        self.listener = listen(ANY_PORT)
        self.listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
        )
        self.address = bound_address(self.listener)

    async def run(self, *, task_status):
        listener = trio.SocketListener(
            trio.socket.from_stdlib_socket(self.listener)
        )
        await trio.serve_listeners(
            self.serve, [listener], task_status=task_status
        )

    async def serve(self, stream):
        try:
            while head := await stream.receive_some():
                if ENDLESS_PATH in head:
                    await self.send_endlessly(stream)
                attempt_id = self.read_attempt_id(head)
                await stream.send_all(
                    OK_HEAD.replace(b'attempt-1', attempt_id)
                    + b'Content-Length: 4\r\n\r\nfine'
                )
        except trio.BrokenResourceError:
            return

    @staticmethod
    def read_attempt_id(head):
        fields = dict(
            line.lower().split(b': ', 1)
            for line in head.split(b'\r\n')
            if b': ' in line
        )
        return fields[b'attempt-id']

    async def send_endlessly(self, stream):
        try:
            await stream.send_all(self.start)
            while True:
                await stream.send_all(self.unit)
                self.sent_bytes += len(self.unit)
                await trio.lowlevel.checkpoint()
        finally:
            self.closed_connections += 1


class EndlessBytesTest(PlatformTestCase):
    """Bytes without end must not exhaust a node or disturb other requests."""

    def check_ends(self, start, unit, check_answer, deadline_ms=5_000):
        """Check an endless answer locally and through another node.

        Parameters
        ----------
        start, unit : bytes
            First bytes of the answer, and those that follow without end.
        check_answer : callable
            Coroutine function of the caller that waits for the answer.
        deadline_ms : int
            Deadline of the request.
        """
        unit *= max(1, UNIT_BYTES // len(unit))

        async def test(target):
            caller = await self.open()
            await caller.send(
                ENDLESS_PATH.decode(),
                'POST',
                Attempt_Id='attempt-1',
                Deadline_Ms=deadline_ms,
            )
            self.attempts = 1
            _, body = await self.call('/reads/1')
            self.assertEqual(b'fine', body)
            await wait_until(lambda: target.closed_connections == 1)
            await check_answer(caller)
            self.assertLess(target.sent_bytes, MAX_SENT_BYTES)
            _, body = await self.call('/reads/2')
            self.assertEqual(b'fine', body)

        async def test_locally(nursery):
            self.near.directory._by_service = {'stock': (self.near.entry,)}
            await test(self.near.target)

        async def test_forwarded(nursery):
            self.near.announce(TargetState.LEAVING)
            self.near.directory.merge(self.near.entry)
            await test(self.far.target)

        self.near.target = EndlessTarget(start, unit)
        self.run_nodes(test_locally, self.near)
        self.make_nodes()
        self.far.target = EndlessTarget(start, unit)
        self.run_nodes(test_forwarded, self.near, self.far)

    async def check_bad_gateway(self, caller):
        response, _ = await caller.receive()
        self.assertEqual(502, response.status)

    async def check_broken_off(self, caller):
        """Check that an answer that has begun does not look complete.

        If too little of it arrived until the deadline, it has not begun.
        """
        try:
            response, _ = await caller.receive()
        except INCOMPLETE_MESSAGE_ERRORS:
            return
        self.assertEqual(504, response.status)

    def check_bad(self, start, unit):
        self.check_ends(start, unit, self.check_bad_gateway)

    def test_endless_status_line(self):
        self.check_bad(b'HTTP/1.1 200 ', b'x')

    def test_endless_field_name(self):
        self.check_bad(b'HTTP/1.1 200 OK\r\n', b'x')

    def test_endless_field_value(self):
        self.check_bad(OK_HEAD + b'X-Rest: ', b'x')

    def test_endless_fields(self):
        self.check_bad(OK_HEAD, b'X-Rest: x\r\n')

    def test_endless_empty_lines(self):
        self.check_bad(b'', b'\r\n')

    def test_endless_zero_bytes(self):
        self.check_bad(b'', b'\0')

    def test_endless_interim_responses(self):
        self.check_bad(b'', b'HTTP/1.1 103 Early Hints\r\n\r\n')

    def test_endless_responses_to_another_request(self):
        self.check_bad(b'', STRAY_HEAD + b'Content-Length: 0\r\n\r\n')

    def test_endless_body_of_a_response_to_another_request(self):
        self.check_bad(STRAY_HEAD + b'\r\n', b'x')

    def test_endless_body_of_an_anonymous_response(self):
        self.check_bad(b'HTTP/1.1 200 OK\r\n\r\n', b'x')

    def test_endless_chunk_extension(self):
        self.check_bad(CHUNKED_HEAD + b'5;x=', b'x')

    def test_endless_trailer_value(self):
        self.check_bad(CHUNKED_HEAD + b'1\r\nx\r\n0\r\nX-Rest: ', b'x')

    def test_endless_trailer_fields(self):
        self.check_bad(CHUNKED_HEAD + b'1\r\nx\r\n0\r\n', b'X-Rest: x\r\n')

    def check_endless_answer(self, start, unit):
        with mock.patch('snipelead.callers.relay.STALL_TIMEOUT_S', 0.1):
            self.check_ends(start, unit, self.check_broken_off, 500)

    def test_endless_chunks(self):
        self.check_endless_answer(CHUNKED_HEAD, b'1\r\nx\r\n')

    def test_endless_body_without_length(self):
        self.check_endless_answer(OK_HEAD + b'\r\n', b'x')
