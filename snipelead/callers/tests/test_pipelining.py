from msgspec.structs import replace
import trio

from snipelead.callers.tests.fakes import Caller
from snipelead.callers.tests.fakes import CallPathTestCase
from snipelead.callers.tests.fakes import FakeNode
from snipelead.callers.tests.fakes import parse_error_response
from snipelead.callers.tests.fakes import wait_until
from snipelead.settings.schema import NodeLimits

REQUEST = b'GET %b HTTP/1.1\r\nHost: shop\r\n%b\r\n'


class PipeliningTest(CallPathTestCase):
    def setUp(self):
        super().setUp()
        self.node = FakeNode('n1', limits=NodeLimits(pipeline_depth=4))

    async def open(self):
        return await Caller.open(self.node.path.caller_address)

    async def send_all(self, caller, *paths, fields=b''):
        data = b''.join(REQUEST % (path, fields) for path in paths)
        await caller.connection.send(data)

    def delay_responses(self, *paths):
        """Delay the responses to some paths until the event is set."""
        release = trio.Event()
        respond = self.node.target.respond

        async def respond_after_release(connection, request, body):
            if request.url in paths:
                await release.wait()
            await respond(connection, request, body)

        self.node.target.respond = respond_after_release
        return release

    def test_requests_after_a_slow_one_run_concurrently(self):
        async def test(nursery):
            release = self.delay_responses(b'/reads/1')
            caller = await self.open()
            await self.send_all(caller, b'/reads/1', b'/reads/2', b'/reads/3')
            await wait_until(lambda: len(self.node.target.runs) == 3)
            release.set()
            bodies = [(await caller.receive())[1] for _ in range(3)]
            self.assertEqual([b'/reads/1', b'/reads/2', b'/reads/3'], bodies)

        self.run_nodes(test, self.node)

    def test_later_request_is_read_while_the_first_is_pending(self):
        async def test(nursery):
            release = self.delay_responses(b'/reads/1')
            caller = await self.open()
            await self.send_all(caller, b'/reads/1')
            await wait_until(lambda: self.node.target.runs)
            await self.send_all(caller, b'/reads/2')
            await wait_until(lambda: len(self.node.target.runs) == 2)
            release.set()
            await caller.receive()
            await caller.receive()

        self.run_nodes(test, self.node)

    def test_concurrent_requests_are_limited(self):
        async def test(nursery):
            paths = [b'/reads/%d' % n for n in range(10)]
            release = self.delay_responses(*paths)
            caller = await self.open()
            await self.send_all(caller, *paths)
            await wait_until(lambda: len(self.node.target.runs) == 4)
            release.set()
            bodies = [(await caller.receive())[1] for _ in paths]
            self.assertEqual(paths, bodies)
            self.assertEqual(10, len(self.node.target.runs))
            self.assertEqual(4, self.node.target.max_running)

        self.run_nodes(test, self.node)

    def test_requests_after_connection_close_are_not_sent(self):
        async def test(nursery):
            caller = await self.open()
            data = REQUEST % (b'/reads/1', b'Connection: close\r\n')
            await caller.connection.send(data + REQUEST % (b'/reads/2', b''))
            response, _ = await caller.receive()
            self.assertFalse(response.keep_alive)
            self.assertEqual(b'', await caller.connection.receive())
            self.assertEqual(['/reads/1'], self.node.target.runs)

        self.run_nodes(test, self.node)

    def test_error_response_keeps_its_position(self):
        async def test(nursery):
            release = self.delay_responses(b'/reads/1')
            caller = await self.open()
            await self.send_all(caller, b'/reads/1', b'/no', b'/reads/3')
            await wait_until(lambda: len(self.node.target.runs) == 2)
            release.set()
            self.assertEqual(200, (await caller.receive())[0].status)
            self.assertEqual(
                'SL3003', parse_error_response(await caller.receive())[0]
            )
            self.assertEqual(b'/reads/3', (await caller.receive())[1])

        self.run_nodes(test, self.node)

    def test_received_response_is_delivered_after_its_deadline(self):
        async def test(nursery):
            release = self.delay_responses(b'/reads/1')
            caller = await self.open()
            await self.send_all(caller, b'/reads/1')
            deadline = b'X-Deadline-Ms: 150\r\n'
            await self.send_all(caller, b'/reads/2', fields=deadline)
            await wait_until(lambda: len(self.node.target.runs) == 2)
            await wait_until(lambda: self.node.limiter.in_flight == 1)
            await trio.sleep(0.3)
            release.set()
            self.assertEqual(b'/reads/1', (await caller.receive())[1])
            self.assertEqual(b'/reads/2', (await caller.receive())[1])

        self.run_nodes(test, self.node)

    def test_deadline_of_one_request_does_not_affect_others(self):
        async def test(nursery):
            release = self.delay_responses(b'/reads/1', b'/reads/2')
            caller = await self.open()
            await self.send_all(caller, b'/reads/1')
            deadline = b'X-Deadline-Ms: 150\r\n'
            await self.send_all(caller, b'/reads/2', fields=deadline)
            await self.send_all(caller, b'/reads/3')
            await wait_until(lambda: len(self.node.target.runs) == 3)
            await wait_until(lambda: self.node.limiter.in_flight == 1)
            release.set()
            self.assertEqual(b'/reads/1', (await caller.receive())[1])
            self.assertEqual(
                'SL3013', parse_error_response(await caller.receive())[0]
            )
            self.assertEqual(b'/reads/3', (await caller.receive())[1])

        self.run_nodes(test, self.node)

    def test_disconnect_cancels_all_requests(self):
        async def test(nursery):
            self.delay_responses(b'/reads/1', b'/reads/2')
            caller = await self.open()
            await self.send_all(caller, b'/reads/1', b'/reads/2')
            await wait_until(lambda: len(self.node.target.runs) == 2)
            caller.connection.close()
            await wait_until(lambda: self.node.limiter.in_flight == 0)

        self.run_nodes(test, self.node)

    def test_disconnect_cancels_request_sent_just_before(self):
        """The watcher checks only requests older than one tick."""

        async def test(nursery):
            self.delay_responses(b'/reads/1', b'/reads/2')
            for _ in range(5):
                caller = await self.open()
                await self.send_all(caller, b'/reads/1')
                await wait_until(lambda: self.node.limiter.in_flight == 1)
                await trio.sleep(0.1)
                await self.send_all(caller, b'/reads/2')
                await wait_until(lambda: self.node.limiter.in_flight == 2)
                caller.connection.close()
                await wait_until(lambda: self.node.limiter.in_flight == 0)

        self.run_nodes(test, self.node)

    def test_only_the_last_response_of_a_drain_closes_the_connection(self):
        async def test(nursery):
            release = self.delay_responses(b'/reads/1', b'/reads/2')
            caller = await self.open()
            await self.send_all(caller, b'/reads/1', b'/reads/2')
            await wait_until(lambda: len(self.node.target.runs) == 2)
            nursery.start_soon(self.node.path.drain)
            await wait_until(lambda: self.node.path.limiters.stopping)
            release.set()
            first, _ = await caller.receive()
            second, _ = await caller.receive()
            self.assertEqual(
                (True, False), (first.keep_alive, second.keep_alive)
            )

        self.run_nodes(test, self.node)

    def test_drain_closes_connection_with_continuous_requests(self):
        async def test(nursery):
            release = self.delay_responses(b'/reads/1')
            caller = await self.open()
            await self.send_all(caller, b'/reads/1')
            await wait_until(lambda: self.node.target.runs)
            self.node.path.servers[0].draining = True
            await self.send_all(caller, b'/reads/2', b'/reads/3')
            await wait_until(lambda: len(self.node.target.runs) == 2)
            release.set()
            first, _ = await caller.receive()
            second, body = await caller.receive()
            self.assertEqual(
                (True, False), (first.keep_alive, second.keep_alive)
            )
            self.assertEqual(b'/reads/2', body)
            self.assertEqual(b'', await caller.connection.receive())
            # Requests after the last response were not sent to the target.
            self.assertEqual(['/reads/1', '/reads/2'], self.node.target.runs)

        self.run_nodes(test, self.node)

    def test_connection_is_not_idle_before_its_request_task_starts(self):
        """Idle connections may be closed before the request task starts."""

        async def test(nursery):
            server = self.node.path.servers[0]
            handle_request = server.handle_request

            async def tick_first(exchange, request):
                server.tick(trio.current_time() + 1_000)
                await handle_request(exchange, request)

            server.handle_request = tick_first
            caller = await self.open()
            _, body = await caller.call('/reads/1')
            self.assertEqual(b'/reads/1', body)

        self.run_nodes(test, self.node)

    def test_incomplete_body_delays_only_later_requests(self):
        async def test(nursery):
            caller = await self.open()
            head = (
                b'POST /orders/1 HTTP/1.1\r\nHost: shop\r\n'
                b'Content-Length: 4\r\n\r\n'
            )
            await caller.connection.send(head + b'ab')
            await wait_until(lambda: self.node.path.servers[0].active_requests)
            await caller.connection.send(b'cd' + REQUEST % (b'/reads/2', b''))
            self.assertEqual(b'abcd', (await caller.receive())[1])
            self.assertEqual(b'/reads/2', (await caller.receive())[1])

        self.run_nodes(test, self.node)


class LingerTest(CallPathTestCase):
    def test_requests_are_served_while_lingering(self):
        node = FakeNode('n1')
        node.settings = node.path.settings = _enable_linger(node.settings)

        async def test(nursery):
            existing = await Caller.open(node.path.caller_address)
            await existing.call('/reads/1')
            nursery.start_soon(node.path.linger)
            await wait_until(lambda: node.path.servers[0].draining)
            response, body = await existing.call('/reads/2')
            self.assertEqual(
                (200, False), (response.status, response.keep_alive)
            )
            new = await Caller.open(node.path.caller_address)
            response, body = await new.call('/reads/3')
            self.assertEqual((200, b'/reads/3'), (response.status, body))

        self.run_nodes(test, node)


def _enable_linger(settings):
    return replace(
        settings, timings=replace(settings.timings, linger_ms=4_000)
    )
