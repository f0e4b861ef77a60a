from dataclasses import dataclass
from typing import NamedTuple

from testtools import TestCase

from specs.checking import check_model
from specs.checking import replay


class CounterState(NamedTuple):
    value: int


@dataclass(frozen=True)
class Counter:
    limit: int = 3
    forbidden: int | None = None

    def initial(self):
        return CounterState(0)

    def transitions(self, state):
        if state.value < self.limit:
            yield 'add', CounterState(state.value + 1)

    def invariants(self):
        return {
            'not the forbidden value': lambda state: (
                state.value != self.forbidden
            )
        }


class CheckModelTest(TestCase):
    def test_counts_states_and_depth(self):
        report = check_model(Counter())
        self.assertTrue(report.holds)
        self.assertEqual((4, 3), (report.states, report.depth))

    def test_returns_the_shortest_counterexample(self):
        report = check_model(Counter(forbidden=2))
        self.assertFalse(report.holds)
        self.assertEqual(
            ['add', 'add'], report.labels('not the forbidden value')
        )

    def test_truncated_search_does_not_hold(self):
        report = check_model(Counter(limit=100), max_states=10)
        self.assertFalse(report.exhaustive)
        self.assertFalse(report.holds)

    def test_starts_from_a_replayed_state(self):
        start_state = replay(Counter(), ['add', 'add'])
        self.assertEqual(CounterState(2), start_state)
        self.assertEqual(
            2, check_model(Counter(), start_state=start_state).states
        )

    def test_replay_rejects_a_disabled_transition(self):
        self.assertRaises(KeyError, replay, Counter(), ['subtract'])
