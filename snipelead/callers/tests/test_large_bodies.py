from snipelead.callers.tests.fakes import Caller
from snipelead.callers.tests.fakes import CallPathTestCase
from snipelead.callers.tests.fakes import FakeNode
from snipelead.callers.tests.fakes import refusal_of

ERROR = b'HTTP/1.1 500 Internal Server Error\r\nContent-Length: 3\r\n\r\nbad'
# Longer than what a node keeps of a body.
BODY = b'x' * 300_000
CHUNKED = b'%x\r\n%b\r\n0\r\n\r\n' % (len(BODY), BODY)


async def fail(connection, request, body):
    await connection.send(ERROR)


async def close(connection, request, body):
    connection.close()


class LargeBodyTest(CallPathTestCase):
    """A body that was passed on as it arrived is not sent again."""

    def call(self, target_answer, send):
        nodes = [FakeNode(f'n{n}') for n in (1, 2, 3)]
        answers = []

        async def test(nursery):
            for node in nodes:
                node.target.answer = target_answer
            caller = await Caller.open(nodes[0].path.caller_address)
            await send(caller)
            answers.append(await caller.receive())

        self.run_nodes(test, *nodes)
        bodies = [body for node in nodes for body in node.target.bodies]
        self.assertEqual([BODY], bodies)
        return answers[0]

    async def send_sized(self, caller):
        await caller.send('/reads/1', 'PUT', BODY)

    async def send_chunked(self, caller):
        head = (
            b'PUT /reads/1 HTTP/1.1\r\nHost: shop\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
        )
        await caller.connection.send(head + CHUNKED)

    def test_server_error_is_passed_on(self):
        for send in (self.send_sized, self.send_chunked):
            response, body = self.call(fail, send)
            self.assertEqual((500, b'bad'), (response.status, body))

    def test_lost_answer_is_told(self):
        for send in (self.send_sized, self.send_chunked):
            code, ran, _ = refusal_of(self.call(close, send))
            self.assertEqual('unknown', ran)
            self.assertNotEqual('SL3013', code)
