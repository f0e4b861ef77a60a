from snipelead.callers.tests.fakes import Caller
from snipelead.callers.tests.fakes import CallPathTestCase
from snipelead.callers.tests.fakes import FakeNode
from snipelead.callers.tests.fakes import parse_error_response

ERROR_RESPONSE = (
    b'HTTP/1.1 500 Internal Server Error\r\nContent-Length: 3\r\n\r\nbad'
)
# Larger than the bodies that a node buffers for retries.
LARGE_BODY = b'x' * 300_000
CHUNKED_BODY = b'%x\r\n%b\r\n0\r\n\r\n' % (len(LARGE_BODY), LARGE_BODY)


async def send_server_error(connection, request, body):
    await connection.send(ERROR_RESPONSE)


async def close_connection(connection, request, body):
    connection.close()


class LargeBodyTest(CallPathTestCase):
    """Requests whose body was streamed are not retried."""

    def call(self, respond, send):
        nodes = [FakeNode(f'n{n}') for n in (1, 2, 3)]
        replies = []

        async def test(nursery):
            for node in nodes:
                node.target.respond = respond
            caller = await Caller.open(nodes[0].path.caller_address)
            await send(caller)
            replies.append(await caller.receive())

        self.run_nodes(test, *nodes)
        bodies = [body for node in nodes for body in node.target.bodies]
        self.assertEqual([LARGE_BODY], bodies)
        return replies[0]

    async def send_sized(self, caller):
        await caller.send('/reads/1', 'PUT', LARGE_BODY)

    async def send_chunked(self, caller):
        head = (
            b'PUT /reads/1 HTTP/1.1\r\nHost: shop\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
        )
        await caller.connection.send(head + CHUNKED_BODY)

    def test_server_error_is_relayed(self):
        for send in (self.send_sized, self.send_chunked):
            response, body = self.call(send_server_error, send)
            self.assertEqual((500, b'bad'), (response.status, body))

    def test_lost_response_is_reported(self):
        for send in (self.send_sized, self.send_chunked):
            code, ran, _ = parse_error_response(
                self.call(close_connection, send)
            )
            self.assertEqual('unknown', ran)
            self.assertNotEqual('SL3013', code)
