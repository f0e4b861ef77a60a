import trio

from snipelead.callers.call_path import Protocols
from snipelead.callers.tests.fakes import Caller
from snipelead.callers.tests.fakes import CallPathTestCase
from snipelead.callers.tests.fakes import FakeNode
from snipelead.callers.tests.fakes import wait_until
from snipelead.emulator.platform_target import Misbehaviour
from snipelead.emulator.platform_target import PlatformTarget
from snipelead.platform.protocols import PlatformCallerProtocol
from snipelead.platform.protocols import PlatformTargetProtocol
from snipelead.types import TargetState


class PlatformNode(FakeNode):
    """Node with the platform's protocols and a local target."""

    def __init__(self, name, service='contracts', **options):
        super().__init__(name, **options)
        self.path.protocols = Protocols(
            PlatformCallerProtocol(lambda: service), PlatformTargetProtocol()
        )
        self.target.listener.close()
        self.target = PlatformTarget(self.target_id)


class PlatformTestCase(CallPathTestCase):
    """Runs requests against a local target and through a second node."""

    def setUp(self):
        super().setUp()
        self.make_nodes()

    def make_nodes(self):
        self.near = PlatformNode('n1')
        self.far = PlatformNode('n2', zone='b')
        self.attempts = 0

    async def open(self):
        return await Caller.open(self.near.path.caller_address)

    async def call(self, path='/reads/1', method='GET', **fields):
        caller = await self.open()
        self.attempts += 1
        fields.setdefault('Attempt_Id', f'attempt-{self.attempts}')
        fields.setdefault('Deadline_Ms', 5_000)
        return await caller.call(path, method, **fields)

    def run_locally(self, test):
        """Run a test in which the near node has the only target."""

        async def with_local_target(nursery):
            self.near.directory._by_service = {'stock': (self.near.entry,)}
            await test(nursery)

        self.run_nodes(with_local_target, self.near)

    def run_forwarded(self, test):
        """Run a test in which requests are forwarded to the far node."""

        async def with_remote_target(nursery):
            self.near.announce(TargetState.LEAVING)
            self.near.directory.merge(self.near.entry)
            await test(nursery)

        self.run_nodes(with_remote_target, self.near, self.far)

    def run_with_both_paths(self, test):
        """Run a test without and with forwarding between nodes."""

        async def without_forwarding(nursery):
            await test(self.near.target)

        async def with_forwarding(nursery):
            await test(self.far.target)

        self.run_locally(without_forwarding)
        self.make_nodes()
        self.run_forwarded(with_forwarding)


