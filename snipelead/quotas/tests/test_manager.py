"""Admission of requests at a node."""

from testtools import TestCase
import trio

from snipelead.callers.tests.fakes import Caller
from snipelead.callers.tests.fakes import CallPathTestCase
from snipelead.callers.tests.fakes import FakeNode
from snipelead.callers.tests.fakes import parse_error_response
from snipelead.quotas.budget import QuotaBudget
from snipelead.quotas.budget import SETTLE_S
from snipelead.quotas.exceptions import QuotaExceededError
from snipelead.quotas.exceptions import QuotaUnavailableError
from snipelead.quotas.granter import QuotaGranter
from snipelead.quotas.manager import MAX_WAIT_S
from snipelead.quotas.manager import QuotaManager
from snipelead.releases.document import Customer
from snipelead.rpc.exceptions import RpcUnreachableError
from snipelead.settings.schema import Guarantees
from snipelead.settings.schema import NodeSettings
from snipelead.testing.simulation import run_simulated

GUARANTEES = Guarantees(
    quota_window_ms=5_000, quota_overage=0.1, quota_extra=20.0
)
CUSTOMER = Customer('c', rate_per_s=10.0, burst=10.0)
LATENCY_S = 0.01


class FakeControl:
    """Control that grants at once after a delay."""

    def __init__(self, now):
        budget = QuotaBudget.of_guarantees(GUARANTEES)
        self.granter = QuotaGranter('1', budget, now - 100.0)
        self.customers = {'c': CUSTOMER}
        self.calls = self
        self.reachable = True
        self.requests = []

    def failover_order(self):
        return [self]

    async def call(self, request, timeout_s):
        self.requests.append(request)
        if not self.reachable:
            raise RpcUnreachableError('cut off')
        await trio.sleep(LATENCY_S)
        return self.granter.handle(
            request, self.customers, trio.current_time()
        )


def make_manager(control, guarantees=GUARANTEES):
    settings = NodeSettings(
        node_id='n',
        zone='a',
        caller_address='127.0.0.1:0',
        address='127.0.0.1:0',
        admin_address='127.0.0.1:0',
        controls=(),
        guarantees=guarantees,
    )
    return QuotaManager(settings, control, lambda: 1)


