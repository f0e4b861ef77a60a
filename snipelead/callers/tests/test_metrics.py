import trio

from snipelead.callers.call import Call
from snipelead.callers.tests.fakes import Caller
from snipelead.callers.tests.fakes import CallPathTestCase
from snipelead.callers.tests.fakes import FakeNode
from snipelead.callers.tests.fakes import wait_until
from snipelead.metrics import MAX_TENANTS
from snipelead.types import Ran
from snipelead.types import RequestClass


class MetricsTest(CallPathTestCase):
    def setUp(self):
        super().setUp()
        self.node = FakeNode('n1')

    async def open(self):
        return await Caller.open(self.node.path.caller_address)

    def exposition(self):
        return self.node.metrics.render()[0].decode()

    def test_calls_are_counted_by_tenant_and_class(self):
        async def test(nursery):
            caller = await self.open()
            await caller.call('/orders/1', 'POST', X_Tenant='alfa')
            text = self.exposition()
            for name in ('added', 'target', 'queue'):
                self.assertIn(
                    f'snipelead_call_{name}_seconds_count'
                    '{class="once",tenant="alfa"} 1',
                    text,
                )
            self.assertIn('{ran="yes",status="200"} 1', text)

        self.run_nodes(test, self.node)

    def test_calls_are_counted_by_outcome(self):
        async def test(nursery):
            caller = await self.open()
            await caller.call('/nothing')
            self.node.target.hold = trio.Event()
            await caller.call('/orders/1', 'POST', X_Deadline_Ms=50)
            await caller.send('/orders/2', 'POST')
            await wait_until(lambda: '/orders/2' in self.node.target.runs)
            caller.connection.close()
            await wait_until(lambda: not self.node.path.in_flight)
            text = self.exposition()
            self.assertIn('{ran="no",status="404"} 1', text)
            self.assertIn('{ran="unknown",status="504"} 1', text)
            self.assertIn('{ran="unknown",status="499"} 1', text)

        self.run_nodes(test, self.node)

    def test_executed_call_without_response_records_no_target_time(self):
        async def test(nursery):
            call = Call(RequestClass.ONCE, 'alfa', True, 1_000)
            # As for a request whose key was claimed by an executed request.
            call.ran = Ran.YES
            call.status = 409
            self.node.metrics.observe_call(call)
            text = self.exposition()
            for name in ('added', 'target'):
                self.assertIn(
                    f'snipelead_call_{name}_seconds_count'
                    '{class="once",tenant="alfa"} 0',
                    text,
                )
            self.assertIn('{ran="yes",status="409"} 1', text)

        self.run_nodes(test, self.node)

    def test_unexpected_error_is_counted_by_its_status(self):
        async def test(nursery):
            self.node.path.balancer.choose = None
            caller = await self.open()
            response, _ = await caller.call('/reads/1')
            self.assertEqual(500, response.status)
            self.assertIn('{ran="no",status="500"} 1', self.exposition())

        self.run_nodes(test, self.node)

    def test_tenants_above_the_limit_share_a_label(self):
        async def test(nursery):
            caller = await self.open()
            for number in range(MAX_TENANTS + 20):
                await caller.call('/reads/1', X_Tenant=f't{number}')
            text = self.exposition()
            self.assertIn('tenant="other"} 20', text)
            self.assertNotIn(f'tenant="t{MAX_TENANTS + 1}"', text)

        self.run_nodes(test, self.node)
