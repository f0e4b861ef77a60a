from snipelead.callers.tests.fakes import Caller
from snipelead.callers.tests.fakes import CallPathTestCase
from snipelead.callers.tests.fakes import FakeNode
from snipelead.callers.tests.fakes import parse_error_response
from snipelead.callers.tests.fakes import until
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
    """Targets beside n1, n2 and n3; calls come in at n1."""

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

    def test_server_error_of_a_read_is_tried_elsewhere(self):
        async def test(nursery):
            self.nodes[0].target.respond = send_server_error
            self.nodes[1].target.respond = send_server_error
            for _ in range(5):
                response, _ = await self.call('/reads/1')
                self.assertEqual(200, response.status)

        self.run_nodes(test, *self.nodes)

    def test_server_error_of_an_order_is_passed_on(self):
        async def test(nursery):
            for node in self.nodes:
                node.target.respond = send_server_error
            response, body = await self.call('/orders/1', 'POST')
            self.assertEqual((500, b'bad'), (response.status, body))
            self.assertEqual(1, self.count_runs())

        self.run_nodes(test, *self.nodes)

    def test_last_server_error_is_passed_on(self):
        async def test(nursery):
            for node in self.nodes:
                node.target.respond = send_server_error
            response, body = await self.call('/reads/1')
            self.assertEqual((500, b'bad'), (response.status, body))
            self.assertEqual(3, self.count_runs())

        self.run_nodes(test, *self.nodes)

    def test_order_that_may_have_run_is_sent_once(self):
        async def test(nursery):
            for node in self.nodes:
                node.target.respond = close_connection
            answer = await self.call('/orders/1', 'POST')
            self.assertEqual('unknown', parse_error_response(answer)[1])
            self.assertEqual(1, self.count_runs())

        self.run_nodes(test, *self.nodes)

    def test_streamed_body_is_sent_once(self):
        body = b'x' * 300_000

        async def test(nursery):
            for answer in (send_server_error, close_connection):
                before = self.count_runs()
                for node in self.nodes:
                    node.target.respond = answer
                response, _ = await self.call('/reads/1', 'POST', body)
                self.assertIn(response.status, (500, 502))
                self.assertEqual(before + 1, self.count_runs())

        self.run_nodes(test, *self.nodes)

    def test_streamed_body_of_an_own_target_is_sent_once(self):
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
            await until(lambda: self.nodes[0].path.in_flight)
            other.announce(TargetState.SERVING)
            self.nodes[0].directory.merge(other.entry)
            await caller.connection.send(b'x' * 200_000)
            response, _ = await caller.receive()
            self.assertEqual(502, response.status)
            self.assertEqual([], other.target.runs)

        self.run_nodes(test, self.nodes[0], other)

    def test_small_body_is_sent_whole_each_time(self):
        body = b'x' * 900

        async def test(nursery):
            for node in self.nodes:
                node.target.respond = send_server_error
            response, _ = await self.call('/reads/1', 'POST', body)
            self.assertEqual(500, response.status)
            bodies = [b for node in self.nodes for b in node.target.bodies]
            self.assertEqual([body] * 3, bodies)

        self.nodes[0] = FakeNode('n1', limits=NodeLimits(body_bytes=1_000))
        self.run_nodes(test, *self.nodes)

    def test_budget_limits_retries(self):
        calls = 60

        async def test(nursery):
            for node in self.nodes:
                node.target.respond = send_server_error
            for _ in range(calls):
                await self.call('/reads/1')
            # The burst of ten and a tenth of the calls.
            self.assertIn(self.count_runs(), range(calls + 10, calls + 18))

        self.run_nodes(test, *self.nodes)

    def test_earlier_attempt_decides_what_is_told(self):
        """A read that may have run is not told as not run after a refusal."""

        async def test(nursery):
            for node in self.nodes[1:]:
                node.announce(TargetState.LEAVING)
            self.nodes[0].target.respond = close_connection
            answer = await self.call('/reads/1')
            self.assertEqual('unknown', parse_error_response(answer)[1])

        self.run_nodes(test, *self.nodes)

    def test_failing_target_is_ejected(self):
        async def test(nursery):
            self.nodes[0].target.respond = close_connection
            for _ in range(30):
                await self.call('/reads/1')
            # Three failures in a row, and probes that come seconds apart.
            self.assertLess(len(self.nodes[0].target.runs), 6)

        self.nodes[0] = FakeNode('n1', limits=NodeLimits(retry_ratio=1.0))
        self.run_nodes(test, *self.nodes)
