"""Check a model with the explicit-state model checker and report the search.

A model is a frozen data class. Its fields are the bounds of the search and
the switches that disable single mechanisms of the protocol, to show that each
is needed. A model has three methods: ``initial()`` returns the initial state
(a ``NamedTuple``), ``transitions(state)`` yields pairs of a label and a
successor state, and ``invariants()`` maps the name of each safety property to
a predicate on states.
"""

from dataclasses import dataclass
import time

from minicheck import check_safety
from minicheck import Protocol

__all__ = ['Report', 'Step', 'check_model', 'replay']

MAX_STATES = 20_000_000


@dataclass(frozen=True)
class Step:
    """One step of a counterexample.

    Parameters
    ----------
    label : str or None
        Label of the transition taken, None for the initial state.
    state : NamedTuple
        State after the transition.
    """

    label: str | None
    state: tuple


@dataclass(frozen=True)
class Report:
    """Result of a search.

    Parameters
    ----------
    model : object
        The model with its bounds.
    states, depth : int
        Reachable states found, and the length of the longest of the
        shortest paths to them.
    seconds : float
        Wall-clock time of the search.
    exhaustive : bool
        Whether every reachable state was examined.
    violations : dict of str to tuple of Step
        Shortest counterexample found for each violated property.
    """

    model: object
    states: int
    depth: int
    seconds: float
    exhaustive: bool
    violations: dict

    @property
    def holds(self):
        """Whether all properties hold in all reachable states."""
        return self.exhaustive and not self.violations

    def labels(self, name):
        """Return the labels of the counterexample of a property."""
        return [step.label for step in self.violations[name][1:]]

    def __str__(self):
        verdict = 'holds' if self.holds else 'not verified'
        if self.violations:
            verdict = f'violates {", ".join(sorted(self.violations))}'
        return (
            f'{self.model}: {verdict}; {self.states} states,'
            f' depth {self.depth}, {self.seconds:.1f} s,'
            f' {"exhaustive" if self.exhaustive else "not exhaustive"}'
        )


class _Search:
    """Adapts a model to the checker; expands no states after a violation."""

    def __init__(self, model, start_state, properties):
        self.model = model
        self.initial_state = start_state
        self.properties = properties
        self.depths = {self.initial_state: 0}
        self.depth = 0
        self.violated = False

    def transitions(self, state):
        if self.violated:
            return
        depth = self.depths[state] + 1
        for label, successor in self.model.transitions(state):
            if successor not in self.depths:
                self.depths[successor] = depth
                self.depth = depth
            yield label, successor

    def predicate(self, invariant):
        state_type = type(self.initial_state)

        def holds(fields):
            satisfied = invariant(state_type(*fields.values()))
            self.violated |= not satisfied
            return satisfied

        return holds

    def protocol(self):
        return Protocol(
            name=type(self.model).__name__,
            candidate=False,
            fields=type(self.initial_state)._fields,
            initial=self.initial_state,
            transitions=self.transitions,
            invariants={
                name: self.predicate(invariant)
                for name, invariant in self.model.invariants().items()
                if self.properties is None or name in self.properties
            },
        )


def replay(model, labels):
    """Return the state after a sequence of transitions.

    Parameters
    ----------
    model : object
        Model as described in the module's documentation.
    labels : iterable of str
        Labels of the transitions, from the initial state on.

    Returns
    -------
    NamedTuple

    Raises
    ------
    KeyError
        If a label names no transition that is enabled at its step.
    """
    state = model.initial()
    for label in labels:
        state = dict(model.transitions(state))[label]
    return state


def check_model(
    model, start_state=None, properties=None, max_states=MAX_STATES
):
    """Search all reachable states of a model, up to the first violation.

    Parameters
    ----------
    model : object
        Model as described in the module's documentation.
    start_state : NamedTuple or None
        State to search from instead of the initial one.
    properties : collection of str or None
        Names of the safety properties to check, None for all.
    max_states : int
        The search stops, and is not exhaustive, once it finds more states.

    Returns
    -------
    Report
    """
    search = _Search(model, start_state or model.initial(), properties)
    start_time_s = time.perf_counter()
    result = check_safety(search.protocol(), max_states=max_states)
    state_type = type(search.initial_state)
    violations = {
        name: tuple(
            Step(step['label'], state_type(*step['state'].values()))
            for step in verdict['counterexample']
        )
        for name, verdict in result['properties'].items()
        if verdict['holds'] is False
    }
    return Report(
        model,
        result['reachable_states'],
        search.depth,
        time.perf_counter() - start_time_s,
        result['exhaustive'] and not violations,
        violations,
    )
