from random import Random

import trio

from snipelead.platform.tests.early_target import EarlyTargetTestCase
from snipelead.testing.relay import reset_stream

SEEDS = range(1, 9)
CALLERS = 4
REQUESTS_PER_CALLER = 15
BODY_BYTES = (0, 0, 10, 60_000, 60_000, 300_000)
RESPONSE_BODY = b'line of the report\n' * 200
RECEIVE_BYTES = 16 * 1024
MAX_READ_ON_DELAY_S = 0.05
HEAD = b'HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\nResponse-Seal: 1\r\n'
SHED_HEAD = b'HTTP/1.1 503 Busy\r\nAttempt-Id: %b\r\nNot-Executed: 1\r\n'


class RandomEarlyResponsesTest(EarlyTargetTestCase):
    """Random requests to targets that respond before they have read them.

    A target gets nothing but a body where a body is due, and nothing but
    requests where a request is due. A caller gets whole responses only.
    """

    def test_bodies_and_responses_are_not_mixed_up(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.rng = Random(seed)
                self.sent = {}
                self.statuses = []
                self.make_nodes()
                self.run_nodes(self.run_callers, self.near, self.far)
                for target in (self.near.target, self.far.target):
                    for line, attempt_id in target.received:
                        self.assertEqual(self.sent[attempt_id][0], line)
                self.assertIn(200, self.statuses)
                self.assertIn(503, self.statuses)

    async def run_callers(self, nursery):
        async with trio.open_nursery() as callers:
            for number in range(CALLERS):
                callers.start_soon(self.run_caller, number)

    async def run_caller(self, number):
        for count in range(REQUESTS_PER_CALLER):
            attempt_id = f'a{number}-{count}'
            size = self.rng.choice(BODY_BYTES)
            path = f'/orders/{number}-{count}'
            line = f'POST {path} HTTP/1.1'.encode()
            self.sent[attempt_id.encode()] = (line, size)
            response, body = await self.post(path, b'x' * size, attempt_id)
            self.statuses.append(response.status)
            if response.status == 200:
                self.assertEqual(RESPONSE_BODY, body)

    async def respond(self, stream, attempt_id, body):
        """Respond early or late, whole or in part; read on in most cases."""
        size = self.sent[attempt_id][1]
        if self.rng.random() < 0.3:
            body = await self.receive_body(stream, body, size)
        length = b'Content-Length: %d\r\n\r\n' % len(RESPONSE_BODY)
        match self.rng.randrange(5):
            case 0:
                head = HEAD % attempt_id + b'\r\n'
                await stream.send_all(head + RESPONSE_BODY[:1_900])
                reset_stream(stream)
                return False
            case 1:
                await stream.send_all(
                    HEAD % attempt_id + b'\r\n' + RESPONSE_BODY
                )
                await stream.send_eof()
                await self.receive_body(stream, body, size)
                return False
            case 2:
                await stream.send_all(
                    HEAD % attempt_id + length + RESPONSE_BODY
                )
            case _:
                await stream.send_all(
                    SHED_HEAD % attempt_id + b'Content-Length: 0\r\n\r\n'
                )
        await trio.sleep(self.rng.uniform(0, MAX_READ_ON_DELAY_S))
        body = await self.receive_body(stream, body, size)
        return len(body) == size

    async def receive_body(self, stream, body, size):
        while len(body) < size:
            data = await stream.receive_some(
                min(RECEIVE_BYTES, size - len(body))
            )
            if not data:
                break
            body += data
        self.assertEqual(b'', body.strip(b'x'))
        return body
