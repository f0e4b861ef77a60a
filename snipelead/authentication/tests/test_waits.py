"""Authorization is checked again after every wait of a request."""

from msgspec.structs import replace
import trio

from snipelead.authentication.authenticator import Authenticator
from snipelead.authentication.tests.mesh import KEY
from snipelead.authentication.tests.mesh import make_release
from snipelead.authentication.tests.mesh import REVOCATION_MS
from snipelead.callers.exceptions import TargetUnreachableError
from snipelead.callers.tests.fakes import Caller
from snipelead.callers.tests.fakes import CallPathTestCase
from snipelead.callers.tests.fakes import FakeNode
from snipelead.callers.tests.fakes import parse_error_response
from snipelead.callers.tests.fakes import RELEASE
from snipelead.callers.tests.fakes import wait_until

NO_LEASE = ('SL3032', 'no')
OUTDATED = ('SL3033', 'no')


def make_routes(number, *keys, public=False):
    routes = {
        name: replace(route, public=public)
        for name, route in RELEASE.routes.items()
    }
    return replace(make_release(number, *keys), routes=routes)


def expire(node):
    node.path.authenticator.leases.ends.clear()


class WaitTest(CallPathTestCase):
    def make_node(self, name):
        node = FakeNode(name, slots=1)
        node.holder.replace(make_routes(2, KEY))
        node.path.authenticator = Authenticator(node.holder, REVOCATION_MS)
        return node

    def run_case(self, test, target_index=0, node_count=1):
        """Run a test with leases and one node whose target is chosen."""
        nodes = [self.make_node(f'n{index}') for index in range(node_count)]
        self.nodes = nodes
        self.near, self.far = nodes[0], nodes[target_index]

        async def with_leases(nursery):
            for node in nodes:
                node.path.authenticator.leases.record(2, trio.current_time())
            if target_index:
                self.near.directory._by_service = {'stock': (self.far.entry,)}
            await test()

        self.run_nodes(with_leases, *nodes)

    def run_both(self, test):
        """Run a test without and with forwarding to another node."""
        self.run_case(test)
        self.run_case(test, target_index=1, node_count=2)

    async def open(self, path=None):
        caller = await Caller.open(self.near.path.caller_address)
        if path is not None:
            await caller.send(path, X_Api_Key=KEY)
        return caller

    async def assert_refused(self, caller, expected=NO_LEASE, runs=()):
        reply = await caller.receive()
        self.assertEqual(503, reply[0].status)
        self.assertEqual(expected, parse_error_response(reply)[:2])
        self.assertIn(b'retry-after', reply[0].fields)
        self.assertEqual(list(runs), self.far.target.runs)

    async def queue_request(self):
        """Occupy the only slot; return the callers and a function."""
        hold = self.far.target.hold = trio.Event()
        running = await self.open('/reads/1')
        await wait_until(lambda: self.far.target.running)
        waiting = await self.open('/reads/2')
        await wait_until(lambda: self.far.limiter.waiting)
        return running, waiting, hold.set

    def test_without_a_lease_only_keys_are_refused(self):
        async def test():
            expire(self.near)
            caller = await self.open('/reads/1')
            await self.assert_refused(caller)
            response, _ = await caller.call('/reads/1')
            self.assertEqual(401, response.status)
            self.near.holder.replace(make_routes(3, public=True))
            response, _ = await caller.call('/reads/1', X_Api_Key='any')
            self.assertEqual(200, response.status)

        self.run_case(test)

    def test_after_the_queue(self):
        async def test():
            running, waiting, resume = await self.queue_request()
            expire(self.far)
            resume()
            await running.receive()
            await self.assert_refused(waiting, runs=['/reads/1'])

        self.run_both(test)

    def test_key_that_is_removed_during_the_queue(self):
        async def test():
            running, waiting, resume = await self.queue_request()
            self.far.holder.replace(make_routes(3))
            resume()
            await running.receive()
            await self.assert_refused(waiting, OUTDATED, ['/reads/1'])

        self.run_both(test)

    def test_release_that_keeps_the_key_changes_nothing(self):
        """Guards against refusals whenever releases reach nodes in turn."""

        async def test():
            running, waiting, resume = await self.queue_request()
            self.far.holder.replace(make_routes(3, KEY, 'k-new'))
            resume()
            for caller in (running, waiting):
                response, _ = await caller.receive()
                self.assertEqual(200, response.status)

        self.run_both(test)

    def test_after_the_body(self):
        async def test():
            caller = await self.open()
            await caller.connection.send(
                b'POST /orders HTTP/1.1\r\nHost: shop\r\nContent-Length: 4\r\n'
                b'X-Api-Key: %b\r\n\r\nab' % KEY.encode()
            )
            await wait_until(lambda: self.near.path.in_flight)
            expire(self.near)
            await caller.connection.send(b'cd')
            await self.assert_refused(caller)

        self.run_both(test)

    def test_after_a_connection_was_opened(self):
        async def test():
            path = self.near.path
            for owner, name in (
                (path.sender, 'acquire'),
                (path.forwarder, '_connect'),
            ):
                setattr(owner, name, self.delay(getattr(owner, name)))
            await self.assert_refused(await self.open('/reads/1'))

        self.run_both(test)

    def delay(self, connect):
        async def connect_slowly(*args):
            expire(self.near)
            return await connect(*args)

        return connect_slowly

    def test_before_each_retry(self):
        async def test():
            sent = []

            async def fail(entry, call, request):
                sent.append(entry.target_id)
                expire(self.near)
                raise TargetUnreachableError('refused')

            self.near.path.attempts._send = fail
            await self.assert_refused(await self.open('/reads/1'))
            self.assertEqual(1, len(sent))

        self.run_case(test, node_count=2)

    def test_another_node_without_a_lease_is_avoided(self):
        """A request goes on to a target whose node has a lease."""

        async def test():
            _, without_lease, with_lease = self.nodes
            expire(without_lease)
            entries = (without_lease.entry, with_lease.entry)
            self.near.directory._by_service = {'stock': entries}
            caller = await self.open()
            for _ in range(20):
                response, _ = await caller.call('/reads/1', X_Api_Key=KEY)
                self.assertEqual(200, response.status)
            self.assertEqual([], without_lease.target.runs)
            refusals = without_lease.path.authenticator.refusals
            self.assertIn(refusals['SL3032'], (0, 1))

        self.run_case(test, node_count=3)
