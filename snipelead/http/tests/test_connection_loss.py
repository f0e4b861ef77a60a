import socket

from testtools import ExpectedException
from testtools import TestCase
import trio

from snipelead.http.connection import Connection
from snipelead.http.exceptions import ConnectionLostError
from snipelead.http.exceptions import SendFailedError


class ConnectionLossTest(TestCase):
    """The end of the peer's stream is told from a reset, in any order."""

    def run_with_peer(self, end_peer, test):
        """Run a test on a connection whose peer has sent bytes and ended.

        Parameters
        ----------
        end_peer : callable
            Function of the peer's socket.
        test : callable
            Coroutine function of the connection.
        """

        async def main():
            with socket.create_server(('127.0.0.1', 0)) as listener:
                own = socket.create_connection(listener.getsockname())
                peer, _ = listener.accept()
                with peer, Connection(own) as connection:
                    peer.sendall(b'part')
                    end_peer(peer)
                    await test(connection)

        trio.run(main)

    def reset(self, peer):
        Connection(peer).abort()

    def end_stream_and_reset(self, peer):
        peer.shutdown(socket.SHUT_WR)
        self.reset(peer)

    async def fail_to_send(self, connection):
        with ExpectedException(SendFailedError):
            while True:
                await connection.send(b'x' * 65_536)

    async def check_lost(self, connection):
        self.assertEqual(b'part', await connection.receive())
        for _ in range(2):
            with ExpectedException(ConnectionLostError):
                await connection.receive()

    async def check_ended(self, connection):
        self.assertEqual(b'part', await connection.receive())
        for _ in range(2):
            self.assertEqual(b'', await connection.receive())

    def test_reset_that_a_receive_reports(self):
        """Later calls returned an end of stream."""
        self.run_with_peer(self.reset, self.check_lost)

    def test_reset_that_a_send_reports(self):
        async def test(connection):
            await self.fail_to_send(connection)
            await self.fail_to_send(connection)
            await self.check_lost(connection)

        self.run_with_peer(self.reset, test)

    def test_reset_that_a_check_reports(self):
        async def test(connection):
            self.assertEqual(b'part', await connection.receive())
            while connection.is_idle():
                await trio.sleep(0.001)
            with ExpectedException(ConnectionLostError):
                await connection.receive()

        self.run_with_peer(self.reset, test)

    def test_end_of_stream_before_a_reset(self):
        async def test(connection):
            await self.fail_to_send(connection)
            await self.check_ended(connection)

        self.run_with_peer(self.end_stream_and_reset, test)

    def test_end_of_stream(self):
        self.run_with_peer(
            lambda peer: peer.shutdown(socket.SHUT_WR), self.check_ended
        )
