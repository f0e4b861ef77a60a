"""Tests of early refusals, with a replay of the burst that they answer."""

from math import inf

from testtools import TestCase
import trio
from trio.testing import MockClock

from snipelead.admission.acceptance import AcceptanceEstimator
from snipelead.admission.early_refusal import EarlyRefusal
from snipelead.admission.exceptions import NoCapacityError
from snipelead.admission.retry_after import choose_spread_retry_s
from snipelead.admission.retry_after import MIN_DELAY_S
from snipelead.admission.retry_after import MIN_LATE_DELAY_S
from snipelead.admission.tests.replay import Burst
from snipelead.admission.tests.replay import LAGOS
from snipelead.admission.tests.replay import Replay
from snipelead.callers.call import Call
from snipelead.callers.exceptions import OverloadedError
from snipelead.messages import TargetEntry
from snipelead.nodes.directory import TargetDirectory
from snipelead.nodes.peer_messages import Load
from snipelead.routing.balancer import Balancer
from snipelead.types import RequestClass
from snipelead.types import TargetState

STARTED_AT_S = 1_000.0
# At least every second hop has to lead to an answer.
MAX_HOPS_PER_SERVED = 2.0


class BurstTest(TestCase):
    """Guards against bursts in which most hops end in a refusal."""

    def replay(self, early):
        async def main():
            return [Replay(early=early, seed=seed).run() for seed in (1, 2)]

        return trio.run(main)

    def total(self, replays, outcome):
        return sum(replay.total(outcome) for replay in replays)

    def test_fewer_hops_serve_as_many_requests(self):
        before, after = self.replay(early=False), self.replay(early=True)
        for replays, is_cheap in ((before, False), (after, True)):
            hops_per_served = self.total(replays, 'hops') / self.total(
                replays, 'served'
            )
            self.assertEqual(is_cheap, hops_per_served < MAX_HOPS_PER_SERVED)
        self.assertGreater(
            self.total(after, 'served'), 0.97 * self.total(before, 'served')
        )

    def test_service_is_used_again_when_the_burst_ends(self):
        """Guards against knowledge that refuses for long."""

        async def main():
            replay = Replay(LAGOS, Burst(1.0, 5.0, 9.0))
            replay.tallied = Burst(5.5, 9.0)
            return replay.run()

        replay = trio.run(main)
        # All are served at this load without overload but for 2 in 100.
        self.assertGreater(replay.overall_share(), 0.95)


class AcceptanceTest(TestCase):
    def send(self, estimator, now, accepted):
        """Offer 10 attempts a second for 5 s; return the shares withheld."""
        shares = []
        for _ in range(50):
            now += 0.1
            shares.append(estimator.refusal_share(now))
            # Every n-th attempt is withheld in proportion to the share.
            if shares[-1] > (len(shares) * 0.618) % 1:
                estimator.record_withheld(now)
                continue
            estimator.record_sent(now)
            if not accepted:
                estimator.record_refused(now)
        return shares

    def test_free_service_is_never_refused(self):
        shares = self.send(AcceptanceEstimator(), 0.0, accepted=True)
        self.assertEqual(0.0, max(shares))

    def test_full_service_is_still_probed_and_recovers(self):
        """Stale knowledge must not refuse for long."""
        estimator = AcceptanceEstimator()
        full = self.send(estimator, 0.0, accepted=False)
        self.assertGreater(full[-1], 0.7)
        self.assertLess(full[-1], 0.95)
        free = self.send(estimator, 5.0, accepted=True)
        self.assertEqual(0.0, free[30])

    def test_silence_ends_refusals(self):
        estimator = AcceptanceEstimator()
        self.send(estimator, 0.0, accepted=False)
        self.assertEqual(0.0, estimator.refusal_share(10.0))


