from contextlib import suppress
from types import SimpleNamespace

from testtools import TestCase
import trio
from trio.testing import MockClock
from trio.testing import wait_all_tasks_blocked

from snipelead.callers.call import Call
from snipelead.callers.exceptions import RateLimitedError
from snipelead.callers.request import Request
from snipelead.nodes.attempts import AttemptTable
from snipelead.nodes.target_limiter import TargetLimiter
from snipelead.settings.schema import NodeLimits
from snipelead.targets.local import LocalTargets
from snipelead.targets.status import TargetStatus
from snipelead.targets.status import TargetStatuses
from snipelead.types import RequestClass
from snipelead.types import TargetState

# Time on the clock of the tests, in seconds.
STARTED_AT_S = 10_000.0
DEADLINE_MS = 10_000


class FakeSender:
    """Sender whose requests are answered at once."""

    async def acquire(self, address):
        return None

    async def send_request(self, reader, call, request, target_id):
        return SimpleNamespace(is_server_error=False)

    def release(self, address, reader, response):
        pass


class LimitedQueueTest(TestCase):
    """Guards against requests that wait until their deadline in vain.

    A request that was overtaken in the queue of a target with a rate limit
    was late by then, so that all newer ones went before it, too.
    """

    def test_overtaken_request_is_refused_at_once(self):
        async def main():
            clock.jump(STARTED_AT_S)
            local_targets = LocalTargets('n', 'a', '127.0.0.1:1')
            local_targets.announce(
                't', 'stock', '127.0.0.1:2', 9, 9, TargetState.SERVING
            )
            statuses = TargetStatuses()
            statuses.record('t', 0, TargetStatus(2.0), STARTED_AT_S)
            limiter = TargetLimiter(
                't',
                local_targets,
                FakeSender(),
                AttemptTable(retention_ticks=1),
                NodeLimits(),
                statuses=statuses,
            )
            # Both of the next two requests find that a token is due soon.
            limiter.status.apply_rate_limit(STARTED_AT_S)
            clock.jump(0.4)
            started_at = trio.current_time()
            ended_after_s = {}

            async def admit(name, latency_ms):
                call = Call(RequestClass.INTERACTIVE, '', False, DEADLINE_MS)
                call.set_latency_deadline(latency_ms)
                with suppress(RateLimitedError):
                    await limiter.admit(call)
                ended_after_s[name] = trio.current_time() - started_at

            async with trio.open_nursery() as nursery:
                nursery.start_soon(admit, 'overtaken', 601)
                await wait_all_tasks_blocked()
                nursery.start_soon(admit, 'overtaking', 600)
                await wait_all_tasks_blocked()
                for _ in range(4):
                    clock.jump(0.05)
                    limiter.tick(trio.current_time())
                    await wait_all_tasks_blocked()
                nursery.cancel_scope.cancel()
            return ended_after_s

        clock = MockClock()
        ended_after_s = trio.run(main, clock=clock)
        self.assertAlmostEqual(0.05, ended_after_s['overtaken'])
        self.assertAlmostEqual(0.1, ended_after_s['overtaking'])


class LimiterAccountingTest(TestCase):
    """Guards against wrong counts for requests that waited for a slot.

    One fault counts a request as in flight before its start time is known;
    the other takes and returns a slot under different request classes.
    """

    def run_limiter(self, test):
        """Run a test with a limiter of one slot."""

        async def main():
            clock.jump(STARTED_AT_S)
            self.local_targets = LocalTargets('n', 'a', '127.0.0.1:1')
            self.local_targets.announce(
                't', 'stock', '127.0.0.1:2', 1, 1, TargetState.SERVING
            )
            self.limiter = TargetLimiter(
                't',
                self.local_targets,
                FakeSender(),
                AttemptTable(retention_ticks=1),
                NodeLimits(),
            )
            await test()

        clock = MockClock()
        trio.run(main, clock=clock)

    def make_call(self, request_class=RequestClass.INTERACTIVE):
        return Call(request_class, '', False, DEADLINE_MS)

    async def send(self, call):
        request = Request(SimpleNamespace(max_body_bytes=0))
        request.mark_complete()
        return await self.limiter.send(
            call, request, 'attempt', self.local_targets.incarnation
        )

    async def send_and_close(self, call):
        (await self.send(call)).close()

    def test_granted_request_does_not_distort_the_estimate(self):
        async def test():
            first = await self.send(self.make_call())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.send_and_close, self.make_call())
                await wait_all_tasks_blocked()
                first.close()
                self.estimate_s = self.limiter.estimate_service_s()

        self.run_limiter(test)
        self.assertLess(self.estimate_s, 1.0)

    def test_batch_request_with_latency_objective_returns_its_slot(self):
        async def test():
            first = await self.send(self.make_call())
            call = self.make_call(RequestClass.BATCH)
            call.set_latency_deadline(DEADLINE_MS)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.send_and_close, call)
                await wait_all_tasks_blocked()
                self.assertEqual(1, len(self.limiter.latency_queue))
                first.close()

        self.run_limiter(test)
        self.assertEqual(0, self.limiter.in_flight)
        self.assertEqual(0, self.limiter.batch_in_flight)
