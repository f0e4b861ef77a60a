import random
import struct

import msgspec
from testtools import ExpectedException
from testtools import TestCase
import trio

from snipelead.http.connection import connect
from snipelead.http.exceptions import ConnectionLostError
from snipelead.messages import CertifyReply
from snipelead.messages import CertifyRequest
from snipelead.releases.document import EMPTY_RELEASE
from snipelead.rpc.exceptions import RpcInternalError
from snipelead.rpc.exceptions import RpcUnreachableError
from snipelead.rpc.stream import open_stream_transport
from snipelead.testing.relay import serve_streams
from snipelead.testing.wrong_bytes import WrongBytes
from snipelead.utils.ports import find_free_addresses

TEST_TIMEOUT_S = 20.0
CALL_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 0.05
CONNECTION_COUNT = 150
NESTED_ARRAYS = b'\x91' * 100_000
# A frame may have more fields than are known.
NESTED_FRAME = b'\x94\x01\xa0\xc4\x00' + NESTED_ARRAYS


def encode_frame(payload):
    return struct.pack('>I', len(payload)) + payload


class WrongBytesTest(TestCase):
    """Bytes of a peer end no more than the connection they came on."""

    def setUp(self):
        super().setUp()
        (self.address,) = find_free_addresses(1)

    def run_transport(self, test):
        async def main():
            with trio.fail_after(TEST_TIMEOUT_S):
                async with (
                    open_stream_transport() as transport,
                    trio.open_nursery() as nursery,
                ):
                    await test(transport, nursery)
                    nursery.cancel_scope.cancel()

        trio.run(main)


class WrongBytesAtServerTest(WrongBytesTest):
    async def certify(self, request):
        return CertifyReply(EMPTY_RELEASE.release_id, True)

    async def send(self, data):
        with await connect(self.address) as connection:
            with trio.move_on_after(CLOSE_TIMEOUT_S):
                try:
                    await connection.send(data)
                    while await connection.receive():
                        pass
                except ConnectionLostError:
                    pass

    def check_serves_after(self, *blocks):
        async def test(transport, nursery):
            handlers = {CertifyRequest: self.certify}
            await nursery.start(transport.serve, self.address, handlers)
            channel = transport.connect(self.address)
            for data in blocks:
                await self.send(data)
            reply = await channel.call(CertifyRequest(), CALL_TIMEOUT_S)
            self.assertTrue(reply.certified)

        self.run_transport(test)

    def test_frame_nested_too_deeply(self):
        """One such frame ended the process."""
        self.check_serves_after(encode_frame(NESTED_FRAME))

    def test_request_nested_too_deeply(self):
        frame = msgspec.msgpack.encode((1, 'CertifyRequest', NESTED_ARRAYS))
        self.check_serves_after(encode_frame(frame))

    def test_random_frames(self):
        wrong_bytes = WrongBytes(random.Random(1))
        frames = [wrong_bytes.draw_frame() for _ in range(CONNECTION_COUNT)]
        self.check_serves_after(*frames)


class WrongBytesAtClientTest(WrongBytesTest):
    def check_raises(self, error_type, payload):
        """Check the error of a call that is answered with a payload."""

        async def answer(stream):
            await stream.receive_some()
            await stream.send_all(encode_frame(payload))
            await stream.receive_some()

        async def test(transport, nursery):
            address = await nursery.start(serve_streams, answer)
            channel = transport.connect(address)
            with ExpectedException(error_type):
                await channel.call(CertifyRequest(), CALL_TIMEOUT_S)

        self.run_transport(test)

    def test_frame_nested_too_deeply(self):
        """One such frame ended the process."""
        self.check_raises(RpcUnreachableError, NESTED_FRAME)

    def test_reply_nested_too_deeply(self):
        envelope = b'\x92\xc0' + NESTED_ARRAYS
        payload = msgspec.msgpack.encode((1, '', envelope))
        self.check_raises(RpcInternalError, payload)
