"""What a release lacks is reported only if no newer release may have it."""

from msgspec.structs import replace
import trio

from snipelead.authentication.authenticator import Authenticator
from snipelead.authentication.tests.mesh import KEY
from snipelead.authentication.tests.mesh import make_release
from snipelead.callers.tests.fakes import Caller
from snipelead.callers.tests.fakes import CallPathTestCase
from snipelead.callers.tests.fakes import FakeNode
from snipelead.callers.tests.fakes import parse_error_response
from snipelead.callers.tests.fakes import RELEASE
from snipelead.callers.tests.fakes import wait_until
from snipelead.releases.document import EMPTY_RELEASE
from snipelead.releases.document import Route

PROOF_S = 0.05
STALE = (503, 'SL3034', 'no')


def make_customers(number, *keys):
    return replace(make_release(number, *keys), routes=RELEASE.routes)


class FakeProof:
    """Proof whose outcome is set by the test.

    Attributes
    ----------
    newest : Release or None
        Release that the node holds after a proof; None if there is no proof.
    count : int
        Number of proofs that were asked for.
    hold : trio.Event or None
        Proofs take until it is set.
    limits_s : list of float
        Time that was left for each proof.
    """

    def __init__(self, holder):
        self.holder = holder
        self.newest = None
        self.count = 0
        self.hold = None
        self.limits_s = []

    async def obtain(self, limit_s):
        self.count += 1
        self.limits_s.append(limit_s)
        await trio.sleep(PROOF_S)
        if self.hold is not None:
            await self.hold.wait()
        if self.newest is None:
            return False
        self.holder.replace(self.newest)
        return True


