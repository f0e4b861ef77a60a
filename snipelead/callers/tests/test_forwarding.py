from functools import partial

import msgspec
import trio

from snipelead.callers.call import Call
from snipelead.callers.tests.fakes import Caller
from snipelead.callers.tests.fakes import CallPathTestCase
from snipelead.callers.tests.fakes import FakeNode
from snipelead.callers.tests.fakes import parse_error_response
from snipelead.callers.tests.fakes import wait_until
from snipelead.callers.tests.lossy_link import LossyLink
from snipelead.types import Ran
from snipelead.types import RequestClass
from snipelead.types import TargetState


class ForwardingTest(CallPathTestCase):
    """Requests that n1 (near) forwards to n2 (far) over a lossy link."""

    def setUp(self):
        super().setUp()
        self.near = FakeNode('n1')
        self.far = FakeNode('n2')

    async def start_link(self, nursery):
        """Connect the nodes by a link; only the far target serves."""
        self.near.announce(TargetState.LEAVING)
        self.near.directory.merge(self.near.entry)
        link = LossyLink(self.far.path.address)
        await nursery.start(link.run)
        self.merge_far(address=link.address)
        return link

    def merge_far(self, **changes):
        entry = self.far.entry
        changes.setdefault('sequence', entry.sequence + 1)
        self.near.directory.merge(msgspec.structs.replace(entry, **changes))

    def raise_observed_latency(self, node):
        """Make the near node prefer the targets of other nodes."""
        observations = self.near.path.balancer.get_observations('stock')
        for observation in observations:
            if observation.entry.node_id == node.settings.node_id:
                now = trio.current_time()
                observation.record_response(60.0, False, None, now)

    async def call(self, path='/orders/1', method='POST', **fields):
        caller = await Caller.open(self.near.path.caller_address)
        return await caller.call(path, method, **fields)

    def test_lost_request_is_fenced_and_reported_as_not_executed(self):
        async def test(nursery):
            link = await self.start_link(nursery)
            response, _ = await self.call('/reads/1', 'GET')
            self.assertEqual(200, response.status)
            link.dropped_requests.add(0)
            reply = await self.call()
            self.assertEqual(('SL3012', 'no'), parse_error_response(reply)[:2])
            self.assertEqual(['/reads/1'], self.far.target.runs)
            # The next request uses a new connection.
            response, _ = await self.call()
            self.assertEqual(200, response.status)
            self.assertEqual(['/reads/1', '/orders/1'], self.far.target.runs)

        self.run_nodes(test, self.near, self.far)

    def test_lost_request_is_retried_once_on_another_target(self):
        third = FakeNode('n3', zone='b')

        async def test(nursery):
            third.announce(TargetState.LEAVING)
            self.near.directory.merge(third.entry)
            link = await self.start_link(nursery)
            await self.call('/reads/1', 'GET')
            link.dropped_requests.add(0)
            third.announce(TargetState.SERVING)
            self.near.directory.merge(third.entry)
            self.raise_observed_latency(third)
            response, _ = await self.call()
            self.assertEqual(200, response.status)
            self.assertEqual(['/orders/1'], third.target.runs)
            self.assertEqual(['/reads/1'], self.far.target.runs)

        self.run_nodes(test, self.near, self.far, third)

    def test_request_is_not_retried_after_lost_response(self):
        third = FakeNode('n3', zone='b')

        async def test(nursery):
            link = await self.start_link(nursery)
            self.raise_observed_latency(third)
            await self.call('/reads/1', 'GET')
            link.dropped_responses.add(0)
            reply = await self.call()
            self.assertEqual(
                ('SL3012', 'yes'), parse_error_response(reply)[:2]
            )
            self.assertEqual(['/reads/1', '/orders/1'], self.far.target.runs)
            self.assertEqual([], third.target.runs)

        self.run_nodes(test, self.near, self.far, third)

    def test_lost_response_of_running_request_is_reported_as_unknown(self):
        async def test(nursery):
            link = await self.start_link(nursery)
            link.dropped_responses.add(0)
            self.far.target.hold = trio.Event()
            reply = await self.call()
            self.assertEqual('unknown', parse_error_response(reply)[1])
            self.assertEqual(['/orders/1'], self.far.target.runs)

        self.run_nodes(test, self.near, self.far)

    def test_lost_connection_is_reset_before_fencing(self):
        async def test(nursery):
            link = await self.start_link(nursery)
            link.dropped_responses.add(0)
            self.far.target.hold = trio.Event()
            await self.call()
            await wait_until(lambda: link.closures)
            self.assertIn((0, True, 'reset'), link.closures)

        self.run_nodes(test, self.near, self.far)

    def test_fence_for_other_incarnation_returns_unknown(self):
        async def test(nursery):
            await self.start_link(nursery)
            entry = self.far.entry
            forwarder = self.near.path.forwarder
            self.assertIs(Ran.NO, await forwarder.fence(entry, 'a1'))
            restarted_entry = msgspec.structs.replace(
                entry, incarnation=entry.incarnation + 1
            )
            self.assertIs(
                Ran.UNKNOWN, await forwarder.fence(restarted_entry, 'a2')
            )

        self.run_nodes(test, self.near, self.far)

    def test_fence_without_response_returns_unknown(self):
        async def test(nursery):
            link = await self.start_link(nursery)
            link.dropped_requests.update(range(10))
            reply = await self.call()
            self.assertEqual(
                ('SL3012', 'unknown'), parse_error_response(reply)[:2]
            )
            self.assertEqual([], self.far.target.runs)

        self.run_nodes(test, self.near, self.far)

    def test_loss_detected_after_the_deadline_is_unknown(self):
        async def test(nursery):
            await self.start_link(nursery)
            limiters = self.far.path.limiters
            limiters.attempts.begin('a1')
            limiters.attempts.mark_sent('a1')
            # As if the near process had been stopped for minutes: the limiter
            # has forgotten the attempt and would take it for one never sent.
            for _ in range(2 * limiters.attempts.retention_ticks):
                limiters.attempts.tick()
            call = Call(RequestClass.ONCE, 'a', True, 0)
            call.ran = Ran.UNKNOWN
            forwarder = self.near.path.forwarder
            await forwarder._resolve_lost_request(self.far.entry, call, 'a1')
            self.assertIs(Ran.UNKNOWN, call.outcome)

        self.run_nodes(test, self.near, self.far)

    def test_request_for_other_incarnation_is_rejected(self):
        async def test(nursery):
            await self.start_link(nursery)
            self.merge_far(incarnation=self.far.entry.incarnation + 1)
            reply = await self.call()
            self.assertEqual(('SL3008', 'no'), parse_error_response(reply)[:2])
            self.assertEqual([], self.far.target.runs)

        self.run_nodes(test, self.near, self.far)

    def test_heartbeats_keep_long_request_alive(self):
        async def test(nursery):
            await self.start_link(nursery)
            release = self.far.target.hold = trio.Event()
            caller = await Caller.open(self.near.path.caller_address)
            await caller.send('/orders/1', 'POST')
            await wait_until(lambda: self.far.target.running == 1)
            await wait_for_seconds(1.5)
            release.set()
            response, _ = await caller.receive()
            self.assertEqual(200, response.status)

        self.run_nodes(test, self.near, self.far)

    def test_process_stall_is_not_mistaken_for_a_silent_peer(self):
        async def test(nursery):
            await self.start_link(nursery)
            release = self.far.target.hold = trio.Event()
            caller = await Caller.open(self.near.path.caller_address)
            await caller.send('/orders/1', 'POST')
            await wait_until(lambda: self.far.target.running == 1)
            # As if the process had been stopped for a minute. Heartbeats may
            # wait in its sockets, so the peer must not count as silent.
            forwarder = self.near.path.forwarder
            for reader in forwarder.last_received_at:
                forwarder.last_received_at[reader] -= 60.0
            forwarder.last_tick_at -= 60.0
            forwarder.tick(trio.current_time())
            release.set()
            response, _ = await caller.receive()
            self.assertEqual(200, response.status)

        self.run_nodes(test, self.near, self.far)

    def test_request_rejected_by_leaving_target_is_retried(self):
        third = FakeNode('n3', zone='b')

        async def test(nursery):
            await self.start_link(nursery)
            # The near node does not know yet that the far target is leaving.
            self.far.announce(TargetState.LEAVING)
            self.raise_observed_latency(third)
            for _ in range(3):
                response, _ = await self.call()
                self.assertEqual(200, response.status)
            self.assertEqual([], self.far.target.runs)
            self.assertEqual(3, len(third.target.runs))

        self.run_nodes(test, self.near, self.far, third)

    def test_connection_is_reused_after_rejected_body(self):
        body = b'x' * 500_000

        async def test(nursery):
            await self.start_link(nursery)
            self.far.announce(TargetState.LEAVING)
            reply = await self.call(body=body)
            self.assertEqual('no', parse_error_response(reply)[1])
            self.far.announce(TargetState.SERVING)
            self.merge_far(sequence=100)
            _, echoed = await self.call(body=body)
            self.assertEqual(body, echoed)

        self.run_nodes(test, self.near, self.far)

    def test_rejection_by_peer_includes_retry_after(self):
        async def test(nursery):
            await self.start_link(nursery)
            self.far.local_targets.targets[
                self.far.target_id
            ].entry = msgspec.structs.replace(self.far.entry, slots=0)
            response, _ = await self.call()
            self.assertEqual(503, response.status)
            self.assertIn(b'x-retry-after-ms', response.fields)

        self.run_nodes(test, self.near, self.far)


async def wait_for_seconds(seconds):
    """Wait until a number of seconds has passed."""
    start = trio.current_time()
    await wait_until(partial(_is_past, start + seconds))


def _is_past(time_s):
    return trio.current_time() >= time_s