class RetryAfterTest(TestCase):
    def test_delays_cover_the_time_that_is_of_use(self):
        delays = [
            choose_spread_retry_s(0.05, 0.2, 1.5, n / 10) for n in range(11)
        ]
        self.assertAlmostEqual(0.05, delays[0])
        self.assertAlmostEqual(0.2, delays[-1])
        self.assertEqual(sorted(set(delays)), delays)

    def test_delays_are_within_a_third_of_the_time_left(self):
        """Callers ignore longer ones."""
        for share in (0.0, 0.5, 1.0):
            delay_s = choose_spread_retry_s(0.0, 0.9, 1.5, share)
            self.assertGreaterEqual(delay_s, MIN_DELAY_S)
            self.assertLessEqual(delay_s, 0.5)

    def test_late_callers_come_back_after_others(self):
        for share in (0.0, 0.5, 1.0):
            self.assertGreaterEqual(
                choose_spread_retry_s(0.0, -1.0, 0.2, share),
                MIN_LATE_DELAY_S,
            )

    def test_delay_is_never_before_capacity_is_expected(self):
        for slack_s in (-inf, 0.1, 5.0):
            self.assertGreaterEqual(
                choose_spread_retry_s(0.8, slack_s, 1.5, 0.0), 0.8
            )


class EarlyRefusalTest(TestCase):
    """Tests of what is known of each target, with two targets."""

    def run_test(self, test):
        async def main():
            clock.jump(STARTED_AT_S)
            directory = TargetDirectory()
            for name in ('t1', 't2'):
                directory.merge(
                    TargetEntry(
                        name,
                        f'n-{name}',
                        'a',
                        's',
                        '127.0.0.1:1',
                        1,
                        1,
                        TargetState.SERVING,
                        6,
                    )
                )
            self.balancer = Balancer('a', directory, 0.1, seed=1)
            self.early_refusal = EarlyRefusal(self.balancer)
            test()

        clock = MockClock()
        self.clock = clock
        trio.run(main, clock=clock)

    def make_call(self, latency_ms=500):
        call = Call(RequestClass.INTERACTIVE, '', False, 1_500)
        call.route = 'r'
        call.set_latency_deadline(latency_ms)
        return call

    def refuse_all(self, times=1):
        """Let all targets refuse requests with their loads."""
        call = self.make_call()
        error = OverloadedError('full', retry_after_ms=200)
        error.load = Load(6, 3, 6)
        for _ in range(times):
            for observation in self.balancer.get_observations('s'):
                self.balancer.record_error(observation, error)
                self.early_refusal.record_error(call, observation, error)

    def offer(self, call=None, tried=()):
        call = call or self.make_call()
        observation = self.balancer.choose('s', tried)
        try:
            self.early_refusal.check(call, observation, tried)
        except NoCapacityError as error:
            return error
        return None

    def offer_refused(self, count):
        for _ in range(count):
            if self.offer() is None:
                self.refuse_all()

    def test_full_targets_get_one_probe_only(self):
        def test():
            self.offer_refused(8)
            refusals = [self.offer() for _ in range(5)]
            self.assertNotIn(None, refusals)
            self.clock.jump(0.12)
            self.refuse_all()
            self.assertIsNone(self.offer())
            self.assertIsNotNone(self.offer())

        self.run_test(test)

    def test_refused_request_makes_no_second_hop_to_full_targets(self):
        def test():
            self.refuse_all()
            self.assertIsNotNone(self.offer(tried={'t1'}))

        self.run_test(test)

    def test_reported_free_slot_is_used_at_once(self):
        def test():
            self.offer_refused(8)
            for observation in self.balancer.get_observations('s'):
                observation.record_load(Load(2, 0, 6), trio.current_time())
            self.assertIsNone(self.offer())

        self.run_test(test)

    def test_refusal_is_learned_from_and_states_a_retry_delay(self):
        def test():
            self.offer_refused(8)
            observation = self.balancer.get_observations('s')[0]
            self.assertEqual(9, observation.reported_load)
            error = self.offer()
            self.assertGreater(error.retry_after_ms, 20)
            self.assertLessEqual(error.retry_after_ms, 500)

        self.run_test(test)

    def test_route_without_latency_objective_is_not_refused(self):
        def test():
            self.offer_refused(8)
            call = Call(RequestClass.INTERACTIVE, '', False, 1_500)
            call.route = 'r'
            self.assertIsNone(self.offer(call))

        self.run_test(test)
