from msgspec import Struct
from testtools import TestCase
import trio

from snipelead.exceptions import InvalidParameterError
from snipelead.messages import register_reply
from snipelead.rpc.exceptions import RpcNotSentError
from snipelead.rpc.exceptions import RpcTimeoutError
from snipelead.rpc.exceptions import RpcUnreachableError
from snipelead.testing.network import MemoryNetwork
from snipelead.testing.simulation import run_simulated

SERVER = 'server:1'
CLIENT = 'client:1'


class Echo(Struct, frozen=True):
    """Request of the test procedure."""

    number: int


class EchoReply(Struct, frozen=True):
    """Reply of the test procedure."""

    number: int


register_reply(Echo, EchoReply)


class Server:
    """Server that echoes numbers and records their order."""

    def __init__(self, work_s):
        self.received = []
        self.work_s = work_s

    async def echo(self, request):
        self.received.append(request.number)
        if request.number < 0:
            raise InvalidParameterError('number must not be negative')
        await trio.sleep(self.work_s)
        return EchoReply(request.number)


async def _serve(network, server, nursery):
    transport = network.transport(SERVER)
    scope = trio.CancelScope()

    async def run(task_status=trio.TASK_STATUS_IGNORED):
        with scope:
            await transport.serve(
                SERVER, {Echo: server.echo}, task_status=task_status
            )

    await nursery.start(run)
    return scope


class MemoryNetworkTest(TestCase):
    def run_with_server(self, scenario, work_s=0.0, **options):
        network = MemoryNetwork(**options)
        server = Server(work_s)

        async def run():
            async with trio.open_nursery() as nursery:
                scope = await _serve(network, server, nursery)
                channel = network.transport(CLIENT).connect(SERVER)
                await scenario(network, channel, scope)
                nursery.cancel_scope.cancel()

        run_simulated(run)
        return server

    def test_call_takes_delay_of_both_directions(self):
        async def scenario(network, channel, scope):
            started = trio.current_time()
            reply = await channel.call(Echo(7), 1.0)
            self.assertEqual(EchoReply(7), reply)
            self.assertAlmostEqual(0.4, trio.current_time() - started)

        self.run_with_server(scenario, min_delay_s=0.2, max_delay_s=0.2)

    def test_coded_errors_are_returned_to_client(self):
        async def scenario(network, channel, scope):
            with self.expect(InvalidParameterError):
                await channel.call(Echo(-1), 1.0)

        self.run_with_server(scenario)

    def test_cut_link_drops_messages_until_healed(self):
        async def scenario(network, channel, scope):
            network.isolate(CLIENT, [SERVER])
            with self.expect(RpcTimeoutError):
                await channel.call(Echo(1), 1.0)
            network.heal()
            await channel.call(Echo(2), 1.0)

        self.assertEqual([2], self.run_with_server(scenario).received)

    def test_response_can_be_lost_after_execution(self):
        async def scenario(network, channel, scope):
            network.dropping_links.add((SERVER, CLIENT))
            with self.expect(RpcTimeoutError):
                await channel.call(Echo(1), 1.0)

        self.assertEqual([1], self.run_with_server(scenario).received)

    def test_frozen_link_delivers_late(self):
        async def scenario(network, channel, scope):
            network.freeze(SERVER)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(channel.call, Echo(1), 10.0)
                await trio.sleep(5.0)
                network.thaw(SERVER)

        self.assertEqual([1], self.run_with_server(scenario).received)

    def test_unequal_delays_reorder_requests(self):
        async def scenario(network, channel, scope):
            async with trio.open_nursery() as nursery:
                for number in range(20):
                    nursery.start_soon(channel.call, Echo(number), 10.0)

        server = self.run_with_server(scenario, max_delay_s=1.0)
        self.assertEqual(list(range(20)), sorted(server.received))
        self.assertNotEqual(list(range(20)), server.received)

    def test_same_seed_repeats_order(self):
        async def scenario(network, channel, scope):
            async with trio.open_nursery() as nursery:
                for number in range(20):
                    nursery.start_soon(channel.call, Echo(number), 10.0)

        first = self.run_with_server(scenario, seed=3, max_delay_s=1.0)
        second = self.run_with_server(scenario, seed=3, max_delay_s=1.0)
        self.assertEqual(first.received, second.received)

    def test_lost_request_times_out(self):
        async def scenario(network, channel, scope):
            with self.expect(RpcTimeoutError):
                await channel.call(Echo(1), 1.0)

        self.assertEqual(
            [], self.run_with_server(scenario, loss_probability=1.0).received
        )

    def test_duplicated_request_is_executed_twice_and_answered_once(self):
        async def scenario(network, channel, scope):
            self.assertEqual(EchoReply(1), await channel.call(Echo(1), 1.0))

        server = self.run_with_server(scenario, duplication_probability=1.0)
        self.assertEqual([1, 1], server.received)

    def test_call_without_listener_is_not_sent(self):
        async def scenario(network, channel, scope):
            channel_without_listener = network.transport(CLIENT).connect(
                'nobody:1'
            )
            with self.expect(RpcNotSentError):
                await channel_without_listener.call(Echo(1), 1.0)

        self.run_with_server(scenario)

    def test_stopped_server_makes_outcome_unknown(self):
        async def scenario(network, channel, scope):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.expect_unreachable, channel)
                await trio.sleep(1.0)
                scope.cancel()

        server = self.run_with_server(scenario, work_s=5.0)
        self.assertEqual([1], server.received)

    async def expect_unreachable(self, channel):
        with self.expect(RpcUnreachableError) as caught:
            await channel.call(Echo(1), 10.0)
        self.assertNotIsInstance(caught.error, RpcNotSentError)

    def expect(self, kind):
        return _Raises(self, kind)


class _Raises:
    """Context manager that expects an error and stores it."""

    def __init__(self, test, kind):
        self.test = test
        self.kind = kind
        self.error = None

    def __enter__(self):
        return self

    def __exit__(self, kind, error, traceback):
        self.error = error
        self.test.assertIsInstance(error, self.kind)
        return True
