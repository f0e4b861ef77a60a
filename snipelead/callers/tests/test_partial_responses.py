from socket import socketpair
from types import SimpleNamespace

from testtools import TestCase
import trio
import trio.testing

from snipelead.callers.call import Call
from snipelead.callers.exceptions import OverloadedError
from snipelead.callers.execution import finish_cancelled_call
from snipelead.callers.execution import run_call
from snipelead.callers.protocol import DEFAULT_CALLER_PROTOCOL
from snipelead.callers.watcher import CallWatcher
from snipelead.types import RequestClass

FIRST_BYTES = 10
TEST_TIMEOUT_S = 5.0


class BlockedConnection:
    """Connection whose peer reads only the first bytes of a message."""

    def __init__(self):
        self.closed = False
        self.cancel_scope = trio.CancelScope()
        self.sock, self.peer = socketpair()
        self.sent = []

    async def wait_for_response_turn(self, request):
        pass

    async def send(self, data):
        self.sent.append(bytes(data[:FIRST_BYTES]))
        await trio.sleep_forever()

    def send_nowait(self, data):
        self.sent.append(bytes(data))
        return len(data)

    def abort(self):
        self.closed = True


async def refuse(connection, request, call):
    raise OverloadedError('no slot is free')


async def run_limited(main):
    with trio.fail_after(TEST_TIMEOUT_S):
        await main()


class PartialResponseTest(TestCase):
    def test_nothing_is_sent_within_or_after_a_partial_refusal(self):
        """A second response followed the first bytes of a refusal."""

        async def main():
            connection = BlockedConnection()
            call = Call(RequestClass.ONCE, 'default', True, 10_000)
            request = SimpleNamespace(
                call=None,
                complete=True,
                keep_alive=True,
                method=b'POST',
                reader=SimpleNamespace(protocol=DEFAULT_CALLER_PROTOCOL),
            )
            with connection.sock, connection.peer:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(handle, connection, request, call)
                    await trio.testing.wait_all_tasks_blocked()
                    watcher = CallWatcher({}, {connection: request})
                    watcher.tick(trio.current_time() + 1.0)
                    connection.cancel_scope.cancel()
            self.assertEqual([b'HTTP/1.1 5'], connection.sent)
            self.assertTrue(connection.closed)

        async def handle(connection, request, call):
            with connection.cancel_scope:
                await run_call(connection, request, call, refuse)
            await finish_cancelled_call(connection, request)

        trio.run(run_limited, main)
