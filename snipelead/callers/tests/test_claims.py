from snipelead.callers.exceptions import DEFAULT_RETRY_AFTER_MS
from snipelead.callers.tests.fakes import Caller
from snipelead.callers.tests.fakes import CallPathTestCase
from snipelead.callers.tests.fakes import FakeNode
from snipelead.callers.tests.fakes import parse_error_response
from snipelead.callers.tests.fakes import wait_until
from snipelead.controls.exceptions import NoControlError
from snipelead.controls.exceptions import NoQuorumError
from snipelead.controls.exceptions import OutcomeUnknownError
from snipelead.rpc.exceptions import RpcTimeoutError
from snipelead.types import Ran
from snipelead.types import TargetState
from snipelead.voters.exceptions import ClaimsFullError
from snipelead.voters.exceptions import VoterBusyError


class ClaimsTest(CallPathTestCase):
    def setUp(self):
        super().setUp()
        self.node = FakeNode('n1')

    async def call(self, path='/orders/1', body=b'drum', key='k1'):
        caller = await Caller.open(self.node.path.caller_address)
        return await caller.call(path, 'POST', body, Idempotency_Key=key)

    def settlements(self):
        return [
            (settlement.ran, settlement.status)
            for settlement in self.node.claims.settled
        ]

    def test_granted_claim_is_settled_with_its_status(self):
        async def test(nursery):
            response, body = await self.call()
            self.assertEqual((200, b'drum'), (response.status, body))
            await wait_until(self.settlements)
            self.assertEqual([(Ran.YES, 200)], self.settlements())

        self.run_nodes(test, self.node)

    def test_repeated_request_is_not_executed_again(self):
        async def test(nursery):
            await self.call()
            reply = await self.call()
            self.assertEqual(409, reply[0].status)
            self.assertEqual('SL3014', parse_error_response(reply)[0])
            self.assertIn(b'x-retry-after-ms', reply[0].fields)
            self.assertEqual(['/orders/1'], self.node.target.runs)

        self.run_nodes(test, self.node)

    def test_key_of_different_request_is_rejected(self):
        async def test(nursery):
            await self.call()
            reply = await self.call(body=b'tanker')
            self.assertEqual(422, reply[0].status)
            self.assertEqual(('SL3015', 'no'), parse_error_response(reply)[:2])

        self.run_nodes(test, self.node)

    def test_unavailable_claim_rejects_the_request(self):
        async def test(nursery):
            for error in (
                NoQuorumError('cut off'),
                NoControlError('none'),
                ClaimsFullError('full', 5_000),
                VoterBusyError('busy', 200),
            ):
                self.node.claims.error = error
                reply = await self.call()
                self.assertEqual(503, reply[0].status)
                code, ran, error_body = parse_error_response(reply)
                self.assertEqual(('SL3016', 'no'), (code, ran))
                self.assertEqual(error.code, error_body['details']['cause'])
                self.assertEqual(
                    b'%d' % (error.retry_after_ms or DEFAULT_RETRY_AFTER_MS),
                    reply[0].fields[b'x-retry-after-ms'],
                )
            self.assertEqual([], self.node.target.runs)
            self.assertEqual([], self.settlements())

        self.run_nodes(test, self.node)

    def test_unknown_claim_rejects_the_request_and_releases_the_key(self):
        async def test(nursery):
            for error in (
                OutcomeUnknownError('lost'),
                RpcTimeoutError('late'),
            ):
                self.node.claims.error = error
                reply = await self.call()
                code, ran, error_body = parse_error_response(reply)
                self.assertEqual(('SL3017', 'no'), (code, ran))
                self.assertEqual('unknown', error_body['details']['key_state'])
            self.assertEqual([], self.node.target.runs)
            await wait_until(lambda: len(self.settlements()) == 2)
            self.assertEqual([(Ran.NO, 0)] * 2, self.settlements())

        self.run_nodes(test, self.node)

    def test_claim_of_unexecuted_request_is_released(self):
        async def test(nursery):
            self.node.announce(TargetState.LEAVING)
            reply = await self.call()
            self.assertEqual('no', parse_error_response(reply)[1])
            await wait_until(self.settlements)
            self.assertEqual([(Ran.NO, 0)], self.settlements())

        self.run_nodes(test, self.node)

    def test_claim_of_possibly_executed_request_is_kept(self):
        async def close_connection(connection, request, body):
            connection.close()

        async def test(nursery):
            self.node.target.respond = close_connection
            reply = await self.call()
            self.assertEqual('unknown', parse_error_response(reply)[1])
            self.assertEqual([], self.settlements())

        self.run_nodes(test, self.node)

    def test_repeatable_requests_need_no_claim(self):
        async def test(nursery):
            self.node.claims.error = NoQuorumError('cut off')
            response, _ = await self.call('/reads/1')
            self.assertEqual(200, response.status)

        self.run_nodes(test, self.node)

    def test_overlong_key_is_rejected(self):
        async def test(nursery):
            reply = await self.call(key='x' * 201)
            self.assertEqual(('SL3001', 'no'), parse_error_response(reply)[:2])

        self.run_nodes(test, self.node)
