import trio

from snipelead.callers.tests.fakes import Caller
from snipelead.callers.tests.fakes import CallPathTestCase
from snipelead.callers.tests.fakes import FakeNode
from snipelead.callers.tests.fakes import parse_error_response
from snipelead.callers.tests.fakes import wait_until
from snipelead.settings.schema import NodeLimits
from snipelead.types import TargetState


class CallPathTest(CallPathTestCase):
    def setUp(self):
        super().setUp()
        self.node = FakeNode('n1')

    async def open(self):
        return await Caller.open(self.node.path.caller_address)

    def test_request_reaches_local_target(self):
        async def test(nursery):
            caller = await self.open()
            response, body = await caller.call('/reads/1')
            self.assertEqual((200, b'/reads/1'), (response.status, body))

        self.run_nodes(test, self.node)

    def test_request_reaches_target_of_another_node(self):
        other = FakeNode('n2')

        async def test(nursery):
            self.node.announce(TargetState.LEAVING)
            caller = await self.open()
            _, body = await caller.call('/orders', 'POST', b'drum')
            self.assertEqual(b'drum', body)
            self.assertEqual(['/orders'], other.target.runs)
            self.assertEqual([], self.node.target.runs)

        self.run_nodes(test, self.node, other)

    def test_pipelined_responses_are_in_order(self):
        async def test(nursery):
            caller = await self.open()
            request = b'GET /reads/%d HTTP/1.1\r\nHost: shop\r\n\r\n'
            await caller.connection.send(
                b''.join(request % n for n in range(20))
            )
            bodies = [(await caller.receive())[1] for _ in range(20)]
            self.assertEqual([b'/reads/%d' % n for n in range(20)], bodies)

        self.run_nodes(test, self.node)

    def test_slow_response_does_not_delay_another_connection(self):
        async def test(nursery):
            slow, fast = await self.open(), await self.open()
            release = self.node.target.hold = trio.Event()
            await slow.send('/reads/slow')
            await wait_until(lambda: self.node.target.running)
            self.node.target.hold = None
            _, body = await fast.call('/reads/quick')
            self.assertEqual(b'/reads/quick', body)
            release.set()
            _, body = await slow.receive()
            self.assertEqual(b'/reads/slow', body)

        self.run_nodes(test, self.node)

    def test_node_that_is_not_ready_rejects_requests(self):
        async def test(nursery):
            self.node.holder.ready = False
            caller = await self.open()
            reply = await caller.call('/reads/1')
            code, ran, _ = parse_error_response(reply)
            self.assertEqual(('SL3004', 'no'), (code, ran))
            self.assertIn(b'retry-after', reply[0].fields)
            self.assertEqual([], self.node.target.runs)

        self.run_nodes(test, self.node)

    def test_unexpected_error_fails_only_its_call(self):
        async def test(nursery):
            caller = await self.open()
            balancer = self.node.path.balancer
            choose, balancer.choose = balancer.choose, None
            reply = await caller.call('/orders/1', 'POST')
            self.assertEqual(500, reply[0].status)
            self.assertEqual(('SL3023', 'no'), parse_error_response(reply)[:2])
            balancer.choose = choose
            response, _ = await caller.call('/orders/2', 'POST')
            self.assertEqual(200, response.status)

        self.run_nodes(test, self.node)

    def test_unknown_path_is_rejected(self):
        async def test(nursery):
            caller = await self.open()
            response, body = await caller.call('/nothing')
            self.assertEqual(404, response.status)
            self.assertEqual(
                'SL3003', parse_error_response((response, body))[0]
            )

        self.run_nodes(test, self.node)

    def test_service_without_targets_is_rejected(self):
        async def test(nursery):
            self.node.directory._by_service = {}
            caller = await self.open()
            response, body = await caller.call('/reads/1')
            self.assertEqual(503, response.status)
            code, ran, _ = parse_error_response((response, body))
            self.assertEqual(('SL3005', 'no'), (code, ran))
            self.assertEqual({'stock'}, self.node.directory.subscriptions)

        self.run_nodes(test, self.node)

    def test_large_bodies_are_streamed_in_both_directions(self):
        other = FakeNode('n2')
        body = bytes(range(256)) * 4_000

        async def test(nursery):
            for node in (self.node, other):
                node.announce(TargetState.LEAVING)
                caller = await self.open()
                _, echoed = await caller.call('/orders', 'POST', body)
                self.assertEqual(body, echoed)
                node.announce(TargetState.SERVING)
                node.directory.merge(node.entry)

        self.run_nodes(test, self.node, other)

    def test_chunked_body_is_forwarded(self):
        async def test(nursery):
            caller = await self.open()
            await caller.connection.send(
                b'POST /orders HTTP/1.1\r\nHost: shop\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n'
                b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
            )
            _, body = await caller.receive()
            self.assertEqual(b'abcde', body)

        self.run_nodes(test, self.node)


