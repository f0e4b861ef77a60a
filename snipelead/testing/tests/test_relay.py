import socket

from testtools import ExpectedException
from testtools import TestCase
import trio

from snipelead.emulator.client import CallerConnection
from snipelead.emulator.target import EmulatedTarget
from snipelead.emulator.tests.test_target import make_settings
from snipelead.testing.relay import Direction
from snipelead.testing.relay import Relay
from snipelead.testing.relay import reset_stream

BUFFER_BYTES = 4_096


class RelayTest(TestCase):
    def test_stalled_connections_hang_while_new_ones_work(self):
        target = EmulatedTarget(make_settings(), announce=False)

        async def main():
            async with trio.open_nursery() as nursery:
                upstream = await nursery.start(target.run)
                relay = Relay(upstream)
                address = await nursery.start(relay.run)
                old = await CallerConnection.open(address)
                first = await old.request('GET', '/')
                relay.stall_connections()
                with trio.move_on_after(0.2) as scope:
                    await old.request('GET', '/')
                fresh = await CallerConnection.open(address)
                second = await fresh.request('GET', '/')
                old.close()
                fresh.close()
                nursery.cancel_scope.cancel()
            return first.status, scope.cancelled_caught, second.status

        self.assertEqual((200, True, 200), trio.run(main))
        self.assertEqual(2, len(target.run_log.runs))

    def test_cut_delays_response_and_reset_breaks_connection(self):
        target = EmulatedTarget(make_settings(), announce=False)

        async def main():
            async with trio.open_nursery() as nursery:
                upstream = await nursery.start(target.run)
                relay = Relay(upstream)
                address = await nursery.start(relay.run)
                connection = await CallerConnection.open(address)
                relay.cut(Direction.RESPONSES)
                with trio.move_on_after(0.2) as scope:
                    await connection.request('GET', '/')
                self.assertTrue(scope.cancelled_caught)
                self.assertEqual(1, len(target.run_log.runs))
                relay.heal()
                # The blocked response arrives after the relay is healed.
                self.assertEqual(200, (await connection._receive()).status)
                relay.reset()
                error = None
                try:
                    await connection.request('GET', '/')
                except trio.BrokenResourceError as raised:
                    error = raised
                self.assertIsNotNone(error)
                connection.close()
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_reset_by_the_upstream_is_not_relayed_as_an_end_of_stream(self):
        """A failed send to the upstream closed the client's connection."""

        async def respond_and_reset(stream):
            await stream.send_all(b'part')
            reset_stream(stream)

        async def main():
            async with trio.open_nursery() as nursery:
                (listener,) = await trio.open_tcp_listeners(
                    0, host='127.0.0.1'
                )
                listener.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES
                )
                host, port = listener.socket.getsockname()
                nursery.start_soon(
                    trio.serve_listeners, respond_and_reset, [listener]
                )
                relay = Relay(f'{host}:{port}', buffer_bytes=BUFFER_BYTES)
                address = await nursery.start(relay.run)
                for size in (10, 1_000, 40_000) * 20:
                    await self.check_reset(address, b'x' * size)
                nursery.cancel_scope.cancel()

        trio.run(main)

    async def check_reset(self, address, data):
        host, _, port = address.rpartition(':')
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            with ExpectedException(trio.BrokenResourceError):
                await stream.send_all(data)
                while await stream.receive_some():
                    pass
                self.fail('the stream ended')
