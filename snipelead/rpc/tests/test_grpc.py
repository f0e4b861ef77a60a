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
from snipelead.rpc.grpc import open_transport
from snipelead.utils.ports import find_free_addresses

TIMEOUT_S = 20.0
REPLY = CertifyReply(EMPTY_RELEASE.held, True)


async def _answer(request):
    return REPLY


async def _silent(request):
    await trio.sleep_forever()


class GrpcTransportTest(TestCase):
    def run_with(self, handler, check):
        """Run a check against a server with one handler."""
        (address,) = find_free_addresses(1)

        async def run():
            async with open_transport() as transport:
                async with trio.open_nursery() as nursery:
                    await nursery.start(
                        transport.serve, address, {CertifyRequest: handler}
                    )
                    async with transport.connect(address) as channel:
                        with trio.fail_after(2 * TIMEOUT_S):
                            await check(channel)
                    nursery.cancel_scope.cancel()

        trio.run(run)

    def test_reply_comes_back(self):
        async def check(channel):
            reply = await channel.call(CertifyRequest(), TIMEOUT_S)
            self.assertEqual(REPLY, reply)

        self.run_with(_answer, check)

    def test_coded_error_comes_back(self):
        async def refuse(request):
            raise NoQuorumError('none', retry_after_ms=5, reached=1)

        async def check(channel):
            error = None
            try:
                await channel.call(CertifyRequest(), TIMEOUT_S)
            except NoQuorumError as caught:
                error = caught
            self.assertEqual(5, error.retry_after_ms)
            self.assertEqual({'reached': '1'}, error.details)

        self.run_with(refuse, check)

    def test_unforeseen_failure_does_not_stop_the_server(self):
        failures = [ValueError('unforeseen')]

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

        self.run_with(fail_once, check)

    def test_timeout_replaces_the_connection(self):
        async def check(channel):
            error = None
            try:
                await channel.call(CertifyRequest(), 0.05)
            except RpcTimeoutError as caught:
                error = caught
            self.assertIsNotNone(error)
            self.assertIsNone(channel.connection)

        self.run_with(_silent, check)

    def test_cancelled_call_ends_its_handler(self):
        began = trio.Event()
        ended = trio.Event()

        async def hold(request):
            began.set()
            try:
                await trio.sleep_forever()
            finally:
                ended.set()

        async def check(channel):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(channel.call, CertifyRequest(), TIMEOUT_S)
                await began.wait()
                nursery.cancel_scope.cancel()
            await ended.wait()

        self.run_with(hold, check)

    def test_stopped_server_ends_its_calls_and_runs_no_more(self):
        (address,) = find_free_addresses(1)

        async def run():
            began = trio.Event()

            async def hold(request):
                began.set()
                await trio.sleep_forever()

            async with open_transport() as transport:
                async with trio.open_nursery() as nursery:
                    await nursery.start(
                        transport.serve, address, {CertifyRequest: hold}
                    )
                    channel = transport.connect(address)
                    async with trio.open_nursery() as calls:
                        calls.start_soon(self.expect_unreachable, channel)
                        await began.wait()
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

    def test_broken_invariant_stops_the_server(self):
        async def fail(request):
            raise InvariantError('broken')

        async def check(channel):
            try:
                await channel.call(CertifyRequest(), TIMEOUT_S)
            except RpcUnreachableError:
                await trio.sleep_forever()

        found = []
        try:
            self.run_with(fail, check)
        except* InvariantError as group:
            found = group.exceptions
        self.assertEqual(1, len(found))

    def test_call_to_nobody_was_not_sent(self):
        async def run():
            async with open_transport() as transport:
                (address,) = find_free_addresses(1)
                channel = transport.connect(address)
                error = None
                try:
                    await channel.call(CertifyRequest(), TIMEOUT_S)
                except RpcNotSentError as caught:
                    error = caught
                self.assertIsNotNone(error)

        trio.run(run)
