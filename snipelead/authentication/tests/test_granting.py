from math import inf

import msgspec
from testtools import TestCase
import trio

from snipelead.authentication.granter import LeaseGranter
from snipelead.authentication.granter import ROUND_INTERVAL_S
from snipelead.authentication.history import MAX_RELEASES
from snipelead.authentication.history import ReleaseHistory
from snipelead.authentication.leases import RevocationLeases
from snipelead.authentication.tests.mesh import make_release
from snipelead.controls.publisher import Publisher
from snipelead.messages import LeaseReply
from snipelead.messages import LeaseRequest
from snipelead.rpc.stream import _Frame
from snipelead.testing.simulation import run_simulated
from snipelead.testing.source import FakeSource

MAX_MESSAGE_BYTES = 36
# 90 nodes that renew 0.8 s after they asked, at three controls.
NODES = 30
RENEWAL_INTERVAL_S = 0.8


class GranterTest(TestCase):
    def run_granter(self, test):
        async def main():
            source = FakeSource()
            source.publish(make_release(7))
            publisher = Publisher(None, source, None, None)
            granter = LeaseGranter(publisher)
            async with trio.open_nursery() as nursery:
                await nursery.start(publisher.certification.run)
                await nursery.start(granter.certification.run)
                await test(nursery, source, granter)
                nursery.cancel_scope.cancel()

        run_simulated(main)

    def test_requests_share_rounds(self):
        """Guards against a certification for each node."""

        async def test(nursery, source, granter):
            async def renew(index):
                await trio.sleep(index * RENEWAL_INTERVAL_S / NODES)
                for _ in range(10):
                    reply = await granter.grant(LeaseRequest())
                    self.assertEqual(7, reply.release)
                    await trio.sleep(RENEWAL_INTERVAL_S)

            started_at = trio.current_time()
            async with trio.open_nursery() as renewals:
                for index in range(NODES):
                    renewals.start_soon(renew, index)
            elapsed_s = trio.current_time() - started_at
            self.assertLess(
                source.certify_count, elapsed_s / ROUND_INTERVAL_S + 2
            )

        self.run_granter(test)

    def test_round_that_is_running_answers_no_later_request(self):
        """It may have asked the voters before the last acknowledgement."""

        async def test(nursery, source, granter):
            source.certify_time_s = 0.5
            nursery.start_soon(granter.grant, LeaseRequest())
            await trio.sleep(0.2)
            self.assertEqual(1, source.certify_count)
            await granter.grant(LeaseRequest())
            self.assertEqual(2, source.certify_count)

        self.run_granter(test)

    def test_release_that_is_not_certified_is_not_granted(self):
        """Without a majority, or offered by a node and not accepted."""

        async def test(nursery, source, granter):
            source.certification_succeeds = False
            reply = await granter.grant(LeaseRequest())
            self.assertIsNone(reply.release)
            source.certification_succeeds = True
            granter.publisher.offered = make_release(9)
            reply = await granter.grant(LeaseRequest())
            self.assertIsNone(reply.release)

        self.run_granter(test)

    def test_messages_are_small(self):
        for message in (LeaseRequest(), LeaseReply(2**40)):
            payload = msgspec.msgpack.encode(message)
            frame = _Frame(10_000, type(message).__name__, payload)
            size = len(msgspec.msgpack.encode(frame))
            self.assertLess(size, MAX_MESSAGE_BYTES)


class LeasesTest(TestCase):
    def test_older_lease_stays_until_its_end(self):
        """A newer release may be certified before the node receives it."""
        for order in ((4, 5), (5, 4)):
            leases = RevocationLeases(5_000)
            for number in order:
                leases.record(number, 96.0 + number)
            ends = [leases.find_end(number) for number in (3, 4, 5, 6)]
            self.assertEqual([-inf, 104.8, 105.8, 105.8], ends)

    def test_only_leases_that_matter_are_kept(self):
        leases = RevocationLeases(5_000)
        for number in range(1_000):
            leases.record(number, number / 10)
        self.assertLess(len(leases.ends), 60)


class HistoryTest(TestCase):
    def test_removal_counts_for_its_customer_only(self):
        history = ReleaseHistory(make_release(1, 'a', 'b'))
        history.observe(make_release(2, 'a', 'b', 'c'))
        self.assertTrue(history.is_current('acme', 1))
        history.observe(make_release(3, 'b', 'c'))
        self.assertFalse(history.is_current('acme', 2))
        self.assertTrue(history.is_current('other', 2))
        self.assertTrue(history.is_current('acme', 3))
        self.assertTrue(history.is_current('acme', 4))

    def test_skipped_release_is_not_trusted(self):
        """Keys may have been added in it and removed by the next one."""
        history = ReleaseHistory(make_release(1, 'a'))
        history.observe(make_release(5, 'a'))
        self.assertTrue(history.is_current('acme', 1))
        self.assertFalse(history.is_current('acme', 3))

    def test_memory_is_bounded(self):
        history = ReleaseHistory(make_release(1, 'k-1'))
        for number in range(2, 1_000):
            history.observe(make_release(number, f'k-{number}'))
        self.assertEqual(MAX_RELEASES, len(history.seen))
        self.assertFalse(history.is_current('acme', 500))
