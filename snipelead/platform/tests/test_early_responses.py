from functools import partial
from unittest import mock

import trio

from snipelead.http import pool
from snipelead.platform.tests.early_target import EarlyTarget
from snipelead.platform.tests.early_target import open_small_connection
from snipelead.platform.tests.early_target import reset
from snipelead.platform.tests.test_protocols import PlatformTestCase

# Received in full before the first attempt, and forwarded while it arrives.
HELD_BODY = b'x' * 60_000
STREAMED_BODY = b'x' * 2_000_000
RESPONSE_BODY = b'line of the report\n' * 200
HEAD = b'HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\nResponse-Seal: 1\r\n'
# Time in which a blocked send fails after a reset.
RESET_S = 0.05


class EarlyResponseTestCase(PlatformTestCase):
    """Requests whose target responds before it has read their body."""

    def setUp(self):
        super().setUp()
        self.enterContext(
            mock.patch.object(pool, 'connect', open_small_connection)
        )

    def make_nodes(self):
        super().make_nodes()
        for node in (self.near, self.far):
            node.target.listener.close()
            node.target = EarlyTarget(self.respond)

    async def respond(self, stream, attempt_id, body):
        raise NotImplementedError

    def run_with_all_paths(self, test):
        for body in (HELD_BODY, STREAMED_BODY):
            self.make_nodes()
            self.run_with_both_paths(partial(test, body))

    async def post(self, body):
        """Send a request; read its response while the body is being sent."""
        caller = await self.open()
        self.attempts += 1
        async with trio.open_nursery() as nursery:

            async def send():
                try:
                    await caller.send(
                        '/orders/1',
                        'POST',
                        body,
                        Attempt_Id=f'attempt-{self.attempts}',
                        Deadline_Ms=5_000,
                    )
                except OSError:
                    pass

            nursery.start_soon(send)
            response = await caller.receive()
            nursery.cancel_scope.cancel()
        return response


class ResetTest(EarlyResponseTestCase):
    """A response without a length is complete only if it was not reset."""

    def make_nodes(self):
        self.part = RESPONSE_BODY[: len(RESPONSE_BODY) // 2]
        super().make_nodes()

    async def respond(self, stream, attempt_id, body):
        await stream.send_all(HEAD % attempt_id + b'\r\n' + self.part)
        reset(stream)

    def test_response_that_is_reset_is_not_passed_on_as_complete(self):
        """The failed send had taken the error that told of the reset."""

        async def test(body, target):
            response, _ = await self.post(body)
            self.assertEqual(502, response.status)

        self.run_with_all_paths(test)


class EndOfStreamTest(EarlyResponseTestCase):
    """A whole response is delivered though the request cannot be sent."""

    async def respond(self, stream, attempt_id, body):
        await stream.send_all(HEAD % attempt_id + b'\r\n' + RESPONSE_BODY)
        await stream.send_eof()
        await trio.sleep(RESET_S)
        reset(stream)

    def test_response_that_ended_before_a_reset_is_complete(self):
        async def test(body, target):
            response, received = await self.post(body)
            self.assertEqual(
                (200, RESPONSE_BODY), (response.status, received)
            )

        self.run_with_all_paths(test)


class LengthTest(EarlyResponseTestCase):
    """A response with a length is complete once all of it was received."""

    async def respond(self, stream, attempt_id, body):
        length = b'Content-Length: %d\r\n\r\n' % len(RESPONSE_BODY)
        await stream.send_all(HEAD % attempt_id + length + RESPONSE_BODY)
        reset(stream)

    def test_whole_response_is_delivered_after_a_reset(self):
        async def test(body, target):
            response, received = await self.post(body)
            self.assertEqual(
                (200, RESPONSE_BODY), (response.status, received)
            )

        self.run_with_all_paths(test)
