from snipelead.callers.tests.fakes import Caller
from snipelead.callers.tests.fakes import CallPathTestCase
from snipelead.callers.tests.fakes import FakeNode
from snipelead.callers.tests.fakes import parse_error_response
from snipelead.callers.tests.fakes import wait_until
from snipelead.settings.schema import NodeLimits
from snipelead.types import TargetState

ERROR_RESPONSE = (
    b'HTTP/1.1 500 Internal Server Error\r\nContent-Length: 3\r\n\r\nbad'
)


async def send_server_error(connection, request, body):
    await connection.send(ERROR_RESPONSE)


async def close_connection(connection, request, body):
    connection.close()


class RetriesTest(CallPathTestCase):
    """Requests are sent to n1; n1, n2 and n3 each have a local target."""

    def setUp(self):
        super().setUp()
        self.nodes = [FakeNode(f'n{n}') for n in (1, 2, 3)]

    async def call(self, path, method='GET', body=b''):
        caller = await Caller.open(self.nodes[0].path.caller_address)
        response, body = await caller.call(path, method, body)
        caller.connection.close()
        return response, body

    def count_runs(self):
        return sum(len(node.target.runs) for node in self.nodes)

    def test_repeatable_request_is_retried_after_server_error(self):
        async def test(nursery):
            self.nodes[0].target.respond = send_server_error
            self.nodes[1].target.respond = send_server_error
            for _ in range(5):
                response, _ = await self.call('/reads/1')
                self.assertEqual(200, response.status)

        self.run_nodes(test, *self.nodes)

    def test_server_error_of_non_repeatable_request_is_relayed(self):
        async def test(nursery):
            for node in self.nodes:
                node.target.respond = send_server_error
            response, body = await self.call('/orders/1', 'POST')
            self.assertEqual((500, b'bad'), (response.status, body))
            self.assertEqual(1, self.count_runs())

        self.run_nodes(test, *self.nodes)

    def test_last_server_error_is_relayed(self):
        async def test(nursery):
            for node in self.nodes:
                node.target.respond = send_server_error
            response, body = await self.call('/reads/1')
            self.assertEqual((500, b'bad'), (response.status, body))
            self.assertEqual(3, self.count_runs())

        self.run_nodes(test, *self.nodes)

    def test_possibly_executed_request_is_not_retried(self):
        async def test(nursery):
            for node in self.nodes:
                node.target.respond = close_connection
            reply = await self.call('/orders/1', 'POST')
            self.assertEqual('unknown', parse_error_response(reply)[1])
            self.assertEqual(1, self.count_runs())

        self.run_nodes(test, *self.nodes)

    def test_request_with_streamed_body_is_not_retried(self):
        body = b'x' * 300_000

        async def test(nursery):
            for respond in (send_server_error, close_connection):
                runs_before = self.count_runs()
                for node in self.nodes:
                    node.target.respond = respond
                response, _ = await self.call('/reads/1', 'POST', body)
                self.assertIn(response.status, (500, 502))
                self.assertEqual(runs_before + 1, self.count_runs())

        self.run_nodes(test, *self.nodes)

    def test_streamed_body_to_local_target_is_not_retried(self):
        other = FakeNode('n2', zone='b')

        async def test(nursery):
            other.announce(TargetState.LEAVING)
            self.nodes[0].directory.merge(other.entry)
            self.nodes[0].target.respond = close_connection
            caller = await Caller.open(self.nodes[0].path.caller_address)
            await caller.connection.send(
                b'POST /reads/1 HTTP/1.1\r\nHost: shop\r\n'
                b'Content-Length: 300000\r\n\r\n' + b'x' * 100_000
            )
            await wait_until(lambda: self.nodes[0].path.in_flight)
            other.announce(TargetState.SERVING)
            self.nodes[0].directory.merge(other.entry)
            await caller.connection.send(b'x' * 200_000)
            response, _ = await caller.receive()
            self.assertEqual(502, response.status)
            self.assertEqual([], other.target.runs)

        self.run_nodes(test, self.nodes[0], other)

    def test_buffered_body_is_resent_in_full(self):
        body = b'x' * 900

        async def test(nursery):
            for node in self.nodes:
                node.target.respond = send_server_error
            response, _ = await self.call('/reads/1', 'POST', body)
            self.assertEqual(500, response.status)
            bodies = [
                body_sent
                for node in self.nodes
                for body_sent in node.target.bodies
            ]
            self.assertEqual([body] * 3, bodies)

        self.nodes[0] = FakeNode('n1', limits=NodeLimits(body_bytes=1_000))
        self.run_nodes(test, *self.nodes)

    def test_retry_budget_limits_retries(self):
        calls = 60

        async def test(nursery):
            for node in self.nodes:
                node.target.respond = send_server_error
            for _ in range(calls):
                await self.call('/reads/1')
            # The budget allows a burst of ten plus a tenth of the calls.
            self.assertIn(self.count_runs(), range(calls + 10, calls + 18))

        self.run_nodes(test, *self.nodes)

    def test_outcome_includes_earlier_attempts(self):
        """A rejected retry must not hide that the first attempt may have run.

        The first attempt of a repeatable request loses its response and the
        other targets reject the retry. The outcome must be unknown, not no.
        """

        async def test(nursery):
            for node in self.nodes[1:]:
                node.announce(TargetState.LEAVING)
            self.nodes[0].target.respond = close_connection
            reply = await self.call('/reads/1')
            self.assertEqual('unknown', parse_error_response(reply)[1])

        self.run_nodes(test, *self.nodes)

    def test_failing_target_is_ejected(self):
        async def test(nursery):
            self.nodes[0].target.respond = close_connection
            for _ in range(30):
                await self.call('/reads/1')
            # Three failures eject the target; probes are seconds apart.
            self.assertLess(len(self.nodes[0].target.runs), 6)

        self.nodes[0] = FakeNode('n1', limits=NodeLimits(retry_ratio=1.0))
        self.run_nodes(test, *self.nodes)
