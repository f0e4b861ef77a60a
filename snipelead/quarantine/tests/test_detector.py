from types import SimpleNamespace

from testtools import TestCase
import trio

from snipelead.callers.call import Call
from snipelead.callers.request import Request
from snipelead.http.budget import BufferAccount
from snipelead.http.budget import CallerBudget
from snipelead.http.connection import listen
from snipelead.quarantine.detector import CrashDetector
from snipelead.quarantine.fingerprint import fingerprint_request
from snipelead.quarantine.ledger import CrashLedger
from snipelead.targets.local import LocalTargets
from snipelead.types import RequestClass
from snipelead.types import TargetState

BODY_LIMIT = 1024 * 1024


def make_request(url=b'/x', body=b'', host=b'shop'):
    reader = SimpleNamespace(
        max_body_bytes=BODY_LIMIT,
        account=BufferAccount(CallerBudget(), None, None),
    )
    request = Request(reader)
    request.method, request.url = b'POST', url
    request.fields[b'host'] = host
    if body:
        request.body_chunks.append(body)
        request.buffered_bytes = len(body)
    request.mark_complete()
    return request


class DetectorTest(TestCase):
    def setUp(self):
        super().setUp()
        self.ledger = CrashLedger()
        self.local_targets = LocalTargets('n1', 'a', '127.0.0.1:1')

    def run_test(self, test):
        async def main():
            with trio.fail_after(10):
                self.detector = CrashDetector(
                    'n1', self.local_targets, self.ledger
                )
                self.listener = listen('127.0.0.1:0')
                with self.listener:
                    host, port = self.listener.getsockname()
                    self.address = f'{host}:{port}'
                    self.announce()
                    await test()

        trio.run(main)

    def announce(self):
        self.local_targets.announce(
            't', 'stock', self.address, 9, 9, TargetState.SERVING
        )

    @property
    def target(self):
        return self.local_targets.targets['t']

    def make_call(self):
        return Call(RequestClass.INTERACTIVE, 'tenant', False, 1_000)

    async def crash(self, request):
        """Run a request until the target crashes; return the crash."""
        call = self.make_call()
        with self.detector.track('t', call, request):
            target, lost_at = self.target, trio.current_time()
            return await self.detector.find_crash(target, lost_at)

    def count(self, request):
        return self.ledger.count_crashes(
            fingerprint_request(request, 'tenant')
        )

    def test_target_that_accepts_connections_has_not_crashed(self):
        async def test():
            self.assertIsNone(await self.crash(make_request()))
            self.assertEqual(0, self.ledger.version)
            self.assertIn('t', self.local_targets.targets)

        self.run_test(test)

    def test_crash_is_recorded_and_the_target_withdrawn(self):
        async def test():
            self.listener.close()
            self.assertEqual('t', (await self.crash(make_request())).target_id)
            self.assertEqual(1, self.count(make_request()))
            self.assertEqual({}, self.local_targets.targets)

        self.run_test(test)

    def test_requests_that_lose_their_connections_share_one_crash(self):
        async def test():
            self.listener.close()
            requests = [make_request(b'/%d' % n) for n in range(5)]
            target = self.target
            crashes = []

            async def lose(request):
                with self.detector.track('t', self.make_call(), request):
                    await trio.sleep(0.01)
                    lost_at = trio.current_time()
                    crashes.append(
                        await self.detector.find_crash(target, lost_at)
                    )

            async with trio.open_nursery() as nursery:
                for request in requests:
                    nursery.start_soon(lose, request)
            self.assertEqual(1, len(set(crashes)))
            self.assertEqual([1] * 5, [self.count(r) for r in requests])

        self.run_test(test)

    def test_connection_lost_later_is_explained_by_the_same_crash(self):
        # The target has been removed by then, which is no planned leave.
        async def test():
            target = self.target
            self.listener.close()
            crash = await self.crash(make_request())
            later = await self.detector.find_crash(
                target, trio.current_time(), is_leaving=True
            )
            self.assertEqual(crash, later)

        self.run_test(test)

    def test_target_that_leaves_has_not_crashed(self):
        async def test():
            target = self.target
            self.listener.close()
            self.assertIsNone(
                await self.detector.find_crash(
                    target, trio.current_time(), is_leaving=True
                )
            )
            self.assertEqual(0, self.ledger.version)

        self.run_test(test)

    def test_target_without_incarnation_crashes_again_under_the_same_id(self):
        # Later crashes were taken for the first one, and its checks skipped.
        async def test():
            self.listener.close()
            request = make_request()
            first = await self.crash(request)
            self.announce()
            second = await self.crash(request)
            self.assertNotEqual(first, second)
            self.assertEqual(2, self.count(request))
            with listen(self.address):
                self.announce()
                self.assertIsNone(await self.crash(request))

        self.run_test(test)

    def test_request_completed_before_is_not_suspected(self):
        async def test():
            request = make_request(body=b'same')
            call = self.make_call()
            with self.detector.track('t', call, request):
                self.detector.record_completion(call, request)
            self.listener.close()
            await self.crash(make_request(body=b'same'))
            self.assertEqual(0, self.count(request))
            # The next crash counts unless a copy is completed in between.
            self.announce()
            await self.crash(make_request(body=b'same'))
            self.assertEqual(1, self.count(request))

        self.run_test(test)


class FingerprintTest(TestCase):
    def fingerprint(self, tenant='tenant', **parts):
        return fingerprint_request(make_request(**parts), tenant)

    def test_parts_that_tell_requests_apart(self):
        fingerprints = {
            self.fingerprint(),
            self.fingerprint(tenant='other'),
            self.fingerprint(url=b'/x?a=1'),
            self.fingerprint(url=b'/X'),
            self.fingerprint(body=b'body'),
            self.fingerprint(host=b'market'),
        }
        self.assertEqual(6, len(fingerprints))

    def test_case_of_the_host_does_not_matter(self):
        self.assertEqual(self.fingerprint(), self.fingerprint(host=b'SHOP'))

    def test_boundaries_of_the_parts_matter(self):
        self.assertNotEqual(
            self.fingerprint(url=b'/a', body=b'b'),
            self.fingerprint(url=b'/ab', body=b''),
        )

    def test_body_sent_in_parts_has_the_same_fingerprint(self):
        request = make_request()
        request.complete = False
        request.keep_body_start()
        for part in (b'bo', b'dy'):
            request.body_chunks.append(part)
            request.buffered_bytes += len(part)
            request.take_buffered_body()
        request.mark_complete()
        self.assertEqual(
            self.fingerprint(body=b'body'),
            fingerprint_request(request, 'tenant'),
        )

    def test_start_of_a_long_body_is_kept_within_bounds(self):
        request = make_request()
        request.complete = False
        request.keep_body_start()
        for _ in range(64):
            request.body_chunks.append(b'x' * 16_384)
            request.take_buffered_body()
        self.assertEqual(64 * 1024, len(request.body_start))
