from testtools import TestCase
import trio

from snipelead.controls.exceptions import NoQuorumError
from snipelead.exceptions import InvariantError
from snipelead.messages import CertifyReply
from snipelead.messages import CertifyRequest
from snipelead.releases.document import EMPTY_RELEASE
from snipelead.rpc.exceptions import RpcNotSentError
from snipelead.rpc.exceptions import RpcTimeoutError
from snipelead.rpc.exceptions import RpcUnreachableError
from snipelead.rpc.grpc import open_grpc_transport
from snipelead.utils.ports import find_free_addresses

TIMEOUT_S = 20.0
REPLY = CertifyReply(EMPTY_RELEASE.release_id, True)
RECEIVE_BYTES = 1_000
# HTTP/2 preface, SETTINGS, and HEADERS with a path that isn't ASCII.
INVALID_PATH = (
    b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'
    + bytes([0, 0, 0, 4, 0, 0, 0, 0, 0])
    + bytes([0, 0, 10, 1, 4, 0, 0, 0, 1])
    + b'\x00\x05:path\x02\xff\xff'
)


async def _reply(request):
    return REPLY


async def _never_reply(request):
    await trio.sleep_forever()


class GrpcTransportTest(TestCase):
    def run_with_server(self, handler, check):
        """Run a check with a channel to a server that has one handler."""
        (address,) = find_free_addresses(1)

        async def run():
            async with open_grpc_transport() as transport:
                async with trio.open_nursery() as nursery:
                    await nursery.start(
                        transport.serve, address, {CertifyRequest: handler}
                    )
                    async with transport.connect(address) as channel:
                        with trio.fail_after(2 * TIMEOUT_S):
                            await check(channel)
                    nursery.cancel_scope.cancel()

        trio.run(run)

    def test_reply_is_returned(self):
        async def check(channel):
            reply = await channel.call(CertifyRequest(), TIMEOUT_S)
            self.assertEqual(REPLY, reply)

        self.run_with_server(_reply, check)

    def test_coded_error_is_raised_at_the_caller(self):
        async def refuse(request):
            raise NoQuorumError('no quorum', retry_after_ms=5, reached=1)

        async def check(channel):
            error = None
            try:
                await channel.call(CertifyRequest(), TIMEOUT_S)
            except NoQuorumError as caught:
                error = caught
            self.assertEqual(5, error.retry_after_ms)
            self.assertEqual({'reached': '1'}, error.details)

        self.run_with_server(refuse, check)

    def test_unexpected_error_does_not_stop_the_server(self):
        failures = [ValueError('unexpected')]

        async def fail_once(request):
            if failures:
                raise failures.pop()
            return REPLY

        async def check(channel):
            error = None
            try:
                await channel.call(CertifyRequest(), TIMEOUT_S)
            except RpcUnreachableError as caught:
                error = caught
            self.assertIsNotNone(error)
            reply = await channel.call(CertifyRequest(), TIMEOUT_S)
            self.assertEqual(REPLY, reply)

        self.run_with_server(fail_once, check)

    def test_invalid_header_closes_only_its_connection(self):
        # An error in a callback of the loop ended the process.
        async def check(channel):
            host, port = channel.address.split(':')
            async with await trio.open_tcp_stream(host, int(port)) as stream:
                await stream.send_all(INVALID_PATH)
                while await stream.receive_some(RECEIVE_BYTES):
                    pass
            reply = await channel.call(CertifyRequest(), TIMEOUT_S)
            self.assertEqual(REPLY, reply)

        self.run_with_server(_reply, check)

    def test_timeout_replaces_the_connection(self):
        async def check(channel):
            error = None
            try:
                await channel.call(CertifyRequest(), 0.05)
            except RpcTimeoutError as caught:
                error = caught
            self.assertIsNotNone(error)
            self.assertIsNone(channel.connection)

        self.run_with_server(_never_reply, check)

    def test_cancelled_call_ends_its_handler(self):
        started = trio.Event()
        stopped = trio.Event()

        async def block(request):
            started.set()
            try:
                await trio.sleep_forever()
            finally:
                stopped.set()

        async def check(channel):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(channel.call, CertifyRequest(), TIMEOUT_S)
                await started.wait()
                nursery.cancel_scope.cancel()
            await stopped.wait()

        self.run_with_server(block, check)

    def test_stopped_server_fails_calls_in_progress(self):
        (address,) = find_free_addresses(1)

        async def run():
            started = trio.Event()

            async def block(request):
                started.set()
                await trio.sleep_forever()

            async with open_grpc_transport() as transport:
                async with trio.open_nursery() as nursery:
                    await nursery.start(
                        transport.serve, address, {CertifyRequest: block}
                    )
                    channel = transport.connect(address)
                    async with trio.open_nursery() as calls:
                        calls.start_soon(self.expect_unreachable, channel)
                        await started.wait()
                        nursery.cancel_scope.cancel()

        trio.run(run)

    async def expect_unreachable(self, channel):
        error = None
        with trio.CancelScope(shield=True), trio.fail_after(TIMEOUT_S):
            try:
                await channel.call(CertifyRequest(), 2 * TIMEOUT_S)
            except RpcUnreachableError as caught:
                error = caught
        self.assertIsNotNone(error)

    def test_invariant_error_stops_the_server(self):
        async def fail(request):
            raise InvariantError('violated')

        async def check(channel):
            try:
                await channel.call(CertifyRequest(), TIMEOUT_S)
            except RpcUnreachableError:
                await trio.sleep_forever()

        errors = []
        try:
            self.run_with_server(fail, check)
        except* InvariantError as group:
            errors = group.exceptions
        self.assertEqual(1, len(errors))

    def test_call_to_closed_port_is_not_sent(self):
        async def run():
            async with open_grpc_transport() as transport:
                (address,) = find_free_addresses(1)
                channel = transport.connect(address)
                error = None
                try:
                    await channel.call(CertifyRequest(), TIMEOUT_S)
                except RpcNotSentError as caught:
                    error = caught
                self.assertIsNotNone(error)

        trio.run(run)