class InvalidRequestTest(CallPathTestCase):
    def setUp(self):
        super().setUp()
        self.node = FakeNode(
            'n1', limits=NodeLimits(body_bytes=1_000, head_bytes=2_000)
        )

    def check_rejected(self, data, status, code):
        async def test(nursery):
            caller = await Caller.open(self.node.path.caller_address)
            await caller.connection.send(data)
            response, body = await caller.receive()
            self.assertEqual(status, response.status)
            self.assertEqual(
                (code, 'no'), parse_error_response((response, body))[:2]
            )
            self.assertEqual([], self.node.target.runs)

        self.run_nodes(test, self.node)

    def test_content_length_above_the_limit(self):
        head = b'POST /orders HTTP/1.1\r\nHost: s\r\nContent-Length: 1001\r\n'
        self.check_rejected(head + b'\r\nx', 413, 'SL3002')

    def test_chunks_above_the_limit(self):
        head = b'POST /orders HTTP/1.1\r\nHost: s\r\n'
        body = b'400\r\n' + b'x' * 1024 + b'\r\n0\r\n\r\n'
        self.check_rejected(
            head + b'Transfer-Encoding: chunked\r\n\r\n' + body, 413, 'SL3002'
        )

    def test_streamed_body_above_the_limit(self):
        async def test(nursery):
            caller = await Caller.open(self.node.path.caller_address)
            await caller.connection.send(
                b'POST /orders HTTP/1.1\r\nHost: s\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n'
            )
            await wait_until(lambda: self.node.path.in_flight)
            for _ in range(3):
                await caller.connection.send(b'190\r\n' + b'x' * 400 + b'\r\n')
            response, body = await caller.receive()
            self.assertEqual(413, response.status)
            self.assertEqual([], self.node.target.runs)

        self.run_nodes(test, self.node)

    def test_head_above_the_limit(self):
        self.check_rejected(
            b'GET /reads HTTP/1.1\r\nX-Long: ' + b'x' * 3_000, 431, 'SL3021'
        )

    def test_complete_head_above_the_limit(self):
        self.check_rejected(
            b'GET /reads HTTP/1.1\r\nX-Long: ' + b'x' * 3_000 + b'\r\n\r\n',
            431,
            'SL3021',
        )

    def test_malformed_request(self):
        self.check_rejected(b'HELLO\r\n\r\n', 400, 'SL3001')

    def test_malformed_chunk(self):
        head = b'POST /orders HTTP/1.1\r\nHost: s\r\n'
        self.check_rejected(
            head + b'Transfer-Encoding: chunked\r\n\r\nzz\r\n', 400, 'SL3001'
        )

    def test_invalid_deadline(self):
        self.check_rejected(
            b'GET /reads HTTP/1.1\r\nHost: s\r\nX-Deadline-Ms: -3\r\n\r\n',
            400,
            'SL3001',
        )

    def test_protocol_upgrade(self):
        self.check_rejected(
            b'GET /reads HTTP/1.1\r\nHost: s\r\nConnection: Upgrade\r\n'
            b'Upgrade: websocket\r\n\r\n',
            501,
            'SL3022',
        )