class QuotaManagerTest(TestCase):
    def run_manager(self, check, guarantees=GUARANTEES):
        async def run():
            control = FakeControl(trio.current_time())
            manager = make_manager(control, guarantees)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(manager.run)
                await check(manager, control)
                nursery.cancel_scope.cancel()

        run_simulated(run)

    def test_first_requests_wait_for_the_first_grant(self):
        # Guards against refusals while the first grants are on their way.
        async def check(manager, control):
            async with trio.open_nursery() as nursery:
                for _ in range(10):
                    nursery.start_soon(manager.admit, CUSTOMER)
            self.assertEqual(10, manager.admitted['c'])
            self.assertEqual(1, len(control.requests))

        self.run_manager(check)

    def test_request_beyond_the_limit_is_refused_with_a_true_time(self):
        async def check(manager, control):
            errors = []

            async def admit():
                try:
                    await manager.admit(CUSTOMER)
                except QuotaExceededError as error:
                    errors.append(error)

            async with trio.open_nursery() as nursery:
                for _ in range(100):
                    nursery.start_soon(admit)
            self.assertEqual(100 - manager.admitted['c'], len(errors))
            self.assertEqual(429, errors[0].status)
            count = len(control.requests)
            await admit()
            # A further refusal sends nothing.
            self.assertEqual(count, len(control.requests))
            delay_s = max(error.retry_after_ms for error in errors) / 1_000
            await trio.sleep(delay_s)
            await manager.admit(CUSTOMER)

        self.run_manager(check)

    def test_messages_are_few_under_many_requests(self):
        async def check(manager, control):
            async def admit():
                try:
                    await manager.admit(CUSTOMER)
                except QuotaExceededError:
                    pass

            async with trio.open_nursery() as nursery:
                for _ in range(1_000):
                    nursery.start_soon(admit)
                    await trio.sleep(0.01)
            self.assertGreater(manager.refused['c'], 800)
            self.assertLess(len(control.requests), 105)

        self.run_manager(check)

    def test_silence_without_customers_or_guarantees(self):
        async def check(manager, control):
            unlimited = Customer('d')
            self.assertIsNone(await manager.admit(None))
            self.assertIsNone(await manager.admit(unlimited))
            await trio.sleep(10)
            self.assertEqual([], control.requests)

        self.run_manager(check)

        async def check_off(manager, control):
            self.assertIsNone(await manager.admit(CUSTOMER))
            self.assertEqual({}, manager.hands)

        self.run_manager(check_off, Guarantees())

    def test_refusal_without_a_control_is_not_a_429(self):
        async def check(manager, control):
            control.reachable = False
            started_at = trio.current_time()
            with self.assertRaises(QuotaUnavailableError):
                await manager.admit(CUSTOMER)
            waited_s = trio.current_time() - started_at
            self.assertLessEqual(waited_s, MAX_WAIT_S)
            self.assertFalse(manager.is_available)
            control.reachable = True
            await trio.sleep(1.0)
            await manager.admit(CUSTOMER)
            self.assertTrue(manager.is_available)

        self.run_manager(check)

    def test_used_up_reserve_is_not_a_429(self):
        # Guards against blaming the customer for a control that is cut off.
        async def check(manager, control):
            control.granter = QuotaGranter(
                '2', manager.budget, trio.current_time(), is_reserve=True
            )
            for _ in range(2):
                with self.assertRaises(QuotaUnavailableError):
                    await manager.admit(CUSTOMER)
            self.assertEqual(1, len(control.requests))

        self.run_manager(check)

    def test_refunded_token_admits_another_request(self):
        # Guards against credit lost for requests refused for other reasons.
        async def check(manager, control):
            for _ in range(200):
                manager.refund(await manager.admit(CUSTOMER))
            self.assertEqual(0, manager.refused['c'])

        self.run_manager(check)

    def test_cancelled_request_returns_its_token(self):
        async def check(manager, control):
            with trio.move_on_after(LATENCY_S / 2):
                await manager.admit(CUSTOMER)
            self.assertEqual(0, manager.hands['c'].waiting)
            self.assertEqual({}, dict(manager.waiters))

        self.run_manager(check)

    def test_late_request_is_admitted_again(self):
        # Guards against a request that runs after its token has lapsed.
        async def check(manager, control):
            admission = await manager.admit(CUSTOMER)
            await trio.sleep(SETTLE_S + 10)
            self.assertFalse(admission.is_valid(trio.current_time()))
            again = await admission.readmit()
            self.assertTrue(again.is_valid(trio.current_time()))
            manager.refund(admission)
            self.assertEqual(0, manager.hands['c'].left(trio.current_time()))

        self.run_manager(check)


class DispatcherTest(CallPathTestCase):
    def test_customer_beyond_its_limit_gets_429_and_nothing_runs(self):
        node = FakeNode('n1')
        release = node.holder.current
        limited = Customer('default', rate_per_s=0.1, burst=0.0)
        node.holder.replace(
            type(release)(
                2,
                release.services,
                release.routes,
                release.settings,
                {'default': limited},
            )
        )

        async def test(nursery):
            control = FakeControl(trio.current_time())
            control.customers = {'default': limited}
            manager = make_manager(control)
            node.path.dispatcher.quotas = manager
            nursery.start_soon(manager.run)
            caller = await Caller.open(node.path.caller_address)
            statuses = []
            for _ in range(30):
                response, body = await caller.call('/reads/1')
                statuses.append(response.status)
            refused = statuses.index(429)
            self.assertEqual([200] * refused, statuses[:refused])
            self.assertEqual(statuses.count(200), len(node.target.runs))
            code, ran, _ = parse_error_response((response, body))
            self.assertEqual(('SL3040', 'no'), (code, ran))
            self.assertIn(b'retry-after', response.fields)
            caller.connection.close()

        self.run_nodes(test, node)
