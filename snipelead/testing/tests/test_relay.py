from testtools import TestCase
import trio

from snipelead.emulator.client import CallerConnection
from snipelead.emulator.target import EmulatedTarget
from snipelead.emulator.tests.test_target import make_settings
from snipelead.testing.relay import Direction
from snipelead.testing.relay import Relay


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