class PlatformProtocolsTest(PlatformTestCase):
    def test_header_fields_of_requests_and_responses(self):
        async def test(target):
            response, body = await self.call(
                Caller_Service='forged', Expect_Instance='forged'
            )
            self.assertEqual(200, response.status)
            self.assertEqual(b'answer to attempt-1', body)
            head = target.request_headers[0]
            self.assertEqual(b'contracts', head[b'caller-service'])
            self.assertEqual(b'attempt-1', head[b'attempt-id'])
            self.assertEqual(
                target.target_id.encode(), head[b'expect-instance']
            )
            self.assertLessEqual(int(head[b'deadline-ms']), 5_000)
            self.assertIn(b'Response-Seal: 3e1b.07.5a2', response.field_lines)

        self.run_with_both_paths(test)

    def test_response_to_another_request_is_skipped(self):
        async def test(target):
            target.next_misbehaviours = [Misbehaviour.STRAY]
            response, body = await self.call()
            self.assertEqual(b'answer to attempt-1', body)

        self.run_with_both_paths(test)

    def test_surplus_response_is_not_matched_to_a_request(self):
        async def test(target):
            target.next_misbehaviours = [Misbehaviour.EXTRA]
            for number in (1, 2, 3):
                _, body = await self.call()
                self.assertEqual(b'answer to attempt-%d' % number, body)

        self.run_with_both_paths(test)

    def check_becomes_502(self, misbehaviour):
        async def test(target):
            target.next_misbehaviours = [misbehaviour]
            response, _ = await self.call('/orders/1', 'POST')
            self.assertEqual(502, response.status)
            self.assertNotIn(
                b'response-seal', b'\n'.join(response.field_lines).lower()
            )
            self.assertEqual(['attempt-1'], target.runs)
            response, _ = await self.call('/orders/2', 'POST')
            self.assertEqual(200, response.status)

        self.run_with_both_paths(test)

    def test_truncated_response_is_not_forwarded(self):
        self.check_becomes_502(Misbehaviour.TRUNCATED)

    def test_malformed_response_is_not_forwarded(self):
        self.check_becomes_502(Misbehaviour.GARBAGE)

    def test_response_that_switches_protocols_is_not_forwarded(self):
        self.check_becomes_502(Misbehaviour.SWITCHING)

    def test_response_with_content_encoding_is_rejected(self):
        self.check_becomes_502(Misbehaviour.ENCODED)

    def test_response_without_attempt_id_is_rejected(self):
        self.check_becomes_502(Misbehaviour.ANONYMOUS)

    def test_reset_after_execution_does_not_claim_not_executed(self):
        self.check_becomes_502(Misbehaviour.RESET)

    def test_503_without_not_executed_becomes_502(self):
        self.check_becomes_502(Misbehaviour.UNCERTAIN)

    def test_response_delimited_by_connection_close_is_complete(self):
        async def test(target):
            target.next_misbehaviours = [Misbehaviour.UNFRAMED]
            response, body = await self.call()
            self.assertEqual(b'answer to attempt-1', body)
            self.assertEqual(200, (await self.call())[0].status)

        self.run_with_both_paths(test)

    def test_request_shed_by_the_target_is_not_executed(self):
        async def test(target):
            target.next_misbehaviours = [Misbehaviour.SHED]
            response, _ = await self.call('/orders/1', 'POST')
            self.assertEqual(503, response.status)
            self.assertEqual([], target.runs)
            self.assertEqual(1, target.connections)
            response, _ = await self.call('/orders/2', 'POST')
            self.assertEqual(200, response.status)
            self.assertEqual(1, target.connections)

        self.run_with_both_paths(test)

    def test_misdirected_request_is_not_executed(self):
        async def test(target):
            target.target_id = 'successor'
            response, _ = await self.call('/orders/1', 'POST')
            self.assertEqual(503, response.status)
            self.assertEqual([], target.runs)

        self.run_with_both_paths(test)

    def test_shed_request_is_sent_to_another_target(self):
        async def test(nursery):
            for target in (self.near.target, self.far.target):
                target.next_misbehaviours = []
            self.near.target.next_misbehaviours = [Misbehaviour.SHED]
            response, _ = await self.call('/orders/1', 'POST')
            self.assertEqual(200, response.status)
            self.assertEqual(['attempt-1'], self.far.target.runs)

        self.run_nodes(test, self.near, self.far)

    def test_only_repeatable_requests_are_retried_after_a_lost_response(self):
        async def test(nursery):
            self.near.target.next_misbehaviours = [Misbehaviour.RESET]
            response, _ = await self.call('/reads/1')
            self.assertEqual(200, response.status)
            self.assertEqual(['attempt-1'], self.far.target.runs)
            targets = (self.near.target, self.far.target)
            for target in targets:
                target.next_misbehaviours = [Misbehaviour.RESET]
            response, _ = await self.call('/orders/1', 'POST')
            self.assertEqual(502, response.status)
            runs = [run for target in targets for run in target.runs]
            self.assertEqual(1, runs.count('attempt-2'))

        self.run_nodes(test, self.near, self.far)

    def test_error_of_a_target_is_forwarded_unchanged(self):
        async def test(target):
            target.next_misbehaviours = [Misbehaviour.ERROR]
            response, body = await self.call('/orders/1', 'POST')
            self.assertEqual((500, b'failed'), (response.status, body))
            self.assertIn(b'Response-Seal: 3e1b.07.5a2', response.field_lines)

        self.run_with_both_paths(test)

    def test_unknown_path_is_404_only_on_a_ready_node(self):
        async def test(nursery):
            self.near.holder.ready = False
            response, _ = await self.call('/unknown')
            self.assertEqual(503, response.status)
            self.assertEqual(0.4, float(response.fields[b'retry-after']))
            self.near.holder.ready = True
            response, _ = await self.call('/unknown')
            self.assertEqual(404, response.status)

        self.run_locally(test)

    def test_deadline_during_execution_does_not_claim_not_executed(self):
        async def test(target):
            target.response_event = trio.Event()
            response, _ = await self.call('/orders/1', 'POST', Deadline_Ms=200)
            self.assertEqual(504, response.status)

        self.run_with_both_paths(test)

    def test_deadline_before_sending_claims_not_executed(self):
        self.near = PlatformNode('n1', slots=1)

        async def test(nursery):
            self.near.target.response_event = trio.Event()
            first = await self.open()
            await first.send('/reads/1', Attempt_Id='a', Deadline_Ms=9_000)
            await wait_until(lambda: self.near.target.runs)
            response, _ = await self.call('/orders/1', 'POST', Deadline_Ms=80)
            self.assertEqual(503, response.status)
            self.near.target.response_event.set()
            await first.receive()
            self.assertEqual(['a'], self.near.target.runs)

        self.run_locally(test)

    def test_invalid_deadline_is_a_bad_request(self):
        async def test(nursery):
            response, _ = await self.call(Deadline_Ms='soon')
            self.assertEqual(400, response.status)

        self.run_locally(test)

    def test_refusal_has_retry_after(self):
        async def test(nursery):
            self.near.directory._by_service = {}
            response, _ = await self.call()
            self.assertEqual(503, response.status)
            self.assertEqual(0.5, float(response.fields[b'retry-after']))

        self.run_locally(test)