class AbsenceTest(CallPathTestCase):
    def run_node(self, test, release=RELEASE):
        self.node = FakeNode('n1')
        holder = self.node.holder
        holder.current = release
        self.node.path.authenticator = Authenticator(holder)
        self.proof = self.node.path.proof = FakeProof(holder)
        self.runs = self.node.target.runs
        self.run_nodes(lambda nursery: test(), self.node)

    async def call(self, path='/reads/1', **fields):
        caller = await Caller.open(self.node.path.caller_address)
        reply = await caller.call(path, **fields)
        if reply[0].status == 200:
            return 200
        return (reply[0].status, *parse_error_response(reply)[:2])

    def test_key_without_customers_is_refused_if_the_node_may_be_behind(self):
        """Guards against a request that runs without its customer."""

        async def test():
            self.assertEqual(STALE, await self.call(X_Api_Key=KEY))
            self.assertEqual([], self.runs)

        self.run_node(test)

    def test_key_is_authenticated_by_the_newest_release(self):
        async def test():
            self.proof.newest = make_customers(2, KEY)
            self.assertEqual(200, await self.call(X_Api_Key=KEY))
            self.assertEqual('acme', self.node.metrics_tenants[-1])

        self.run_observed(test)

    def run_observed(self, test):
        """Run a test that looks at the customer of the requests."""

        async def observed():
            tenants = self.node.metrics_tenants = []
            observe = self.node.metrics.observe_call
            self.node.metrics.observe_call = lambda call: (
                tenants.append(call.tenant),
                observe(call),
            )
            await test()

        self.run_node(observed)

    def test_key_that_the_newest_release_lacks_is_unknown(self):
        async def test():
            self.proof.newest = make_customers(2, 'k-other')
            expected = (401, 'SL3031', 'no')
            self.assertEqual(expected, await self.call(X_Api_Key=KEY))
            self.assertEqual([], self.runs)
            refusals = self.node.path.authenticator.refusals
            self.assertEqual({'SL3031': 1}, dict(refusals))

        self.run_node(test)

    def test_key_is_dropped_if_there_are_no_customers(self):
        """Guards against refusals in deployments without customers."""

        async def test():
            self.proof.newest = RELEASE
            self.assertEqual(200, await self.call(X_Api_Key=KEY))

        self.run_node(test)

    def test_requests_without_a_key_need_no_proof(self):
        """Guards against refusals at nodes that are cut off."""

        async def test():
            self.assertEqual(200, await self.call())
            self.assertEqual(200, await self.call(X_Tenant='any'))
            self.assertEqual(0, self.proof.count)

        self.run_node(test)

    def test_public_route_needs_no_proof(self):
        async def test():
            self.assertEqual(200, await self.call(X_Api_Key=KEY))
            self.assertEqual(0, self.proof.count)

        routes = {
            name: replace(route, public=True)
            for name, route in RELEASE.routes.items()
        }
        self.run_node(test, replace(make_customers(1, 'k'), routes=routes))

    def test_refusals_of_keys_are_proved(self):
        async def test():
            self.assertEqual(STALE, await self.call(X_Api_Key=KEY))
            self.assertEqual(STALE, await self.call())
            self.proof.newest = make_customers(2, KEY)
            self.assertEqual(200, await self.call(X_Api_Key=KEY))

        self.run_node(test, make_customers(1, 'k-other'))

    def test_missing_route_is_proved(self):
        """Guards against 404 from a node that is behind."""

        async def test():
            self.assertEqual(STALE, await self.call('/added/1'))
            added = Route('added', 'stock', '/added', deadline_ms=10_000)
            routes = RELEASE.routes | {'added': added}
            self.proof.newest = replace(RELEASE, number=2, routes=routes)
            self.assertEqual(200, await self.call('/added/1'))
            expected = (404, 'SL3003', 'no')
            self.assertEqual(expected, await self.call('/nothing'))

        self.run_node(test)

    def test_time_of_the_proof_counts_towards_the_deadline(self):
        """Guards against targets that are given more time than is left."""
        deadlines_ms = []

        async def respond(connection, request, body):
            deadlines_ms.append(int(request.fields[b'x-deadline-ms']))
            await self.node.target.echo(connection, request, body)

        async def test():
            self.node.target.respond = respond
            self.proof.newest = make_customers(2, KEY)
            expected = await self.call(X_Api_Key=KEY, X_Deadline_Ms=5_000)
            self.assertEqual(200, expected)
            self.assertEqual([5.0], self.proof.limits_s)
            self.assertLessEqual(deadlines_ms[0], 5_000 - PROOF_S * 1_000)

        self.run_node(test)

    def test_time_of_the_proof_counts_towards_the_latency_objective(self):
        remaining_s = []

        async def test():
            run = self.node.path.attempts.run

            async def record(connection, request, call, route):
                remaining_s.append(call.latency_remaining_s())
                await run(connection, request, call, route)

            self.node.path.attempts.run = record
            routes = {
                name: replace(route, target_latency_ms=800)
                for name, route in RELEASE.routes.items()
            }
            self.proof.newest = replace(make_customers(2, KEY), routes=routes)
            self.assertEqual(200, await self.call(X_Api_Key=KEY))
            self.assertLessEqual(remaining_s[0], 0.8 - PROOF_S)

        self.run_node(test)

    def test_request_whose_deadline_passes_during_the_proof_is_not_run(self):
        async def test():
            self.proof.newest = make_customers(2, KEY)
            status, *_ = await self.call(X_Api_Key=KEY, X_Deadline_Ms=10)
            self.assertEqual(504, status)
            self.assertEqual([], self.runs)

        self.run_node(test)

    def test_request_of_a_caller_that_left_during_the_proof_is_not_run(self):
        async def test():
            self.proof.newest = make_customers(2, KEY)
            self.proof.hold = trio.Event()
            caller = await Caller.open(self.node.path.caller_address)
            await caller.send('/reads/1', X_Api_Key=KEY)
            await wait_until(lambda: self.proof.count)
            caller.connection.close()
            await trio.sleep(0.05)
            self.proof.hold.set()
            await wait_until(lambda: not self.node.path.in_flight)
            self.assertEqual([], self.runs)

        self.run_node(test)

    def test_request_that_waits_when_the_node_stops_is_answered(self):
        """Guards against a request that is read and never answered."""

        async def test():
            self.proof.newest = make_customers(2, KEY)
            self.proof.hold = trio.Event()
            caller = await Caller.open(self.node.path.caller_address)
            await caller.send('/reads/1', X_Api_Key=KEY)
            await wait_until(lambda: self.proof.count)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.node.path.drain)
                await trio.sleep(0.05)
                self.proof.hold.set()
                reply = await caller.receive()
            self.assertEqual(200, reply[0].status)

        self.run_node(test)

    def test_node_without_a_release_is_not_ready(self):
        async def test():
            expected = (503, 'SL3004', 'no')
            self.assertEqual(expected, await self.call())
            self.assertEqual(expected, await self.call(X_Api_Key=KEY))

        self.run_node(test, EMPTY_RELEASE)
