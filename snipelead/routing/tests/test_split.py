from collections import Counter
from random import Random

from testtools import TestCase

from snipelead.releases.document import MAX_TRACKED_ROUTES
from snipelead.releases.document import Route
from snipelead.releases.document import WeightedService
from snipelead.routing.split import TrafficSplitter


def make_route(*weights, name='r'):
    parts = tuple(
        WeightedService(f's{index}', weight)
        for index, weight in enumerate(weights)
    )
    return Route(name, 's0', split=parts)


class SplitTableTest(TestCase):
    def setUp(self):
        super().setUp()
        self.table = TrafficSplitter()

    def choose(self, route, count):
        return [self.table.choose(route) for _ in range(count)]

    def test_route_without_split_uses_its_service(self):
        self.assertEqual('s', self.table.choose(Route('r', 's')))

    def test_shares_deviate_by_less_than_one_request(self):
        route = make_route(90.0, 10.0)
        for count in range(1, 100):
            chosen = Counter(self.choose(route, 1))
            total = Counter(getattr(self, 'seen', {})) + chosen
            self.seen = total
            self.assertLess(abs(total['s1'] - count * 0.1), 1.0)

    def test_service_of_weight_zero_gets_no_requests(self):
        self.assertEqual({'s1'}, set(self.choose(make_route(0.0, 5.0), 20)))

    def test_all_weights_zero_use_service_of_route(self):
        self.assertEqual({'s0'}, set(self.choose(make_route(0.0, 0.0), 5)))

    def test_changed_weights_take_effect_at_once(self):
        self.choose(make_route(1.0, 1.0), 10)
        counts = Counter(self.choose(make_route(0.0, 1.0), 10))
        self.assertGreaterEqual(counts['s1'], 9)

    def test_routes_are_independent(self):
        one, other = make_route(3.0, 2.0), make_route(1.0, 1.0, name='q')
        alone, beside = TrafficSplitter(Random(1)), TrafficSplitter(Random(1))
        expected = [alone.choose(one) for _ in range(20)]
        chosen = []
        for _ in range(20):
            chosen.append(beside.choose(one))
            beside.choose(other)
        self.assertEqual(expected, chosen)

    def test_number_of_routes_is_bounded(self):
        for number in range(MAX_TRACKED_ROUTES + 10):
            self.choose(make_route(1.0, 1.0, name=f'r{number}'), 1)
        self.assertEqual(MAX_TRACKED_ROUTES, len(self.table.sequences))
        self.assertNotIn('r0', self.table.sequences)


class FleetSplitTest(TestCase):
    def test_shares_hold_over_many_nodes_with_few_requests_each(self):
        """Nodes that all began with the same service missed the weights."""
        for weights in ((90.0, 10.0), (70.0, 30.0), (50.0, 30.0, 20.0)):
            for requests_per_node in range(1, 6):
                with self.subTest(weights=weights, count=requests_per_node):
                    self.check_shares(weights, requests_per_node)

    def check_shares(self, weights, requests_per_node):
        route = make_route(*weights)
        counts = Counter()
        for node in range(400):
            splitter = TrafficSplitter(Random(node))
            for _ in range(requests_per_node):
                counts[splitter.choose(route)] += 1
        for index, weight in enumerate(weights):
            share = counts[f's{index}'] / counts.total()
            # The platform allows a deviation of 0.1.
            self.assertLess(abs(share - weight / sum(weights)), 0.1)


class ChangedSplitTest(TestCase):
    """Requests follow the weights of the present release only."""

    def choose(self, splitter, route, count):
        return [splitter.choose(route) for _ in range(count)]

    def test_service_whose_weight_becomes_zero_gets_no_more_requests(self):
        """Credits collected under larger weights outweighed the new ones."""
        for requests_before in range(1, 130):
            splitter = TrafficSplitter(Random(requests_before))
            self.choose(splitter, make_route(90.0, 10.0), requests_before)
            chosen = self.choose(splitter, make_route(1.0, 0.0), 200)
            self.assertEqual({'s0'}, set(chosen))

    def test_shares_follow_smaller_weights_at_once(self):
        for requests_before in range(1, 130):
            splitter = TrafficSplitter(Random(requests_before))
            self.choose(splitter, make_route(9000.0, 1000.0), requests_before)
            chosen = self.choose(splitter, make_route(1.0, 3.0), 20)
            self.assertLessEqual(abs(chosen.count('s1') - 15), 1)

    def test_sequence_goes_on_while_shares_stay_equal(self):
        """A release that changes other things must not restart a split."""
        whole, parts = TrafficSplitter(Random(1)), TrafficSplitter(Random(1))
        expected = self.choose(whole, make_route(90.0, 10.0), 60)
        chosen = []
        for factor in (1.0, 0.1, 0.7, 300.0, 1e-3, 1.0):
            route = make_route(90.0 * factor, 10.0 * factor)
            chosen += self.choose(parts, route, 10)
        self.assertEqual(expected, chosen)

    def test_sequence_goes_on_if_parts_change_places(self):
        splitter = TrafficSplitter(Random(1))
        route = make_route(70.0, 30.0)
        turned = Route('r', 's0', split=route.split[::-1])
        chosen = []
        for _ in range(50):
            chosen += [splitter.choose(route), splitter.choose(turned)]
        self.assertLessEqual(abs(chosen.count('s1') - 30), 1)

    def test_part_of_weight_zero_may_come_and_go(self):
        for seed in range(20):
            splitter = TrafficSplitter(Random(seed))
            chosen = []
            for _ in range(50):
                chosen += self.choose(splitter, make_route(70.0, 30.0), 1)
                chosen += self.choose(splitter, make_route(70.0, 30.0, 0.0), 1)
            self.assertLessEqual(abs(chosen.count('s1') - 30), 1)

    def test_services_keep_their_share_when_a_part_is_added(self):
        for seed in range(20):
            splitter = TrafficSplitter(Random(seed))
            self.choose(splitter, make_route(90.0, 10.0), 17)
            chosen = self.choose(splitter, make_route(50.0, 30.0, 20.0), 100)
            for index, count in enumerate((50, 30, 20)):
                self.assertLessEqual(abs(chosen.count(f's{index}') - count), 2)


class RandomChangesTest(TestCase):
    """Random releases change the weights, the order and the parts."""

    def test_requests_follow_the_shares_since_their_last_change(self):
        """After any number of requests, by less than one for each part."""
        for seed in range(300):
            rng = Random(seed)
            splitter = TrafficSplitter(rng)
            for _ in range(8):
                weights = [
                    rng.choice((0, 0, 1, 3, 10, 90, 0.5, 4e3))
                    for _ in range(rng.randint(1, 4))
                ]
                if any(weights):
                    self.check_shares(rng, splitter, weights)

    def check_shares(self, rng, splitter, weights):
        total = sum(weights)
        counts = Counter()
        # The first requests are those of a release that changes the shares.
        for request_count in range(1, rng.randint(2, 60)):
            factor = rng.choice((1.0, 1.0, 0.1, 7.0))
            split = make_route(*(factor * w for w in weights)).split
            split = tuple(rng.sample(split, len(split)))
            counts[splitter.choose(Route('r', 's0', split=split))] += 1
            for index, weight in enumerate(weights):
                count = counts[f's{index}']
                expected = request_count * weight / total
                self.assertLess(abs(count - expected), len(weights))
                self.assertTrue(weight or not count)
