import trio

from snipelead.callers.tests.fakes import Caller
from snipelead.callers.tests.fakes import CallPathTestCase
from snipelead.callers.tests.fakes import FakeNode
from snipelead.callers.tests.fakes import until
from snipelead.metrics import MAX_TENANTS


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

    def test_each_end_of_a_call_is_counted(self):
        async def test(nursery):
            caller = await self.open()
            await caller.call('/nothing')
            self.node.target.hold = trio.Event()
            await caller.call('/orders/1', 'POST', X_Deadline_Ms=50)
            await caller.send('/orders/2', 'POST')
            await until(lambda: '/orders/2' in self.node.target.runs)
            caller.connection.close()
            await until(lambda: not self.node.path.in_flight)
            text = self.exposition()
            self.assertIn('{ran="no",status="404"} 1', text)
            self.assertIn('{ran="unknown",status="504"} 1', text)
            self.assertIn('{ran="unknown",status="499"} 1', text)

        self.run_nodes(test, self.node)

    def test_invented_tenants_share_a_label(self):
        async def test(nursery):
            caller = await self.open()
            for number in range(MAX_TENANTS + 20):
                await caller.call('/reads/1', X_Tenant=f't{number}')
            text = self.exposition()
            self.assertIn('tenant="other"} 20', text)
            self.assertNotIn(f'tenant="t{MAX_TENANTS + 1}"', text)

        self.run_nodes(test, self.node)
