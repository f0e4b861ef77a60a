from dataclasses import dataclass
from typing import NamedTuple

from testtools import TestCase

from specs.checking import check_model
from specs.checking import replay


class Count(NamedTuple):
    value: int


@dataclass(frozen=True)
class Counter:
    limit: int = 3
    bad: int | None = None

    def initial(self):
        return Count(0)

    def transitions(self, state):
        if state.value < self.limit:
            yield 'add', Count(state.value + 1)

    def invariants(self):
        return {'not bad': lambda state: state.value != self.bad}


class CheckModelTest(TestCase):
    def test_counts_states_and_depth(self):
        report = check_model(Counter())
        self.assertTrue(report.holds)
        self.assertEqual((4, 3), (report.states, report.depth))

    def test_returns_the_shortest_counterexample(self):
        report = check_model(Counter(bad=2))
        self.assertFalse(report.holds)
        self.assertEqual(['add', 'add'], report.labels('not bad'))

    def test_truncated_search_does_not_hold(self):
        report = check_model(Counter(limit=100), max_states=10)
        self.assertFalse(report.exhaustive)
        self.assertFalse(report.holds)

    def test_starts_from_a_replayed_state(self):
        start = replay(Counter(), ['add', 'add'])
        self.assertEqual(Count(2), start)
        self.assertEqual(2, check_model(Counter(), start=start).states)

    def test_replay_refuses_an_impossible_path(self):
        self.assertRaises(KeyError, replay, Counter(), ['subtract'])
