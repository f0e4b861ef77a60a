from functools import partial

import trio

from snipelead.callers.tests.fakes import wait_until
from snipelead.platform.tests.early_target import EarlyTargetTestCase
from snipelead.testing.relay import reset_stream

# Received in full before the first attempt, and forwarded while it arrives.
HELD_BODY = b'x' * 60_000
STREAMED_BODY = b'x' * 2_000_000
RESPONSE_BODY = b'line of the report\n' * 200
HEAD = b'HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\nResponse-Seal: 1\r\n'
# Time in which a blocked send fails after a reset.
RESET_S = 0.05
RECEIVE_BYTES = 64 * 1024
# Deadline of the requests, in seconds.
DEADLINE_S = 5.0
# Pause of a target between its first bytes and reading on, in seconds.
READ_ON_DELAY_S = 0.2


class EarlyResponseTestCase(EarlyTargetTestCase):
    """Runs a test with both kinds of bodies, over one hop and over two."""

    def run_with_all_paths(self, test):
        for body in (HELD_BODY, STREAMED_BODY):
            self.make_nodes()
            self.run_with_both_paths(partial(test, body))

    async def send(self, body):
        """Send a request with a body; return its response."""
        self.attempts += 1
        return await self.post('/orders/1', body, f'attempt-{self.attempts}')


