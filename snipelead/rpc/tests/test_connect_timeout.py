from contextlib import ExitStack
import socket

from testtools import ExpectedException
from testtools import TestCase
import trio

from snipelead.messages import CertifyRequest
from snipelead.rpc.exceptions import RpcNotSentError
from snipelead.rpc.grpc import open_grpc_transport
from snipelead.rpc.stream import open_stream_transport

TIMEOUT_S = 20.0
# More connections than the queue of the listening socket holds.
FILLING_CONNECTIONS = 4


class ConnectTimeoutTest(TestCase):
    """A server whose opening packets are lost must not hold a call.

    The kernel repeats a lost packet after 1, 3 and 7 s only, so a call that
    began during a partition would end long after it.
    """

    def open_unresponsive_server(self, stack):
        """Return the address of a server that drops opening packets."""
        server = stack.enter_context(socket.socket())
        server.bind(('127.0.0.1', 0))
        server.listen(0)
        for _ in range(FILLING_CONNECTIONS):
            client = stack.enter_context(socket.socket())
            client.setblocking(False)
            client.connect_ex(server.getsockname())
        return '{}:{}'.format(*server.getsockname())

    def check_not_sent(self, open_transport):
        async def run():
            with ExitStack() as stack:
                address = self.open_unresponsive_server(stack)
                async with open_transport() as transport:
                    channel = transport.connect(address)
                    with ExpectedException(RpcNotSentError):
                        await channel.call(CertifyRequest(), TIMEOUT_S)

        trio.run(run)

    def test_stream_call_is_not_sent(self):
        self.check_not_sent(open_stream_transport)

    def test_grpc_call_is_not_sent(self):
        self.check_not_sent(open_grpc_transport)
