"""Requests in quarantine, and what they have to do with others."""

import trio

from snipelead.callers.tests.fakes import Caller
from snipelead.callers.tests.fakes import CallPathTestCase
from snipelead.callers.tests.fakes import FakeNode
from snipelead.callers.tests.fakes import parse_error_response
from snipelead.callers.tests.fakes import wait_until
from snipelead.messages import TargetCrash
from snipelead.quarantine.ledger import Verdict
from snipelead.types import Ran

# Larger than the bodies that a node receives before the first attempt.
LARGE_BODY = b'x' * 300_000
BODY = b'drum'


def chunked(path, body, size):
    """Return a POST request whose body is sent in chunks."""
    parts = [body[n : n + size] for n in range(0, len(body), size)]
    chunks = b''.join(b'%x\r\n%b\r\n' % (len(p), p) for p in parts)
    head = b'POST %b HTTP/1.1\r\nHost: SHOP\r\n' % path.encode()
    return head + b'Transfer-Encoding: chunked\r\n\r\n' + chunks + b'0\r\n\r\n'


class QuarantineTest(CallPathTestCase):
    def setUp(self):
        super().setUp()
        self.near = FakeNode('n1')
        self.far = FakeNode('n2')

    @property
    def ledger(self):
        return self.near.path.ledger

    async def call(self, path='/orders/1', body=BODY, **fields):
        caller = await Caller.open(self.near.path.caller_address)
        return await caller.call(path, 'POST', body, **fields)

    async def crash(self, nursery, send):
        """Let the near node's target end while it runs a request."""
        target = self.near.target
        target.hold = trio.Event()
        self.near.directory._by_service = {'stock': (self.near.entry,)}
        nursery.start_soon(send)
        await wait_until(lambda: target.running)

        async def end(connection, request, body):
            target.listener.close()
            connection.abort()

        target.respond = end
        target.hold.set()
        await wait_until(lambda: self.ledger.version)

    def quarantine(self):
        """Add the evidence of two further crashes."""
        (fingerprint,) = self.ledger.records
        for number in range(2):
            crash = TargetCrash(f't{number}', number, 'n9', 1_000)
            self.ledger.record_crash(fingerprint, crash, '')
        self.assertIs(
            Verdict.QUARANTINED, self.ledger.get_verdict(fingerprint)
        )
        # Another target could run the copies.
        self.near.directory._by_service = {'stock': (self.far.entry,)}

    def check_refused(self, reply):
        response, _ = reply
        self.assertEqual(503, response.status)
        self.assertEqual(('SL3027', 'no'), parse_error_response(reply)[:2])
        self.assertEqual([], self.far.target.runs)

    def test_copy_with_another_framing_is_refused(self):
        async def test(nursery):
            await self.crash(nursery, self.call)
            self.quarantine()
            self.check_refused(await self.call(X_Other='field'))
            caller = await Caller.open(self.near.path.caller_address)
            await caller.connection.send(chunked('/orders/1', BODY, 1))
            self.check_refused(await caller.receive())

        self.run_nodes(test, self.near, self.far)

    def test_requests_that_differ_are_served(self):
        async def test(nursery):
            await self.crash(nursery, self.call)
            self.quarantine()
            for options in (
                {'body': b'other'},
                {'path': '/orders/1?x=1'},
                {'path': '/orders/2'},
                {'X_Tenant': 'another'},
            ):
                response, _ = await self.call(**options)
                self.assertEqual(200, response.status)

        self.run_nodes(test, self.near, self.far)

    def test_large_copy_is_refused_by_the_start_of_its_body(self):
        async def send():
            await self.call(body=LARGE_BODY)

        async def test(nursery):
            await self.crash(nursery, send)
            self.quarantine()
            self.check_refused(await self.call(body=LARGE_BODY))
            caller = await Caller.open(self.near.path.caller_address)
            await caller.connection.send(
                chunked('/orders/1', LARGE_BODY, 50_000)
            )
            self.check_refused(await caller.receive())

        self.run_nodes(test, self.near, self.far)

    def test_large_bodies_of_others_arrive_whole(self):
        async def test(nursery):
            await self.crash(nursery, self.call)
            self.quarantine()
            body = b'y' + LARGE_BODY
            response, answer = await self.call(body=body)
            self.assertEqual((200, body), (response.status, answer))
            self.assertEqual([body], self.far.target.bodies)

        self.run_nodes(test, self.near, self.far)

    def test_key_of_a_refused_request_is_given_back_as_not_run(self):
        async def test(nursery):
            await self.crash(nursery, self.call)
            self.quarantine()
            self.check_refused(await self.call(Idempotency_Key='k1'))
            claims = self.near.claims
            await wait_until(lambda: claims.settled)
            self.assertIs(Ran.NO, claims.settled[0].ran)

        self.run_nodes(test, self.near, self.far)

    def test_key_of_a_request_that_ended_its_target_stays_claimed(self):
        replies = []

        async def send():
            replies.append(await self.call(Idempotency_Key='k1'))

        async def test(nursery):
            await self.crash(nursery, send)
            await wait_until(lambda: replies)
            self.assertEqual(
                ('SL3028', 'unknown'), parse_error_response(replies[0])[:2]
            )
            # A settlement would say whether the request ran.
            claims = self.near.claims
            await wait_until(
                lambda: not self.near.path.claim_manager.pending_settlements
            )
            self.assertEqual([], claims.settled)
            self.assertEqual({'k1'}, set(claims.granted))

        self.run_nodes(test, self.near, self.far)

    def test_verdict_that_arrives_meanwhile_stops_a_forwarded_request(self):
        # The node beside the target knows it before the sender does.
        async def test(nursery):
            await self.crash(nursery, self.call)
            self.quarantine()
            records = tuple(self.ledger.records.values())
            self.far.path.ledger.merge(records)
            (fingerprint,) = self.ledger.records
            self.ledger.lift(fingerprint)
            self.check_refused(await self.call())

        self.run_nodes(test, self.near, self.far)
