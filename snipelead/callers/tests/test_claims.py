from snipelead.callers.exceptions import DEFAULT_RETRY_AFTER_MS
from snipelead.callers.tests.fakes import Caller
from snipelead.callers.tests.fakes import CallPathTestCase
from snipelead.callers.tests.fakes import FakeNode
from snipelead.callers.tests.fakes import parse_error_response
from snipelead.callers.tests.fakes import until
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

    def settled(self):
        return [(s.ran, s.status) for s in self.node.claims.settled]

    def test_granted_claim_is_settled_with_its_status(self):
        async def test(nursery):
            response, body = await self.call()
            self.assertEqual((200, b'drum'), (response.status, body))
            await until(self.settled)
            self.assertEqual([(Ran.YES, 200)], self.settled())

        self.run_nodes(test, self.node)

    def test_resend_is_not_run_again(self):
        async def test(nursery):
            await self.call()
            answer = await self.call()
            self.assertEqual(409, answer[0].status)
            self.assertEqual('SL3014', parse_error_response(answer)[0])
            self.assertIn(b'x-retry-after-ms', answer[0].fields)
            self.assertEqual(['/orders/1'], self.node.target.runs)

        self.run_nodes(test, self.node)

    def test_key_of_another_request_is_refused(self):
        async def test(nursery):
            await self.call()
            answer = await self.call(body=b'tanker')
            self.assertEqual(422, answer[0].status)
            self.assertEqual(
                ('SL3015', 'no'), parse_error_response(answer)[:2]
            )

        self.run_nodes(test, self.node)

    def test_claim_that_cannot_be_made_refuses_the_call(self):
        async def test(nursery):
            for error in (
                NoQuorumError('cut off'),
                NoControlError('none'),
                ClaimsFullError('full', 5_000),
                VoterBusyError('busy', 200),
            ):
                self.node.claims.error = error
                answer = await self.call()
                self.assertEqual(503, answer[0].status)
                code, ran, error_body = parse_error_response(answer)
                self.assertEqual(('SL3016', 'no'), (code, ran))
                self.assertEqual(error.code, error_body['details']['cause'])
                self.assertEqual(
                    b'%d' % (error.retry_after_ms or DEFAULT_RETRY_AFTER_MS),
                    answer[0].fields[b'x-retry-after-ms'],
                )
            self.assertEqual([], self.node.target.runs)
            self.assertEqual([], self.settled())

        self.run_nodes(test, self.node)

    def test_unknown_claim_refuses_the_call_and_is_given_back(self):
        async def test(nursery):
            for error in (
                OutcomeUnknownError('lost'),
                RpcTimeoutError('late'),
            ):
                self.node.claims.error = error
                answer = await self.call()
                code, ran, error_body = parse_error_response(answer)
                self.assertEqual(('SL3017', 'no'), (code, ran))
                self.assertEqual('unknown', error_body['details']['key_state'])
            self.assertEqual([], self.node.target.runs)
            await until(lambda: len(self.settled()) == 2)
            self.assertEqual([(Ran.NO, 0)] * 2, self.settled())

        self.run_nodes(test, self.node)

    def test_claim_of_a_request_that_did_not_run_is_given_back(self):
        async def test(nursery):
            self.node.announce(TargetState.LEAVING)
            answer = await self.call()
            self.assertEqual('no', parse_error_response(answer)[1])
            await until(self.settled)
            self.assertEqual([(Ran.NO, 0)], self.settled())

        self.run_nodes(test, self.node)

    def test_claim_of_a_request_that_may_have_run_is_kept(self):
        async def close_connection(connection, request, body):
            connection.close()

        async def test(nursery):
            self.node.target.respond = close_connection
            answer = await self.call()
            self.assertEqual('unknown', parse_error_response(answer)[1])
            self.assertEqual([], self.settled())

        self.run_nodes(test, self.node)

    def test_repeatable_requests_need_no_claim(self):
        async def test(nursery):
            self.node.claims.error = NoQuorumError('cut off')
            response, _ = await self.call('/reads/1')
            self.assertEqual(200, response.status)

        self.run_nodes(test, self.node)

    def test_bad_key_is_refused(self):
        async def test(nursery):
            answer = await self.call(key='x' * 201)
            self.assertEqual(
                ('SL3001', 'no'), parse_error_response(answer)[:2]
            )

        self.run_nodes(test, self.node)