class ResetTest(EarlyResponseTestCase):
    """A response without a length is complete only if it was not reset."""

    end_connection = staticmethod(reset_stream)

    async def respond(self, stream, attempt_id, body):
        part = RESPONSE_BODY[: len(RESPONSE_BODY) // 2]
        await stream.send_all(HEAD % attempt_id + b'\r\n' + part)
        self.end_connection(stream)

    async def check_lost(self, body, target):
        response, _ = await self.send(body)
        self.assertEqual(502, response.status)

    def test_response_that_is_reset_is_not_passed_on_as_complete(self):
        """The failed send had taken the error that told of the reset."""
        self.run_with_all_paths(self.check_lost)

    def test_response_of_a_target_that_crashes_is_not_complete(self):
        """The kernel resets a connection that is closed with unread bytes."""
        self.end_connection = lambda stream: stream.socket.close()
        self.run_with_all_paths(self.check_lost)


class EndOfStreamTest(EarlyResponseTestCase):
    """A whole response is delivered though the request cannot be sent."""

    async def respond(self, stream, attempt_id, body):
        await stream.send_all(HEAD % attempt_id + b'\r\n' + RESPONSE_BODY)
        await stream.send_eof()
        await trio.sleep(RESET_S)
        reset_stream(stream)

    def test_response_that_ended_before_a_reset_is_complete(self):
        async def test(body, target):
            response, received = await self.send(body)
            self.assertEqual((200, RESPONSE_BODY), (response.status, received))

        self.run_with_all_paths(test)


class LengthTest(EarlyResponseTestCase):
    """A response with a length is complete once all of it was received."""

    async def respond(self, stream, attempt_id, body):
        length = b'Content-Length: %d\r\n\r\n' % len(RESPONSE_BODY)
        await stream.send_all(HEAD % attempt_id + length + RESPONSE_BODY)
        reset_stream(stream)

    def test_whole_response_is_delivered_after_a_reset(self):
        async def test(body, target):
            response, received = await self.send(body)
            self.assertEqual((200, RESPONSE_BODY), (response.status, received))

        self.run_with_all_paths(test)


class KeptConnectionTest(EarlyResponseTestCase):
    """A target reads on where the rest of a body is due.

    It gets nothing else there: the connection is not used again.
    """

    head = b''

    def make_nodes(self):
        super().make_nodes()
        self.late_bodies = []
        self.may_read = trio.Event()

    async def respond(self, stream, attempt_id, body):
        length = b'Content-Length: 2\r\n\r\nok'
        await stream.send_all(self.head % attempt_id + length)
        await self.may_read.wait()
        while len(body) < self.body_bytes:
            data = await stream.receive_some(RECEIVE_BYTES)
            if not data:
                break
            body += data
        self.late_bodies.append(body[: self.body_bytes])
        return len(body) == self.body_bytes

    def check_next_request(self, status):
        """Send a long request, then another one, and read on only then."""

        async def test(body, target):
            self.may_read = trio.Event()
            self.body_bytes = len(body)
            if body is STREAMED_BODY:
                # The body is sent to its end before the response is read.
                self.may_read.set()
            response, _ = await self.send(body)
            self.assertEqual(status, response.status)
            response, received = await self.call('/orders/2')
            self.assertEqual((200, b'ok'), (response.status, received))
            self.may_read.set()
            await wait_until(lambda: self.late_bodies)
            for late_body in self.late_bodies:
                self.assertEqual(b'', late_body.strip(b'x'))
            self.assertEqual(b'attempt-2', target.received[-1][1])

        self.run_with_all_paths(test)

    def test_next_request_after_an_early_refusal(self):
        """The mark that the request was sent in part was never set."""
        self.head = (
            b'HTTP/1.1 503 Busy\r\nAttempt-Id: %b\r\nNot-Executed: 1\r\n'
        )
        self.check_next_request(503)

    def test_next_request_after_an_early_answer(self):
        self.head = HEAD
        self.check_next_request(200)


class ReusedConnectionTest(EarlyResponseTestCase):
    """Connections are used again after requests that were sent to the end."""

    async def respond(self, stream, attempt_id, body):
        while len(body) < self.body_bytes:
            body += await stream.receive_some(RECEIVE_BYTES)
        await stream.send_all(
            HEAD % attempt_id + b'Content-Length: 2\r\n\r\nok'
        )
        return True

    def test_next_request_uses_the_connections_of_a_long_one(self):
        async def test(body, target):
            self.body_bytes = len(body)
            response, _ = await self.send(body)
            self.assertEqual(200, response.status)
            pool = self.near.path.forwarder.pool
            if target is self.far.target:
                (readers,) = pool.idle_readers.values()
                self.assertEqual(1, len(readers))
            response, _ = await self.call('/orders/2')
            self.assertEqual(200, response.status)
            self.assertEqual(1, target.connections)

        self.run_with_all_paths(test)


class OtherResponseTest(EarlyResponseTestCase):
    """A request is sent to its end unless its own final response comes."""

    other_response = b''
    may_read = None

    async def wait_before_reading(self):
        if self.may_read is None:
            await trio.sleep(READ_ON_DELAY_S)
        else:
            await self.may_read.wait()

    async def respond(self, stream, attempt_id, body):
        await stream.send_all(self.other_response)
        await self.wait_before_reading()
        while len(body) < self.body_bytes:
            data = await stream.receive_some(RECEIVE_BYTES)
            if not data:
                return False
            body += data
        await stream.send_all(
            HEAD % attempt_id + b'Content-Length: 2\r\n\r\nok'
        )
        return True

    async def check_served(self, body, target):
        self.body_bytes = len(body)
        response, received = await self.send(body)
        self.assertEqual((200, b'ok'), (response.status, received))

    def test_interim_response_does_not_end_the_sending(self):
        """The request ended at its deadline."""
        self.other_response = b'HTTP/1.1 102 Processing\r\n\r\n'
        self.run_with_all_paths(self.check_served)

    def test_late_response_to_another_request_does_not_end_the_sending(self):
        """The request ended at its deadline."""
        head = HEAD % b'earlier'
        self.other_response = head + b'Content-Length: 4\r\n\r\nlate'
        self.run_with_all_paths(self.check_served)

    def check_sending_ends(self, other_responses):
        async def test(body, target):
            self.body_bytes = len(body)
            self.may_read = trio.Event()
            with trio.fail_after(DEADLINE_S / 2):
                response, _ = await self.send(HELD_BODY)
            self.assertEqual(502, response.status)

        self.other_response = other_responses
        self.run_with_both_paths(partial(test, HELD_BODY))

    def test_too_many_interim_responses_end_the_sending(self):
        self.check_sending_ends(b'HTTP/1.1 102 Processing\r\n\r\n' * 100)

    def test_too_long_a_response_to_another_request_ends_the_sending(self):
        head = HEAD % b'earlier' + b'Content-Length: 1000000\r\n\r\n'
        self.check_sending_ends(head + b'x' * 100_000)
