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
    """Test request."""

    number: int


class EchoReply(Struct, frozen=True):
    """Test reply."""

    number: int


register_reply(Echo, EchoReply)


class Server:
    """Echoes numbers and remembers their order."""

    def __init__(self, work_s):
        self.seen = []
        self.work_s = work_s

    async def echo(self, request):
        self.seen.append(request.number)
        if request.number < 0:
            raise InvalidParameterError('the number must not be negative')
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

    def test_call_takes_both_delays(self):
        async def scenario(network, channel, scope):
            started = trio.current_time()
            reply = await channel.call(Echo(7), 1.0)
            self.assertEqual(EchoReply(7), reply)
            self.assertAlmostEqual(0.4, trio.current_time() - started)

        self.run_with_server(scenario, min_delay_s=0.2, max_delay_s=0.2)

    def test_coded_errors_cross_the_network(self):
        async def scenario(network, channel, scope):
            with self.expect(InvalidParameterError):
                await channel.call(Echo(-1), 1.0)

        self.run_with_server(scenario)

    def test_cut_link_is_silent_until_healed(self):
        async def scenario(network, channel, scope):
            network.isolate(CLIENT, [SERVER])
            with self.expect(RpcTimeoutError):
                await channel.call(Echo(1), 1.0)
            network.heal()
            await channel.call(Echo(2), 1.0)

        self.assertEqual([2], self.run_with_server(scenario).seen)

    def test_answer_can_be_lost_after_the_request_ran(self):
        async def scenario(network, channel, scope):
            network.silent.add((SERVER, CLIENT))
            with self.expect(RpcTimeoutError):
                await channel.call(Echo(1), 1.0)

        self.assertEqual([1], self.run_with_server(scenario).seen)

    def test_frozen_link_delivers_late(self):
        async def scenario(network, channel, scope):
            network.freeze(SERVER)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(channel.call, Echo(1), 10.0)
                await trio.sleep(5.0)
                network.thaw(SERVER)

        self.assertEqual([1], self.run_with_server(scenario).seen)

    def test_unequal_delays_reorder(self):
        async def scenario(network, channel, scope):
            async with trio.open_nursery() as nursery:
                for number in range(20):
                    nursery.start_soon(channel.call, Echo(number), 10.0)

        server = self.run_with_server(scenario, max_delay_s=1.0)
        self.assertEqual(list(range(20)), sorted(server.seen))
        self.assertNotEqual(list(range(20)), server.seen)

    def test_same_seed_gives_the_same_order(self):
        async def scenario(network, channel, scope):
            async with trio.open_nursery() as nursery:
                for number in range(20):
                    nursery.start_soon(channel.call, Echo(number), 10.0)

        first = self.run_with_server(scenario, seed=3, max_delay_s=1.0)
        second = self.run_with_server(scenario, seed=3, max_delay_s=1.0)
        self.assertEqual(first.seen, second.seen)

    def test_loss_is_a_timeout(self):
        async def scenario(network, channel, scope):
            with self.expect(RpcTimeoutError):
                await channel.call(Echo(1), 1.0)

        self.assertEqual([], self.run_with_server(scenario, loss=1.0).seen)

    def test_duplicate_runs_twice_and_answers_once(self):
        async def scenario(network, channel, scope):
            self.assertEqual(EchoReply(1), await channel.call(Echo(1), 1.0))

        server = self.run_with_server(scenario, duplication=1.0)
        self.assertEqual([1, 1], server.seen)

    def test_nothing_is_sent_where_nobody_listens(self):
        async def scenario(network, channel, scope):
            other = network.transport(CLIENT).connect('nobody:1')
            with self.expect(RpcNotSentError):
                await other.call(Echo(1), 1.0)

        self.run_with_server(scenario)

    def test_stopped_server_leaves_the_outcome_open(self):
        async def scenario(network, channel, scope):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.expect_unreachable, channel)
                await trio.sleep(1.0)
                scope.cancel()

        server = self.run_with_server(scenario, work_s=5.0)
        self.assertEqual([1], server.seen)

    async def expect_unreachable(self, channel):
        with self.expect(RpcUnreachableError) as caught:
            await channel.call(Echo(1), 10.0)
        self.assertNotIsInstance(caught.error, RpcNotSentError)

    def expect(self, kind):
        return _Raises(self, kind)


class _Raises:
    """Context manager that expects an error and keeps it."""

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
