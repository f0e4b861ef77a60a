"""Replays of a rollout of Lagos' ``orderdesk`` at its load, per seed."""

from collections import Counter
from statistics import mean

from testtools import TestCase

from snipelead.messages import RolloutPhase
from snipelead.rollouts.evidence import Comparison
from snipelead.rollouts.evidence import TIME_COUNT
from snipelead.rollouts.evidence import time_index
from snipelead.rollouts.plan import choose_load_share
from snipelead.rollouts.plan import required_responses
from snipelead.rollouts.tests.fleet import DURATION_MS
from snipelead.rollouts.tests.fleet import good
from snipelead.rollouts.tests.fleet import GUARANTEES
from snipelead.rollouts.tests.fleet import make_bad
from snipelead.rollouts.tests.fleet import make_fleet
from snipelead.rollouts.tests.fleet import make_small_fleet

ROLLBACK_S = GUARANTEES.rollback_ms / 1_000


class DecisionTest(TestCase):
    def assert_bounded(self, fleet):
        bound = GUARANTEES.exposure_share * fleet.total
        self.assertLessEqual(
            len(fleet.sent_at), bound + GUARANTEES.exposure_extra
        )
        self.assertLessEqual(
            sum(s.count_sent()['s'] for s in fleet.selectors),
            fleet.rollout.reserved,
        )
        bad_at = sorted(fleet.bad_at)
        if len(bad_at) >= 50:
            self.assertLess(max(fleet.sent_at), bad_at[49] + ROLLBACK_S)

    def assert_rolled_back(self, respond, seed, make=make_fleet, **options):
        fleet = make(seed, respond)
        fleet.run(**options)
        self.assertIs(RolloutPhase.ROLLED_BACK, fleet.rollout.phase)
        self.assert_bounded(fleet)
        return fleet

    def test_good_version_completes_in_time(self):
        for seed in range(4):
            fleet = make_fleet(seed, good)
            fleet.run()
            self.assertIs(RolloutPhase.COMPLETED, fleet.rollout.phase)
            self.assertLess(fleet.ended_at, DURATION_MS / 1_000 - 0.5)
            # Targets of the old version stop at once.
            self.assertEqual(0, fleet.late_old)

    def test_burst_that_slows_down_both_versions_is_no_fault(self):
        # The last step has most requests to the new version, so that a burst
        # in it must not count against that version.
        def respond(now, route, random, is_new, time_s, load):
            in_burst = 6 <= now < 8
            failed = in_burst and random.random() < 0.3
            return time_s * (3 if in_burst else 1), failed, False

        for seed in range(3):
            fleet = make_fleet(seed, respond)
            fleet.run()
            self.assertIs(RolloutPhase.COMPLETED, fleet.rollout.phase)

    def test_version_with_failures_is_rolled_back(self):
        for seed in range(2):
            fleet = self.assert_rolled_back(make_bad(0.3), seed)
            self.assertLess(len(fleet.bad_at), 50)

    def test_version_with_few_failures_is_rolled_back(self):
        self.assert_rolled_back(make_bad(0.05), 0)

    def test_slow_version_is_rolled_back(self):
        for seed in range(2):
            self.assert_rolled_back(make_bad(0.3, slowdown=4), seed)

    def test_version_that_is_slow_on_one_route_is_rolled_back(self):
        self.assert_rolled_back(make_bad(0.5, 4, route='order'), 0)

    def test_version_that_turns_bad_late_is_rolled_back(self):
        self.assert_rolled_back(make_bad(0.3, since_s=6), 0)

    def test_version_that_fails_under_load_is_rolled_back(self):
        """Guards against evidence from targets that are nearly idle."""
        respond = make_bad(1 / 3, min_load=5)
        for seed in range(6):
            self.assert_rolled_back(respond, seed, make=make_small_fleet)
        for seed in range(2):
            self.assert_rolled_back(respond, seed)

    def test_targets_are_loaded_before_the_promotion_as_after_it(self):
        loads = {phase: [] for phase in RolloutPhase}

        def respond(now, route, random, is_new, time_s, load):
            if is_new:
                loads[fleet.rollout.phase].append(load)
            return time_s, False, False

        for seed in range(3):
            fleet = make_small_fleet(seed, respond)
            fleet.run()
        before = loads[RolloutPhase.RUNNING]
        after = loads[RolloutPhase.PROMOTING]
        # The steps before the one under load are included.
        self.assertGreater(mean(before), mean(after) / 2)
        self.assertGreater(max(before), mean(after))

    def test_busy_node_is_granted_the_whole_load(self):
        """Guards against grants that are capped below the node's share."""
        rate = 50
        fleet = make_fleet(
            0, good, targets=1, nodes=1, routes=(('order', rate, 0.25),)
        )
        fleet.run(8.4)
        by_half_second = Counter(int(2 * at) for at in fleet.sent_at)
        self.assertGreater(max(by_half_second.values()), 0.7 * rate / 2)

    def test_responses_are_awaited_before_the_promotion(self):
        for seed in range(3):
            fleet = make_small_fleet(seed, good)
            fleet.run(8.4)
            self.assertIs(RolloutPhase.RUNNING, fleet.rollout.phase)
            self.assertNotEqual([], [a for a in fleet.sent_at if 6 < a < 7.5])
            self.assertEqual([], [a for a in fleet.sent_at if a > 8])

    def test_promotion_needs_responses(self):
        """Guards against a promotion because time has passed."""
        fleet = make_small_fleet(0, good)
        fleet.respond = lambda now, route, random, is_new, time_s, load: (
            (60 if is_new else time_s),
            False,
            False,
        )
        fleet.run()
        self.assertIs(RolloutPhase.ROLLED_BACK, fleet.rollout.phase)
        reason = 'too few responses to compare'
        self.assertEqual(reason, fleet.controller.reason)
        self.assert_bounded(fleet)

    def test_leaders_change_twice(self):
        for seed in range(3):
            fleet = make_small_fleet(seed, good)
            fleet.run(5, leaderless=(3, 4.2))
            fleet.run(leaderless=(6, 7.2))
            self.assertIs(RolloutPhase.COMPLETED, fleet.rollout.phase)
            self.assertLess(fleet.ended_at, DURATION_MS / 1_000)

    def test_good_version_with_few_targets_completes_in_time(self):
        for seed in range(6):
            fleet = make_small_fleet(seed, good)
            fleet.run()
            self.assertIs(RolloutPhase.COMPLETED, fleet.rollout.phase)
            self.assertLess(fleet.ended_at, DURATION_MS / 1_000 - 0.5)

    def test_good_version_with_little_traffic_completes(self):
        for rate in (0, 0.5, 3, 10):
            fleet = make_fleet(
                1, good, targets=3, nodes=3, routes=(('order', rate, 0.25),)
            )
            fleet.run()
            self.assertIs(RolloutPhase.COMPLETED, fleet.rollout.phase)

    def test_completion_needs_responses_after_the_promotion(self):
        """Guards against completion because time has passed."""
        fleet = make_small_fleet(0, good)

        def respond(now, route, random, is_new, time_s, load):
            is_promoted = fleet.rollout.phase is RolloutPhase.PROMOTING
            # No response comes before the end of the rollout.
            return (60 if is_promoted and is_new else time_s), False, False

        fleet.respond = respond
        fleet.run()
        self.assertIs(RolloutPhase.ROLLED_BACK, fleet.rollout.phase)
        reason = 'too few responses after the promotion'
        self.assertEqual(reason, fleet.controller.reason)

    def test_completion_needs_reports_after_the_promotion(self):
        """Guards against silence that is taken for little traffic."""
        for seed in range(3):
            fleet = make_small_fleet(seed, good)
            fleet.run(8.4)
            fleet.silent.update(range(len(fleet.selectors)))
            fleet.run()
            self.assertIs(RolloutPhase.ROLLED_BACK, fleet.rollout.phase)

    def test_completion_needs_responses_on_each_route(self):
        fleet = make_fleet(0, good)

        def respond(now, route, random, is_new, time_s, load):
            is_promoted = fleet.rollout.phase is RolloutPhase.PROMOTING
            hangs = is_promoted and is_new and route == 'order'
            return (60 if hangs else time_s), False, False

        fleet.respond = respond
        fleet.run()
        self.assertIs(RolloutPhase.ROLLED_BACK, fleet.rollout.phase)

    def test_new_leader_after_the_promotion_asks_for_responses_again(self):
        for seed in range(3):
            fleet = make_small_fleet(seed, good)
            fleet.run(leaderless=(8.8, 10))
            self.assertIs(RolloutPhase.COMPLETED, fleet.rollout.phase)
            self.assertLess(fleet.ended_at, DURATION_MS / 1_000)
            fleet = make_small_fleet(seed, make_bad(1, since_s=8.7))
            fleet.run(leaderless=(8.8, 10))
            self.assertIs(RolloutPhase.ROLLED_BACK, fleet.rollout.phase)

    def test_version_that_turns_bad_after_the_promotion(self):
        """It exceeds the exposure, but the old version is not stopped."""
        for seed in range(3):
            fleet = make_fleet(seed, make_bad(0.3, since_s=8.8))
            fleet.run()
            self.assertIs(RolloutPhase.ROLLED_BACK, fleet.rollout.phase)

    def test_leader_dies_during_a_step(self):
        for seed in range(2):
            fleet = self.assert_rolled_back(
                make_bad(0.1), seed, leaderless=(3, 4.2)
            )
            # Leases end while there is no leader.
            self.assertEqual(
                [], [at for at in fleet.sent_at if 4.6 < at < 5.2]
            )
            fleet = make_fleet(seed, good)
            fleet.run(leaderless=(3, 4.2))
            self.assertIs(RolloutPhase.COMPLETED, fleet.rollout.phase)

    def test_node_that_is_cut_off_stops_after_its_lease(self):
        fleet = make_fleet(0, good)
        fleet.run(5)
        fleet.silent.add(0)
        sent = fleet.selectors[0].count_sent()['s']
        fleet.run(5 + fleet.controller.lease_ms / 1_000)
        later = fleet.selectors[0].count_sent()['s']
        fleet.run()
        self.assertEqual(later, fleet.selectors[0].count_sent()['s'])
        self.assertLessEqual(later - sent, 5)
        # The others do not wait for it.
        self.assertIs(RolloutPhase.COMPLETED, fleet.rollout.phase)

    def test_restart_of_all_processes_keeps_exposure_and_phase(self):
        fleet = make_fleet(0, good)
        fleet.run(5)
        before = fleet.rollout
        sent = len(fleet.sent_at)
        fleet.selectors[:] = [type(s)() for s in fleet.selectors]
        fleet.tell()
        fleet.events = [e for e in fleet.events if e[2] != fleet.answer]
        fleet.take_over()
        fleet.run(5.9)
        # The new leader takes all reserved requests as sent.
        self.assertEqual(before.reserved, fleet.controller.granted)
        fleet.run(8)
        self.assertGreater(len(fleet.sent_at), sent)
        self.assertLessEqual(
            len(fleet.sent_at),
            0.1 * fleet.total + GUARANTEES.exposure_extra,
        )
        self.assertGreaterEqual(fleet.rollout.total, before.total)

    def test_late_reports_do_not_widen_the_exposure(self):
        fleet = make_fleet(0, make_bad(0.3))
        fleet.silent.update(range(1, len(fleet.selectors)))
        fleet.run(6)
        for selector in fleet.selectors[1:]:
            self.assertEqual(0, selector.count_sent()['s'])
        fleet.silent.clear()
        fleet.run()
        self.assertIs(RolloutPhase.ROLLED_BACK, fleet.rollout.phase)
        self.assert_bounded(fleet)


