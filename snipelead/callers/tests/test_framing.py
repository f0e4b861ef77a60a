from snipelead.callers.tests.fakes import Caller
from snipelead.callers.tests.fakes import CallPathTestCase
from snipelead.callers.tests.fakes import FakeNode
from snipelead.callers.tests.fakes import parse_error_response
from snipelead.types import TargetState


class FramingTest(CallPathTestCase):
    """Message framing over one hop and over two hops."""

    def setUp(self):
        super().setUp()
        self.nodes = [FakeNode('n1'), FakeNode('n2')]

    def run_both_hops(self, respond, test):
        """Run a test with a local target, then with a remote one.

        Parameters
        ----------
        respond : callable
            Coroutine function of connection, request and body that sends the
            response of the targets.
        test : callable
            Coroutine function of a caller.
        """

        async def main(nursery):
            for node in self.nodes:
                node.target.respond = respond
            for leaving_node in reversed(self.nodes):
                for node in self.nodes:
                    state = (
                        TargetState.LEAVING
                        if node is leaving_node
                        else TargetState.SERVING
                    )
                    node.announce(state)
                    self.nodes[0].directory.merge(node.entry)
                address = self.nodes[0].path.caller_address
                await test(await Caller.open(address))

        self.run_nodes(main, *self.nodes)

    def test_chunked_response(self):
        async def respond(connection, request, body):
            await connection.send(
                b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
                b'3\r\nabc\r\n'
            )
            await connection.send(b'2\r\nde\r\n0\r\n\r\n')

        async def test(caller):
            for _ in range(2):
                response, body = await caller.call('/reads/1')
                self.assertEqual((200, b'abcde'), (response.status, body))

        self.run_both_hops(respond, test)

    def test_response_delimited_by_connection_close(self):
        async def respond(connection, request, body):
            await connection.send(b'HTTP/1.1 200 OK\r\n\r\nabc')
            connection.close()

        async def test(caller):
            for _ in range(2):
                _, body = await caller.call('/reads/1')
                self.assertEqual(b'abc', body)

        self.run_both_hops(respond, test)

    def test_response_without_body(self):
        async def respond(connection, request, body):
            await connection.send(b'HTTP/1.1 204 No Content\r\n\r\n')

        async def test(caller):
            for _ in range(2):
                response, body = await caller.call('/reads/1')
                self.assertEqual((204, b''), (response.status, body))
                self.assertNotIn(b'content-length', response.fields)

        self.run_both_hops(respond, test)

    def test_head_request(self):
        async def respond(connection, request, body):
            await connection.send(
                b'HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n'
            )

        async def test(caller):
            await caller.send('/reads/1', 'HEAD')
            response = await caller.reader.next_response(is_head_request=True)
            self.assertEqual(b'12', response.fields[b'content-length'])

        self.run_both_hops(respond, test)

    def test_http_1_0_caller(self):
        async def respond(connection, request, body):
            await connection.send(
                b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
                b'3\r\nabc\r\n'
            )
            await connection.send(b'0\r\n\r\n')

        async def test(caller):
            await caller.connection.send(b'GET /reads/1 HTTP/1.0\r\n\r\n')
            response, body = await caller.receive()
            self.assertEqual(b'abc', body)
            self.assertNotIn(b'transfer-encoding', response.fields)

        self.run_both_hops(respond, test)

    def test_expect_continue(self):
        async def test(caller):
            await caller.connection.send(
                b'POST /orders HTTP/1.1\r\nHost: shop\r\n'
                b'Expect: 100-continue\r\nContent-Length: 3\r\n\r\n'
            )
            interim = await caller.reader.next_response()
            self.assertEqual(100, interim.status)
            await caller.connection.send(b'abc')
            _, body = await caller.receive()
            self.assertEqual(b'abc', body)

        self.run_both_hops(self.nodes[0].target.echo, test)

    def test_target_cannot_forge_internal_fields(self):
        async def respond(connection, request, body):
            await connection.send(
                b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n'
                b'X-Snipelead-Ran: no\r\nX-Snipelead-Code: SL3006\r\n\r\n'
            )

        async def test(caller):
            response, _ = await caller.call('/orders/1', 'POST')
            self.assertEqual(200, response.status)
            self.assertNotIn(b'x-snipelead-ran', response.fields)

        self.run_both_hops(respond, test)

    def test_fields_listed_in_connection_are_dropped(self):
        received_lines = []

        async def respond(connection, request, body):
            received_lines.append(request.field_lines)
            await connection.send(
                b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n'
                b'Connection: X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\n\r\n'
            )

        async def test(caller):
            await caller.send(
                '/reads/1',
                Connection='keep-alive, X-Mine',
                X_Mine='1',
                X_All='2',
            )
            response, _ = await caller.receive()
            self.assertIn(b'X-All: 2', received_lines[-1])
            self.assertNotIn(b'X-Mine: 1', received_lines[-1])
            self.assertIn(b'X-End: 2', response.field_lines)
            self.assertNotIn(b'X-Hop: 1', response.field_lines)

        self.run_both_hops(respond, test)

    def test_malformed_response(self):
        async def respond(connection, request, body):
            await connection.send(b'HELLO\r\n\r\n')

        async def test(caller):
            reply = await caller.call('/orders/1', 'POST')
            self.assertEqual(
                ('SL3012', 'unknown'), parse_error_response(reply)[:2]
            )

        self.run_both_hops(respond, test)

    def test_error_response_before_the_body_is_read(self):
        async def test(caller):
            await caller.connection.send(
                b'POST /nothing HTTP/1.1\r\nHost: shop\r\n'
                b'Content-Length: 5000000\r\n\r\n' + b'x' * 100_000
            )
            response, _ = await caller.receive()
            self.assertEqual(404, response.status)
            self.assertFalse(response.keep_alive)

        self.run_both_hops(self.nodes[0].target.echo, test)
