import random

import msgspec
import trio

from snipelead.callers.exceptions import InternalCallError
from snipelead.callers.tests.fakes import Caller
from snipelead.callers.tests.fakes import CallPathTestCase
from snipelead.callers.tests.fakes import FakeNode
from snipelead.testing.relay import serve_streams
from snipelead.testing.wrong_bytes import WrongBytes
from snipelead.types import TargetState

HEAD = b'HTTP/1.1 503 X\r\nX-Snipelead-Code: %b\r\nX-Snipelead-Ran: %b\r\n'
EMPTY = b'Content-Length: 0\r\n\r\n'
NESTED = b'[' * 100_000
RESPONSE_LOST = 502
RANDOM_COUNT = 60


def encode_refusal(code=b'SL3006', ran=b'no', body=b'', *field_lines):
    lines = b''.join(line + b'\r\n' for line in field_lines)
    length = b'Content-Length: %d\r\n\r\n' % len(body)
    return HEAD % (code, ran) + lines + length + body


MALFORMED_REFUSALS = (
    b'HTTP/1.1 503 X\r\nX-Snipelead-Code: SL3006\r\n' + EMPTY,
    encode_refusal(ran=b'maybe'),
    encode_refusal(ran=b'\xff'),
    encode_refusal(code=b'\xff'),
    encode_refusal(b'SL3006', b'no', b'', b'X-Retry-After-Ms: soon'),
    encode_refusal(b'SL3006', b'no', b'', b'X-Retry-After-Ms: -5'),
    encode_refusal(
        b'SL3006', b'no', b'', b'X-Retry-After-Ms: ' + b'9' * 5_000
    ),
    encode_refusal(body=b'not JSON'),
    encode_refusal(body=b'[]'),
    encode_refusal(body=b'{"message": 3}'),
    encode_refusal(body=b'{"details": {"limit": 3}}'),
    encode_refusal(body=b'\xff'),
    encode_refusal(body=NESTED[:60_000]),
    encode_refusal(body=b' ' * 100_000),
)


class WrongPeer:
    """Node whose responses are chosen by a test.

    Attributes
    ----------
    response : bytes
        Response to each request, also to a fence; the connection is closed
        after it.
    """

    def __init__(self):
        self.response = b''

    async def run(self, *, task_status):
        await serve_streams(self._serve, task_status=task_status)

    async def _serve(self, stream):
        try:
            async with stream:
                await stream.receive_some()
                await stream.send_all(self.response)
        except trio.BrokenResourceError:
            pass


class MalformedRefusalTest(CallPathTestCase):
    """An error response of another node ends no more than its connection.

    Errors in reading it were not expected: the request was answered as if this
    node had failed, and one with the code of a broken invariant ended it.
    """

    def run_with_peer(self, test):
        near, far = FakeNode('n1'), FakeNode('n2')

        async def call(path, method):
            caller = await Caller.open(near.path.caller_address)
            response, _ = await caller.call(path, method)
            return response

        async def main(nursery):
            near.announce(TargetState.LEAVING)
            near.directory.merge(near.entry)
            peer = WrongPeer()
            address = await nursery.start(peer.run)
            entry = msgspec.structs.replace(
                far.entry, address=address, sequence=far.entry.sequence + 1
            )
            near.directory.merge(entry)

            async def send(path, method='POST'):
                near.path.balancer.observations.clear()
                near.path.reachability.unreachable_since.clear()
                return await call(path, method)

            await test(peer, send)
            near.announce(TargetState.SERVING)
            near.directory.merge(near.entry)
            response = await send('/reads/1', 'GET')
            self.assertEqual(200, response.status)

        self.run_nodes(main, near, far)

    def test_malformed_refusals(self):
        async def test(peer, send):
            for peer.response in MALFORMED_REFUSALS:
                response = await send('/orders/1')
                self.assertEqual(RESPONSE_LOST, response.status, peer.response)
                code = response.fields[b'x-snipelead-code']
                self.assertEqual(b'SL3012', code, peer.response)

        self.run_with_peer(test)

    def test_broken_invariant_of_another_node(self):
        """It ended the node that received the response."""

        async def test(peer, send):
            peer.response = encode_refusal(b'SL9001', b'no')
            self.assertEqual(503, (await send('/orders/1')).status)

        self.run_with_peer(test)

    def test_code_of_a_later_version(self):
        async def test(peer, send):
            body = b'{"message": "new", "details": {"limit": "3"}}'
            peer.response = encode_refusal(b'SL3999', b'no', body)
            response = await send('/orders/1')
            self.assertEqual(503, response.status)
            self.assertEqual(b'SL3999', response.fields[b'x-snipelead-code'])

        self.run_with_peer(test)

    def test_rate_limit_that_is_no_number(self):
        async def test(peer, send):
            for text in (b'x', b'nan', b'-1', b'1e999'):
                body = b'{"details": {"rate_limit": "%b"}}' % text
                peer.response = encode_refusal(b'SL3026', b'no', body)
                self.assertEqual(503, (await send('/orders/1')).status)

        self.run_with_peer(test)

    def test_random_responses(self):
        async def test(peer, send):
            code_fields = (b'X-Snipelead-Code: SL3006', b'X-Snipelead-Ran: no')
            wrong_bytes = WrongBytes(random.Random(3), code_fields)
            for _ in range(RANDOM_COUNT):
                peer.response = wrong_bytes.draw_response()
                response = await send('/orders/1')
                code = response.fields.get(b'x-snipelead-code', b'')
                self.assertNotEqual(InternalCallError.code, code.decode())

        self.run_with_peer(test)