class PlanTest(TestCase):
    def test_share_under_load_is_that_of_whole_targets(self):
        shares = [choose_load_share(count) for count in (0, 1, 2, 3, 4, 27)]
        self.assertEqual([1, 1, 1 / 2, 1 / 3, 1 / 4, 7 / 27], shares)

    def test_promotion_needs_less_evidence_with_little_traffic(self):
        self.assertEqual(30, required_responses(27, 610))
        self.assertEqual(10, required_responses(3, 60))
        self.assertEqual(0, required_responses(3, 0))


class ComparisonTest(TestCase):
    def make_window(self, new, new_failures, old, old_failures, route='r'):
        def counts(count, failures):
            times = [0] * TIME_COUNT
            times[time_index(0.1)] = count
            return [failures, *times]

        return {
            (route, True): counts(new, new_failures),
            (route, False): counts(old, old_failures),
        }

    def test_windows_are_not_mixed(self):
        # Over both windows the new version fails in 0.46 of its responses
        # and the old one in 0.14, but in each they fail alike.
        comparison = Comparison()
        comparison.add_window(self.make_window(20, 0, 1_000, 0))
        comparison.add_window(self.make_window(300, 150, 400, 200))
        self.assertIsNone(comparison.find_fault())
        comparison.add_window(self.make_window(300, 90, 400, 20))
        self.assertEqual('more failures', comparison.find_fault())

    def test_failures_are_compared_with_earlier_responses(self):
        # One target in three has the new version, so that each window alone
        # says little.
        comparison = Comparison()
        comparison.add_window(self.make_window(0, 0, 400, 0))
        for _ in range(5):
            self.assertIsNone(comparison.find_fault())
            comparison.add_window(self.make_window(10, 1, 20, 0))
        self.assertEqual('more failures', comparison.find_fault())

    def test_failures_of_both_versions_are_not_compared_with_earlier_ones(
        self,
    ):
        comparison = Comparison()
        comparison.add_window(self.make_window(0, 0, 400, 0))
        for _ in range(6):
            comparison.add_window(self.make_window(10, 4, 20, 6))
            self.assertIsNone(comparison.find_fault())

    def test_routes_are_not_mixed(self):
        # The new version gets other shares of the routes by chance.
        comparison = Comparison()
        comparison.add_window(
            self.make_window(100, 50, 100, 50, 'a')
            | self.make_window(10, 0, 1_000, 0, 'b')
        )
        self.assertIsNone(comparison.find_fault())
