import trio

from snipelead.callers.connections import ConnectionServer
from snipelead.callers.tests.fakes import ANY_PORT
from snipelead.callers.tests.fakes import bound_address
from snipelead.callers.tests.fakes import Caller
from snipelead.callers.tests.fakes import CallPathTestCase
from snipelead.callers.tests.fakes import parse_error_response
from snipelead.callers.tests.fakes import wait_until
from snipelead.http.connection import listen
from snipelead.settings.schema import NodeLimits

IDLE_TIMEOUT_S = 30.0


async def respond_no_content(connection, request):
    await connection.send(b'HTTP/1.1 204 No Content\r\n\r\n')


class ConnectionServerTest(CallPathTestCase):
    def run_server(self, test, **options):
        async def main(nursery):
            listener = listen(ANY_PORT)
            self.address = bound_address(listener)
            self.server = ConnectionServer(
                listener,
                respond_no_content,
                NodeLimits(),
                IDLE_TIMEOUT_S,
                **options,
            )
            with listener:
                await test(nursery)

        self.run_nodes(main)

    def test_new_connection_is_not_idle(self):
        async def test(nursery):
            caller = await Caller.open(self.address)
            await trio.lowlevel.wait_readable(self.server.listener)
            self.server.accept_pending(nursery)
            self.server.tick(trio.current_time())
            response, _ = await caller.call('/')
            self.assertEqual(204, response.status)

        self.run_server(test)

    def test_idle_connection_is_closed(self):
        async def test(nursery):
            nursery.start_soon(self.server.run, nursery)
            caller = await Caller.open(self.address)
            await caller.call('/')
            self.server.tick(trio.current_time() + IDLE_TIMEOUT_S - 1)
            await caller.call('/')
            self.server.tick(trio.current_time() + 2 * IDLE_TIMEOUT_S)
            self.assertEqual(b'', await caller.connection.receive())
            await wait_until(lambda: not self.server.connections)

        self.run_server(test)

    def test_connection_with_unread_request_is_not_idle(self):
        async def test(nursery):
            caller = await Caller.open(self.address)
            await trio.lowlevel.wait_readable(self.server.listener)
            self.server.accept_pending(nursery)
            await caller.send('/')
            # As if the process was stopped before the task could read.
            self.server.tick(trio.current_time() + 2 * IDLE_TIMEOUT_S)
            response, _ = await caller.receive()
            self.assertEqual(204, response.status)

        self.run_server(test)

    def test_connections_above_the_limit_are_rejected(self):
        async def test(nursery):
            nursery.start_soon(self.server.run, nursery)
            first = await Caller.open(self.address)
            await first.call('/')
            second = await Caller.open(self.address)
            self.assertEqual(
                'SL3019', parse_error_response(await second.receive())[0]
            )
            first.connection.close()
            await wait_until(lambda: not self.server.connections)
            third = await Caller.open(self.address)
            response, _ = await third.call('/')
            self.assertEqual(204, response.status)

        self.run_server(test, max_connections=1)
