import gc
import socket

from testtools import TestCase
import trio

from snipelead.exceptions import SnipeleadError
from snipelead.messages import CertifyRequest
from snipelead.rpc.grpc import open_grpc_transport

LONG_TIMEOUT_S = 20.0
SHORT_TIMEOUT_S = 0.05
RECEIVE_BYTES = 1_000
# More scheduler steps than a call takes to open its connection and be sent.
STEPS = 40
# HTTP/2 frame GOAWAY without an error.
GOAWAY = bytes([0, 0, 8, 7]) + bytes(13)
# Far above the time of all interrupted calls together.
WATCHDOG_S = 30.0


async def _call(channel, timeout_s):
    try:
        await channel.call(CertifyRequest(), timeout_s)
    except SnipeleadError:
        pass


class GrpcInterruptionTest(TestCase):
    """Calls that are interrupted after each number of scheduler steps."""

    def interrupt_calls(self, interrupt, timeout_s=LONG_TIMEOUT_S):
        """Interrupt calls that get no response; each has to end.

        Parameters
        ----------
        interrupt : callable
            Asynchronous; takes the channel and the nursery of the call.
        timeout_s : float
            Time limit of each call in seconds.
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
                    nursery.start_soon(_call, channel, timeout_s)
                    for _ in range(steps):
                        await trio.lowlevel.checkpoint()
                    await interrupt(channel, nursery)
            del channel
            # grpclib reports open connections when they are collected.
            gc.collect()
            await trio.lowlevel.checkpoint()

        trio.run(run)

    def test_cancelled_call_does_not_lose_its_cancellation(self):
        # A call without a time limit kept elections and stops waiting.
        async def cancel(channel, nursery):
            nursery.cancel_scope.cancel()

        self.interrupt_calls(cancel)

    def test_connection_opened_after_a_reset_is_closed(self):
        # The loop ended the process when an open one was collected.
        async def reset(channel, nursery):
            await channel.reset()

        self.interrupt_calls(reset, SHORT_TIMEOUT_S)

    def test_call_on_a_closing_connection_fails_with_a_coded_error(self):
        # An AttributeError of grpclib ended the process of the caller.
        async def say_goodbye(stream):
            async with stream:
                try:
                    await stream.receive_some(RECEIVE_BYTES)
                    await stream.send_all(GOAWAY)
                except trio.BrokenResourceError:
                    pass

        async def run():
            async with open_grpc_transport() as transport:
                async with trio.open_nursery() as server_nursery:
                    listeners = await server_nursery.start(
                        trio.serve_tcp, say_goodbye, 0
                    )
                    port = listeners[0].socket.getsockname()[1]
                    for steps in range(STEPS):
                        async with (
                            transport.connect(f'127.0.0.1:{port}') as channel,
                            trio.open_nursery() as nursery,
                        ):
                            nursery.start_soon(_call, channel, LONG_TIMEOUT_S)
                            for _ in range(steps):
                                await trio.lowlevel.checkpoint()
                            nursery.start_soon(_call, channel, LONG_TIMEOUT_S)
                    server_nursery.cancel_scope.cancel()

        trio.run(run)
