"""Guards against responses whose status is outside 100 to 599."""

from snipelead.callers.tests.fakes import Caller
from snipelead.callers.tests.fakes import CallPathTestCase
from snipelead.callers.tests.fakes import FakeNode

INVALID_STATUSES = (b'000', b'099', b'600', b'999')


class InvalidStatusTest(CallPathTestCase):
    """A target in trouble responded 000 and the caller received it."""

    def make_nodes(self):
        self.near = FakeNode('n1')
        self.far = FakeNode('n2', zone='b')
        self.near.target.respond = self.respond_with_invalid_status

    async def respond_with_invalid_status(self, connection, request, body):
        await connection.send(
            b'HTTP/1.1 %b Odd\r\nContent-Length: 3\r\n\r\nodd' % self.status
        )

    async def call(self, node, path, method):
        caller = await Caller.open(node.path.caller_address)
        response, body = await caller.call(path, method)
        return response.status, body

    def run_for_each_status(self, test):
        """Run a test with new nodes for each status.

        A target that loses several answers in a row is ejected.
        """

        async def run_test(nursery):
            await test()

        for status in INVALID_STATUSES:
            self.status = status
            self.make_nodes()
            self.run_nodes(run_test, self.near, self.far)
            self.assertEqual(1, len(self.near.target.runs))

    def test_unrepeatable_request_gets_502(self):
        async def test():
            status, body = await self.call(self.near, '/orders/1', 'POST')
            self.assertEqual(502, status, self.status)
            self.assertNotEqual(b'odd', body)
            self.assertEqual([], self.far.target.runs)

        self.run_for_each_status(test)

    def test_unrepeatable_request_gets_502_through_another_node(self):
        async def test():
            self.far.directory._by_service = {'stock': (self.near.entry,)}
            status, _ = await self.call(self.far, '/orders/1', 'POST')
            self.assertEqual(502, status, self.status)

        self.run_for_each_status(test)

    def test_repeatable_request_goes_to_another_target(self):
        async def test():
            status, body = await self.call(self.near, '/reads/1', 'GET')
            self.assertEqual((200, b'/reads/1'), (status, body), self.status)

        self.run_for_each_status(test)
