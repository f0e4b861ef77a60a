from collections import Counter
from random import Random

from testtools import ExpectedException
from testtools import TestCase
import trio
from trio.testing import MockClock

from snipelead.callers.exceptions import NoTargetError
from snipelead.callers.exceptions import OverloadedError
from snipelead.callers.exceptions import ResponseLostError
from snipelead.callers.exceptions import TargetLeavingError
from snipelead.messages import TargetEntry
from snipelead.nodes.directory import TargetDirectory
from snipelead.nodes.peer_messages import Load
from snipelead.routing.balancer import Balancer
from snipelead.routing.budget import RetryBudget
from snipelead.routing.policies import Policy
from snipelead.types import TargetState

CHOICES = 400


def make_entry(name, zone='a', sequence=1, state=TargetState.SERVING):
    return TargetEntry(
        name, f'n-{name}', zone, 'stock', '127.0.0.1:1', 1, sequence, state, 10
    )


class BalancerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = MockClock()
        self.directory = TargetDirectory()
        self.balancer = Balancer('a', self.directory, 0.1, seed=7)

    def run_with(self, test, *entries):
        async def main():
            for entry in entries:
                self.directory.merge(entry)
            await test()

        trio.run(main, clock=self.clock)

    def count_choices(self):
        names = Counter()
        for _ in range(CHOICES):
            names[self.balancer.choose('stock').entry.target_id] += 1
        return names

    def get_observation(self, name):
        observations = self.balancer.get_observations('stock')
        return next(o for o in observations if o.entry.target_id == name)

    def record_response(self, name, latency_s=0.01, is_error=False, load=None):
        now = trio.current_time()
        self.get_observation(name).record_response(
            latency_s, is_error, load, now
        )

    def test_slow_target_gets_fewer_requests(self):
        names = ('slow', 'quick1', 'quick2')

        async def test():
            for name, latency_s in zip(names, (0.05, 0.01, 0.01), strict=True):
                self.record_response(name, latency_s)
            self.assertEqual(0, self.count_choices()['slow'])
            # The observed latency decays, so the target is tried again.
            self.clock.jump(60)
            self.record_response('quick1', 0.01)
            self.record_response('quick2', 0.01)
            self.assertNotEqual(0, self.count_choices()['slow'])

        self.run_with(
            test,
            make_entry('slow'),
            make_entry('quick1'),
            make_entry('quick2'),
        )

    def test_own_zone_is_preferred_until_it_is_loaded(self):
        async def test():
            self.assertEqual(CHOICES, self.count_choices()['near'])
            self.record_response('near', load=Load(10, 5, 10))
            self.assertEqual(CHOICES, self.count_choices()['far'])

        self.run_with(test, make_entry('near'), make_entry('far', 'b'))

    def test_other_zone_is_chosen_when_own_zone_is_slower(self):
        async def test():
            self.record_response('near', 0.1)
            self.record_response('far', 0.02)
            self.assertEqual(CHOICES, self.count_choices()['far'])

        self.run_with(test, make_entry('near'), make_entry('far', 'b'))

    def test_failing_target_is_avoided_and_then_retried(self):
        async def test():
            for name in ('bad', 'good', 'fair'):
                self.record_response(name, 0.02)
            for _ in range(5):
                self.record_response('bad', is_error=True)
            self.assertEqual(0, self.count_choices()['bad'])
            self.clock.jump(60)
            for name in ('good', 'fair'):
                self.record_response(name, 0.02)
            self.assertNotEqual(0, self.count_choices()['bad'])
            # Requests that must not be repeated avoid it for longer.
            chosen = {
                self.balancer.choose(
                    'stock', at_most_once=True
                ).entry.target_id
                for _ in range(CHOICES)
            }
            self.assertNotIn('bad', chosen)

        self.run_with(test, *map(make_entry, ('bad', 'good', 'fair')))

    def test_service_time_reported_by_node_is_used(self):
        async def test():
            names = ('slow', 'quick1', 'quick2')
            for name in names:
                self.record_response(name, 0.01)
            # A fast response of a target that is slow on average.
            load = Load(1, 0, 10, target_us=10_000, service_us=200_000)
            self.record_response('slow', 0.01, load=load)
            self.assertEqual(0, self.count_choices()['slow'])

        self.run_with(test, *map(make_entry, ('slow', 'quick1', 'quick2')))

    def test_error_rate_reported_by_node_is_used(self):
        async def test():
            for name in ('bad', 'good', 'fair'):
                self.record_response(name)
            self.record_response('bad', load=Load(0, 0, 10, error_rate=0.5))
            self.assertEqual(0, self.count_choices()['bad'])

        self.run_with(test, *map(make_entry, ('bad', 'good', 'fair')))

    def test_new_target_has_slow_start(self):
        async def test():
            self.count_choices()
            self.directory.merge(make_entry('new'))
            self.get_observation('old').in_flight = 3
            self.assertEqual(0, self.count_choices()['new'])
            self.clock.jump(6)
            self.assertEqual(CHOICES, self.count_choices()['new'])

        self.run_with(test, make_entry('old'))

    def test_ejection_is_followed_by_a_single_probe(self):
        async def test():
            bad = self.get_observation('bad')
            for _ in range(3):
                self.balancer.record_error(bad, ResponseLostError('lost'))
            self.assertEqual(0, self.count_choices()['bad'])
            self.clock.jump(1.1)
            self.assertTrue(bad.is_usable(trio.current_time()))
            probe = bad.begin_request(trio.current_time())
            self.assertFalse(bad.is_usable(trio.current_time()))
            # The probe fails: the next ejection lasts twice as long.
            self.balancer.record_error(bad, ResponseLostError('lost'), probe)
            probe.end()
            self.clock.jump(1.1)
            self.assertFalse(bad.is_usable(trio.current_time()))
            self.clock.jump(1.0)
            with bad.begin_request(trio.current_time()):
                self.record_response('bad')
            self.assertTrue(bad.is_usable(trio.current_time()))

        self.run_with(test, make_entry('bad'), make_entry('good'))

    def test_no_target_error_tells_end_of_ejection(self):
        async def test():
            bad = self.get_observation('bad')
            for _ in range(3):
                self.balancer.record_error(bad, ResponseLostError('lost'))
            error = self.assertRaises(
                NoTargetError, self.balancer.choose, 'stock'
            )
            self.assertEqual(1_001, error.retry_after_ms)

        self.run_with(test, make_entry('bad'))

    def test_full_target_is_avoided_until_retry_after(self):
        async def test():
            full = self.get_observation('full')
            error = OverloadedError('full', retry_after_ms=500)
            self.balancer.record_error(full, error)
            self.assertEqual(0, self.count_choices()['full'])
            self.clock.jump(0.6)
            self.assertNotEqual(0, self.count_choices()['full'])

        self.run_with(test, make_entry('full'), make_entry('free'))

    def test_leaving_target_is_avoided_until_newer_entry(self):
        async def test():
            error = TargetLeavingError('leaving')
            self.balancer.record_error(self.get_observation('one'), error)
            with ExpectedException(NoTargetError):
                self.balancer.choose('stock')
            self.directory.merge(make_entry('one', sequence=2))
            self.assertEqual(CHOICES, self.count_choices()['one'])

        self.run_with(test, make_entry('one'))

    def test_targets_not_serving_are_not_chosen(self):
        async def test():
            self.assertEqual(CHOICES, self.count_choices()['one'])

        self.run_with(
            test,
            make_entry('one'),
            make_entry('two', state=TargetState.LEAVING),
            make_entry('three', state=TargetState.STARTING),
        )

    def test_baseline_policies(self):
        async def test():
            self.balancer.policy = Policy.ROUND_ROBIN
            self.assertEqual({'a': 200, 'b': 200}, dict(self.count_choices()))
            self.balancer.policy = Policy.LEAST_CONNECTIONS
            self.get_observation('a').in_flight = 1
            self.assertEqual(CHOICES, self.count_choices()['b'])
            self.balancer.policy = Policy.RANDOM
            self.assertNotIn(self.count_choices()['a'], (0, CHOICES))

        self.run_with(test, make_entry('a'), make_entry('b'))

    def test_observations_of_gone_targets_are_dropped(self):
        async def test():
            self.count_choices()
            self.directory.merge(
                make_entry('one', sequence=2, state=TargetState.GONE)
            )
            self.balancer.drop_removed_targets()
            self.assertEqual({}, self.balancer.observations)

        self.run_with(test, make_entry('one'))


