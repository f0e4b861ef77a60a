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
from snipelead.types import TargetState

NO_LEASE = ('SL3032', 'no')
OUTDATED = ('SL3033', 'no')


def make_routes(number, *keys):
    return replace(make_release(number, *keys), routes=RELEASE.routes)


class WaitTest(CallPathTestCase):
    def setUp(self):
        super().setUp()
        self.node = self.make_node('n1', slots=1)
        self.far = self.make_node('n2', slots=1)

    def make_node(self, name, **options):
        node = FakeNode(name, **options)
        node.holder.replace(make_routes(2, KEY))
        node.path.authenticator = Authenticator(node.holder, REVOCATION_MS)
        return node

    def grant(self, *nodes):
        for node in nodes:
            leases = node.path.authenticator.leases
            leases.record(node.holder.current.number, trio.current_time())

    def expire(self, *nodes):
        for node in nodes:
            node.path.authenticator.leases.ends.clear()

    async def open(self):
        return await Caller.open(self.node.path.caller_address)

    async def assert_refused(self, caller, expected=NO_LEASE):
        reply = await caller.receive()
        self.assertEqual(503, reply[0].status)
        self.assertEqual(expected, parse_error_response(reply)[:2])
        self.assertIn(b'retry-after', reply[0].fields)

    def run_locally(self, test):
        async def with_lease(nursery):
            self.grant(self.node)
            await test()

        self.run_nodes(with_lease, self.node)

    def run_forwarded(self, test):
        async def with_leases(nursery):
            self.grant(self.node, self.far)
            self.node.announce(TargetState.LEAVING)
            self.node.directory.merge(self.node.entry)
            await test()

        self.run_nodes(with_leases, self.node, self.far)

    async def queue_request(self, target):
        """Occupy the only slot; return callers that wait and the event."""
        hold = target.hold = trio.Event()
        running, waiting = await self.open(), await self.open()
        await running.send('/reads/1', X_Api_Key=KEY)
        await wait_until(lambda: target.running)
        await waiting.send('/reads/2', X_Api_Key=KEY)
        node = self.node if target is self.node.target else self.far
        await wait_until(lambda: node.limiter.waiting)
        return running, waiting, hold

    def test_without_a_lease_only_keys_are_refused(self):
        async def test():
            self.expire(self.node)
            caller = await self.open()
            await caller.send('/reads/1', X_Api_Key=KEY)
            await self.assert_refused(caller)
            response, _ = await caller.call('/reads/1')
            self.assertEqual(401, response.status)
            self.node.holder.replace(
                replace(
                    make_routes(3, KEY),
                    routes={
                        'r': replace(RELEASE.routes['reads'], public=True)
                    },
                )
            )
            response, _ = await caller.call('/reads/1', X_Api_Key='any')
            self.assertEqual(200, response.status)

        self.run_locally(test)

    def test_after_the_queue(self):
        async def test():
            running, waiting, hold = await self.queue_request(self.node.target)
            self.expire(self.node)
            hold.set()
            await running.receive()
            await self.assert_refused(waiting)
            self.assertEqual(['/reads/1'], self.node.target.runs)

        self.run_locally(test)

    def test_after_the_queue_of_another_node(self):
        async def test():
            running, waiting, hold = await self.queue_request(self.far.target)
            self.expire(self.far)
            hold.set()
            await running.receive()
            await self.assert_refused(waiting)
            self.assertEqual(['/reads/1'], self.far.target.runs)

        self.run_forwarded(test)

    def test_key_that_is_removed_while_another_node_queues(self):
        """The other node has a lease, and the key is gone by its release."""

        async def test():
            running, waiting, hold = await self.queue_request(self.far.target)
            self.far.holder.replace(make_routes(3))
            hold.set()
            await running.receive()
            await self.assert_refused(waiting, OUTDATED)
            self.assertEqual(['/reads/1'], self.far.target.runs)

        self.run_forwarded(test)

    def test_release_that_keeps_the_key_changes_nothing(self):
        """Guards against refusals whenever releases reach nodes in turn."""

        async def test():
            running, waiting, hold = await self.queue_request(self.far.target)
            self.far.holder.replace(make_routes(3, KEY, 'k-new'))
            hold.set()
            for caller in (running, waiting):
                response, _ = await caller.receive()
                self.assertEqual(200, response.status)

        self.run_forwarded(test)

    def test_after_the_body(self):
        async def test():
            caller = await self.open()
            await caller.connection.send(
                b'POST /orders HTTP/1.1\r\nHost: shop\r\nContent-Length: 4\r\n'
                b'X-Api-Key: %b\r\n\r\nab' % KEY.encode()
            )
            await wait_until(lambda: self.node.path.in_flight)
            self.expire(self.node)
            await caller.connection.send(b'cd')
            await self.assert_refused(caller)
            self.assertEqual([], self.node.target.runs)

        self.run_locally(test)

    def test_after_the_connection_was_opened(self):
        async def test():
            sender = self.node.path.sender
            acquire = sender.acquire

            async def acquire_slowly(address):
                self.expire(self.node)
                return await acquire(address)

            sender.acquire = acquire_slowly
            caller = await self.open()
            await caller.send('/reads/1', X_Api_Key=KEY)
            await self.assert_refused(caller)
            self.assertEqual([], self.node.target.runs)

        self.run_locally(test)

    def test_after_the_connection_to_another_node_was_opened(self):
        async def test():
            forwarder = self.node.path.forwarder
            connect = forwarder._connect

            async def connect_slowly(entry):
                self.expire(self.node)
                return await connect(entry)

            forwarder._connect = connect_slowly
            caller = await self.open()
            await caller.send('/reads/1', X_Api_Key=KEY)
            await self.assert_refused(caller)
            self.assertEqual([], self.far.target.runs)

        self.run_forwarded(test)

    def test_before_each_retry(self):
        async def test():
            attempts = self.node.path.attempts
            sent = []

            async def fail(entry, call, request):
                sent.append(entry.target_id)
                self.expire(self.node)
                raise TargetUnreachableError('refused')

            attempts._send = fail
            caller = await self.open()
            await caller.send('/reads/1', X_Api_Key=KEY)
            await self.assert_refused(caller)
            self.assertEqual(1, len(sent))

        self.run_nodes(
            lambda nursery: self.with_leases(test), self.node, self.far
        )

    async def with_leases(self, test):
        self.grant(self.node, self.far)
        await test()

    def test_another_node_without_a_lease_is_avoided(self):
        """A request goes on to a target whose node has a lease."""

        async def test():
            self.expire(self.far)
            self.node.announce(TargetState.LEAVING)
            self.node.directory.merge(self.node.entry)
            third.directory.merge(self.far.entry)
            self.node.directory.merge(third.entry)
            caller = await self.open()
            for _ in range(20):
                response, _ = await caller.call('/reads/1', X_Api_Key=KEY)
                self.assertEqual(200, response.status)
            self.assertEqual([], self.far.target.runs)
            refused = self.far.path.authenticator.refusals['SL3032']
            self.assertIn(refused, (0, 1))

        third = self.make_node('n3', slots=1)

        async def with_leases(nursery):
            self.grant(self.node, third)
            await test()

        self.run_nodes(with_leases, self.node, self.far, third)
