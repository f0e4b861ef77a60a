"""A process that was paused acts on nothing that has run out meanwhile."""

import socket
import time

from snipelead.callers.connections import PAUSE_THRESHOLD_S
from snipelead.callers.tests.fakes import Caller
from snipelead.callers.tests.fakes import CallPathTestCase
from snipelead.callers.tests.fakes import FakeNode
from snipelead.callers.tests.fakes import parse_error_response
from snipelead.callers.tests.fakes import wait_until
from snipelead.http.connection import split_address
from snipelead.types import TargetState

# Longer than an interval of the watcher, which sets the deadline of a call.
PAUSE_S = 0.35
DEADLINE_MS = 300


def pause_before(function):
    """Return a function that blocks the process and calls another one."""

    def paused(*args, **kwargs):
        time.sleep(PAUSE_S)
        return function(*args, **kwargs)

    return paused


class PausedNodeTest(CallPathTestCase):
    def setUp(self):
        super().setUp()
        self.near = FakeNode('n1')
        self.far = FakeNode('n2', zone='b')

    async def check_expired_call(self, node, path, method):
        """Check that a call that expires in a pause reaches no target."""
        caller = await Caller.open(self.near.path.caller_address)
        await caller.call(path, method)
        runs = list(node.target.runs)
        splits = self.near.path.attempts.splits
        balancer = self.near.path.balancer
        for owner in (splits, balancer):
            choose = owner.choose
            owner.choose = pause_before(choose)
            reply = await caller.call(path, method, X_Deadline_Ms=DEADLINE_MS)
            owner.choose = choose
            code, ran, _ = parse_error_response(reply)
            self.assertEqual(('SL3013', 'no'), (code, ran))
        self.assertEqual(runs, node.target.runs)

    def test_expired_call_is_not_sent_to_the_local_target(self):
        """An expired call was sent with a deadline of 1 ms."""

        async def test(nursery):
            await self.check_expired_call(self.near, '/orders/1', 'POST')
            await self.check_expired_call(self.near, '/reads/1', 'GET')

        self.run_nodes(test, self.near)

    def test_expired_call_is_not_forwarded(self):
        """An expired call was forwarded with a deadline of 1 ms."""

        async def test(nursery):
            self.near.announce(TargetState.LEAVING)
            self.near.directory.merge(self.near.entry)
            await self.check_expired_call(self.far, '/orders/1', 'POST')

        self.run_nodes(test, self.near, self.far)

    def test_request_abandoned_during_a_pause_reaches_no_target(self):
        """A paused node ran requests whose callers had left."""

        async def test(nursery):
            server = self.near.path.servers[0]
            await wait_until(lambda: server.last_tick_at)
            address = split_address(self.near.path.caller_address)
            with socket.create_connection(address) as caller:
                caller.sendall(b'GET /reads/1 HTTP/1.1\r\nHost: shop\r\n\r\n')
            time.sleep(PAUSE_THRESHOLD_S + 0.1)
            caller = await Caller.open(self.near.path.caller_address)
            response, _ = await caller.call('/reads/2')
            self.assertEqual(200, response.status)
            await wait_until(lambda: len(server.connections) == 1)
            await wait_until(lambda: not server.active_requests)
            self.assertEqual(['/reads/2'], self.near.target.runs)

        self.run_nodes(test, self.near)
