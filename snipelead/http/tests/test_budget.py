"""Guards against connections that use up what all of them share."""

from socket import socketpair

from testtools import TestCase
import trio

from snipelead.callers.request import CallerReader
from snipelead.callers.request import FIELD_BYTES
from snipelead.callers.request import REQUEST_BYTES
from snipelead.http.budget import CallerBudget
from snipelead.http.budget import LimitKind
from snipelead.http.connection import Connection
from snipelead.settings.schema import NodeLimits

LIMIT_BYTES = 1024 * 1024


class StubServer:
    def __init__(self):
        self.passed_on = set()
        self.busy = set()
        self.abandoned = []

    def find_protected(self, only_passed_on):
        return self.passed_on if only_passed_on else self.busy

    def abandon(self, connection):
        self.abandoned.append(connection)


class CallerBudgetTest(TestCase):
    def setUp(self):
        super().setUp()
        self.budget = CallerBudget(LIMIT_BYTES)
        self.server = StubServer()

    def open(self, last_used_at=0.0):
        connection = FakeConnection(last_used_at)
        return self.budget.open_account(connection, self.server)

    def test_connection_that_uses_most_is_closed(self):
        accounts = [self.open() for _ in range(3)]
        for account, size in zip(
            accounts, (300_000, 600_000, 200_000), strict=True
        ):
            account.charge(size)
        self.assertEqual(
            [False, True, False], [a.connection.closed for a in accounts]
        )
        self.assertEqual([accounts[1].connection], self.server.abandoned)
        self.assertEqual(500_000, self.budget.used_bytes)
        self.assertEqual(1, self.budget.closed_counts[LimitKind.BUFFERS])

    def test_request_that_was_passed_on_is_not_broken_off(self):
        first, second = self.open(), self.open()
        self.server.passed_on.add(first.connection)
        first.charge(900_000)
        second.charge(200_000)
        self.assertFalse(first.connection.closed)
        self.assertTrue(second.connection.closed)

    def test_nothing_is_charged_after_the_end_of_a_connection(self):
        account = self.open()
        account.charge(1_000)
        account.close()
        account.charge(-1_000)
        self.assertEqual(0, self.budget.used_bytes)

    def test_longest_idle_connection_makes_room(self):
        self.budget.max_connections = 3
        accounts = [self.open(last_used_at=t) for t in (2.0, 1.0, 3.0)]
        self.server.busy.add(accounts[1].connection)

        async def main():
            self.assertTrue(self.budget.make_room())

        trio.run(main)
        self.assertEqual(
            [True, False, False], [a.connection.closed for a in accounts]
        )

    def test_no_room_if_all_connections_are_busy(self):
        self.budget.max_connections = 1
        self.server.busy.add(self.open().connection)

        async def main():
            self.assertFalse(self.budget.make_room())

        trio.run(main)


class FakeConnection:
    def __init__(self, last_used_at):
        self.last_used_at = last_used_at
        self.closed = False

    def abort(self):
        self.closed = True


class RequestChargeTest(TestCase):
    """What a connection is charged for must be returned to the budget."""

    def setUp(self):
        super().setUp()
        sock, peer = socketpair()
        self.addCleanup(peer.close)
        self.connection = UnixConnection(sock)
        self.addCleanup(self.connection.close)
        self.budget = CallerBudget(LIMIT_BYTES)
        self.connection.account = self.budget.open_account(self.connection)
        self.reader = CallerReader(self.connection, NodeLimits())

    def feed(self, data):
        async def main():
            self.reader.feed(data)

        trio.run(main)

    def test_pipelined_requests_are_parsed_one_at_a_time(self):
        request = b'GET /1 HTTP/1.1\r\nHost: x\r\n\r\n'
        self.feed(1_000 * request)
        self.assertEqual(1, len(self.reader.ready_messages))
        expected = REQUEST_BYTES + FIELD_BYTES + 1_000 * len(request)
        self.assertEqual(expected, self.budget.used_bytes)

    def test_charges_are_returned(self):
        self.feed(b'POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab')
        request = self.reader.ready_messages.popleft()
        self.assertEqual(REQUEST_BYTES + 2, self.budget.used_bytes)
        self.feed(b'cde')
        self.assertEqual(REQUEST_BYTES + 5, self.budget.used_bytes)
        request.take_buffered_body()
        request.release_charge()
        self.assertEqual(0, self.budget.used_bytes)

    def test_small_chunks_are_joined(self):
        self.feed(
            b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
            + 2_000 * b'2\r\nab\r\n'
            + b'0\r\n\r\n'
        )
        request = self.reader.ready_messages.popleft()
        self.assertEqual(1, len(request.body_chunks))
        self.assertEqual(2_000 * b'ab', request.take_buffered_body())

    def test_incomplete_head_starts_its_time_and_is_charged(self):
        self.feed(b'GET / HTTP/1.1\r\n' + 10 * b'a:\r\n')
        self.assertLess(0, self.budget.used_bytes)
        self.assertLess(self.connection.head_started_at, float('inf'))
        self.feed(b'\r\n')
        self.assertEqual(float('inf'), self.connection.head_started_at)


class UnixConnection(Connection):
    """Connection over a socket pair, which has no options of TCP."""

    def __init__(self, sock):
        self.sock = sock
        self.closed = False
        self.account = None
        self.head_started_at = float('inf')

    def close(self):
        self.sock.close()
