from testtools import ExpectedException
from testtools import TestCase
import trio

from snipelead.controls.exceptions import NoQuorumError
from snipelead.http.connection import Connection
from snipelead.http.connection import listen
from snipelead.messages import CertifyReply
from snipelead.messages import CertifyRequest
from snipelead.messages import FleetReply
from snipelead.messages import FleetRequest
from snipelead.releases.document import EMPTY_RELEASE
from snipelead.rpc.exceptions import RpcInternalError
from snipelead.rpc.exceptions import RpcNotSentError
from snipelead.rpc.exceptions import RpcTimeoutError
from snipelead.rpc.exceptions import RpcUnreachableError
from snipelead.rpc.stream import open_stream_transport
from snipelead.utils.ports import find_free_addresses

TIMEOUT_S = 20.0


class StreamTransportTest(TestCase):
    def setUp(self):
        super().setUp()
        self.address, self.unused_address = find_free_addresses(2)
        self.unblock = trio.Event()
        self.handlers = {
            CertifyRequest: self.certify,
            FleetRequest: self.wait_for_unblock,
        }
        self.started_calls = 0
        self.cancelled_calls = 0

    async def certify(self, request):
        return CertifyReply(EMPTY_RELEASE.release_id, True)

    async def refuse(self, request):
        raise NoQuorumError('no majority', 120)

    async def fail(self, request):
        raise KeyError('unexpected')

    async def wait_for_unblock(self, request):
        self.started_calls += 1
        try:
            await self.unblock.wait()
        except trio.Cancelled:
            self.cancelled_calls += 1
            raise
        return FleetReply('c', 'z', EMPTY_RELEASE.release_id)

    def run_with_server(self, test):
        async def main():
            with trio.fail_after(TIMEOUT_S):
                async with (
                    open_stream_transport() as transport,
                    trio.open_nursery() as nursery,
                ):
                    await nursery.start(
                        transport.serve, self.address, self.handlers
                    )
                    await test(transport, nursery)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    def test_reply_is_returned(self):
        async def test(transport, nursery):
            channel = transport.connect(self.address)
            reply = await channel.call(CertifyRequest(), TIMEOUT_S)
            self.assertTrue(reply.certified)
            self.assertEqual(1, transport.stats.calls)

        self.run_with_server(test)

    def test_fast_call_completes_while_another_is_blocked(self):
        async def test(transport, nursery):
            channel = transport.connect(self.address)
            nursery.start_soon(channel.call, FleetRequest(), TIMEOUT_S)
            while not self.started_calls:
                await trio.sleep(0.001)
            await channel.call(CertifyRequest(), TIMEOUT_S)
            self.unblock.set()

        self.run_with_server(test)

    def test_coded_error_is_raised_at_the_caller(self):
        self.handlers[CertifyRequest] = self.refuse

        async def test(transport, nursery):
            channel = transport.connect(self.address)
            with ExpectedException(NoQuorumError):
                await channel.call(CertifyRequest(), TIMEOUT_S)

        self.run_with_server(test)

    def test_unexpected_error_ends_only_its_call(self):
        self.handlers[CertifyRequest] = self.fail

        async def test(transport, nursery):
            channel = transport.connect(self.address)
            with ExpectedException(RpcInternalError):
                await channel.call(CertifyRequest(), TIMEOUT_S)
            self.handlers[CertifyRequest] = self.certify
            await channel.call(CertifyRequest(), TIMEOUT_S)

        self.run_with_server(test)

    def test_call_that_times_out_is_cancelled_at_the_server(self):
        async def test(transport, nursery):
            channel = transport.connect(self.address)
            with ExpectedException(RpcTimeoutError):
                await channel.call(FleetRequest(), 0.05)
            while not self.cancelled_calls:
                await trio.sleep(0.001)
            await channel.call(CertifyRequest(), TIMEOUT_S)

        self.run_with_server(test)

    def test_call_to_closed_port_is_not_sent(self):
        async def test(transport, nursery):
            channel = transport.connect(self.unused_address)
            with ExpectedException(RpcNotSentError):
                await channel.call(CertifyRequest(), TIMEOUT_S)

        self.run_with_server(test)

    def check_raw_response(self, data):
        """Check that a call fails if the server sends this and closes."""

        async def serve(listener):
            await trio.lowlevel.wait_readable(listener)
            sock, _ = listener.accept()
            with Connection(sock) as connection:
                await connection.receive()
                await connection.send(data)

        async def test(transport, nursery):
            listener = listen('127.0.0.1:0')
            host, port = listener.getsockname()
            nursery.start_soon(serve, listener)
            channel = transport.connect(f'{host}:{port}')
            with ExpectedException(RpcUnreachableError):
                await channel.call(CertifyRequest(), TIMEOUT_S)
            listener.close()

        self.run_with_server(test)

    def test_closed_connection_fails_its_calls(self):
        self.check_raw_response(b'')

    def test_undecodable_frame_ends_the_connection(self):
        self.check_raw_response(b'\x00\x00\x00\x03abc')

    def test_oversized_frame_ends_the_connection(self):
        self.check_raw_response(b'\xff\xff\xff\xff')
