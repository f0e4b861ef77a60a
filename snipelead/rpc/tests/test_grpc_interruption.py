import gc
import socket

from testtools import TestCase
import trio

from snipelead.exceptions import SnipeleadError
from snipelead.messages import CertifyRequest
from snipelead.rpc.grpc import open_grpc_transport

TIMEOUT_S = 20.0
# More scheduler steps than a call takes to open its connection and be sent.
STEPS = 40
# Far above the time of all interrupted calls together.
WATCHDOG_S = 10.0


async def _call(channel):
    try:
        await channel.call(CertifyRequest(), TIMEOUT_S)
    except SnipeleadError:
        pass


class GrpcInterruptionTest(TestCase):
    """Calls that are interrupted after each number of scheduler steps."""

    def interrupt_calls(self, interrupt):
        """Interrupt calls that get no response; each has to end at once.

        Parameters
        ----------
        interrupt : callable
            Asynchronous; takes the channel and the nursery of the call.
        """

        async def run():
            server = socket.socket()
            server.bind(('127.0.0.1', 0))
            server.listen(2 * STEPS)
            address = '{}:{}'.format(*server.getsockname())
            async with open_grpc_transport() as transport:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(close_later, server)
                    for steps in range(STEPS):
                        await interrupt_one(transport, address, steps)
                    nursery.cancel_scope.cancel()

        async def close_later(server):
            # A call that waits for ever ends with its connection.
            with server:
                await trio.sleep(WATCHDOG_S)
            self.fail(f'a call did not end within {WATCHDOG_S} s')

        async def interrupt_one(transport, address, steps):
            async with transport.connect(address) as channel:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(_call, channel)
                    for _ in range(steps):
                        await trio.lowlevel.checkpoint()
                    await interrupt(channel, nursery)
            del channel
            # The loop is told of connections that were not closed.
            gc.collect()
            await trio.lowlevel.checkpoint()

        trio.run(run)

    def test_cancelled_call_does_not_lose_its_cancellation(self):
        # A call without a time limit kept elections and stops waiting.
        async def cancel(channel, nursery):
            nursery.cancel_scope.cancel()

        self.interrupt_calls(cancel)