class RetryBudgetTest(TestCase):
    def test_retries_are_limited_to_share_of_attempts(self):
        budget = RetryBudget(0.1, burst=2.0)
        retries = 0
        for _ in range(1_000):
            budget.add_attempt()
            retries += budget.try_take()
        self.assertIn(retries, range(95, 104))

    def test_retries_are_possible_in_a_fleet_of_any_size(self):
        """No node of a large fleet had a whole token, so none retried."""
        rng = Random(1)
        budgets = [RetryBudget(0.1) for _ in range(1_000)]
        for budget in budgets:
            budget.set_burst(0.2, rng.random())
        without_requests = sum(budget.try_take() for budget in budgets)
        self.assertIn(without_requests, range(150, 251))
        for budget in budgets:
            for _ in range(50):
                budget.add_attempt()
                budget.set_burst(0.2, rng.random())
        self.assertEqual(1_000, sum(budget.try_take() for budget in budgets))

    def test_reserve_is_not_spent(self):
        budget = RetryBudget(0.1, burst=2.0)
        self.assertFalse(budget.try_take(reserve=2.0))
        self.assertTrue(budget.try_take())


class CrossZoneCostTest(BalancerTest):
    """Sending responses across zones costs latency by their size."""

    def setUp(self):
        super().setUp()
        self.balancer = Balancer(
            'a', self.directory, 0.1, seed=7, crossing_ms_per_kb=20.0
        )

    def count_choices(self, route=None):
        names = Counter()
        for _ in range(CHOICES):
            chosen = self.balancer.choose('stock', route=route)
            names[chosen.entry.target_id] += 1
        return names

    def test_other_zone_is_chosen_when_own_zone_is_slower(self):
        async def test():
            self.balancer.record_response_size('small', 100)
            self.balancer.record_response_size('large', 10_000)
            self.record_response('near', 0.1)
            self.record_response('far', 0.02)
            self.assertEqual(CHOICES, self.count_choices('small')['far'])
            self.assertEqual(CHOICES, self.count_choices('large')['near'])

        self.run_with(test, make_entry('near'), make_entry('far', 'b'))

    def test_large_responses_stay_in_own_zone_until_it_is_full(self):
        async def test():
            self.balancer.record_response_size('large', 5_000)
            for name in ('near', 'far'):
                self.record_response(name, 0.1)
            self.record_response('near', 0.1, load=Load(7, 0, 10))
            self.assertEqual(CHOICES, self.count_choices('large')['near'])
            self.record_response('near', 0.1, load=Load(10, 4, 10))
            self.assertEqual(CHOICES, self.count_choices('large')['far'])

        self.run_with(test, make_entry('near'), make_entry('far', 'b'))

    def test_target_with_long_routes_is_not_considered_slow(self):
        async def test():
            for name, route, service_us in (
                ('near', 'long', 800_000),
                ('far', 'short', 50_000),
            ):
                for _ in range(20):
                    load = Load(1, 0, 10, 0, service_us, 0.0, service_us)
                    self.record_response(name, service_us / 1e6, load=load)
                    self.balancer.record_service_time(
                        self.get_observation(name), route, load
                    )
            self.balancer.record_response_size('short', 1_000)
            self.assertEqual(CHOICES, self.count_choices('short')['near'])

        self.run_with(test, make_entry('near'), make_entry('far', 'b'))

    def test_target_that_is_slow_for_its_route_is_avoided(self):
        async def test():
            for name, service_us in (('near', 200_000), ('far', 50_000)) * 30:
                load = Load(1, 0, 10, 0, service_us, 0.0, service_us)
                self.record_response(name, service_us / 1e6, load=load)
                self.balancer.record_service_time(
                    self.get_observation(name), 'r', load
                )
            self.balancer.record_response_size('r', 400)
            self.assertEqual(CHOICES, self.count_choices('r')['far'])

        self.run_with(test, make_entry('near'), make_entry('far', 'b'))
