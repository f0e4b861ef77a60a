import resource
import socket

from testtools import ExpectedException
from testtools import TestCase
import trio

from snipelead.messages import CertifyReply
from snipelead.messages import CertifyRequest
from snipelead.releases.document import EMPTY_RELEASE
from snipelead.rpc.exceptions import RpcNotSentError
from snipelead.rpc.grpc import open_grpc_transport
from snipelead.rpc.stream import open_stream_transport
from snipelead.utils.ports import find_free_addresses

MAX_DESCRIPTORS = 256
TIMEOUT_S = 20.0
# Time in which the server tries to accept a connection.
ACCEPT_S = 0.2
REPLY = CertifyReply(EMPTY_RELEASE.release_id, True)


async def _reply(request):
    return REPLY


class DescriptorsTest(TestCase):
    """A process without free file descriptors must not end.

    Both opening and accepting a connection raised an OSError that no task
    expected.
    """

    def setUp(self):
        super().setUp()
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        self.addCleanup(resource.setrlimit, resource.RLIMIT_NOFILE, limits)
        resource.setrlimit(
            resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, limits[1])
        )

    def use_all_descriptors(self):
        sockets = []
        while True:
            try:
                sockets.append(socket.socket())
            except OSError:
                return sockets

    def check_survives(self, open_transport):
        async def run():
            (address,) = find_free_addresses(1)
            host, port = address.split(':')
            async with (
                open_transport() as transport,
                trio.open_nursery() as nursery,
            ):
                await nursery.start(
                    transport.serve, address, {CertifyRequest: _reply}
                )
                async with transport.connect(address) as channel:
                    with socket.socket() as client:
                        sockets = self.use_all_descriptors()
                        client.connect((host, int(port)))
                        await trio.sleep(ACCEPT_S)
                        with ExpectedException(RpcNotSentError):
                            await channel.call(CertifyRequest(), TIMEOUT_S)
                        for sock in sockets:
                            sock.close()
                    reply = await channel.call(CertifyRequest(), TIMEOUT_S)
                    self.assertEqual(REPLY, reply)
                nursery.cancel_scope.cancel()

        trio.run(run)

    def test_grpc(self):
        self.check_survives(open_grpc_transport)

    def test_stream(self):
        self.check_survives(open_stream_transport)
