"""Runs a model through the explicit-state checker and reports the search.

A model is a frozen data class whose fields are its bounds and mechanisms. It
has ``initial()``, which returns the first state (a ``NamedTuple``),
``transitions(state)``, which yields pairs of a label and a next state, and
``invariants()``, which maps the name of a property to a predicate of states.
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
        Transition taken, None for the initial state.
    state : NamedTuple
        State that it leads to.
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
        States found and the longest of the shortest paths to them.
    seconds : float
        Wall-clock time of the search.
    exhaustive : bool
        Whether every reachable state was examined.
    violations : dict of str to tuple of Step
        Shortest counterexample of each property found broken.
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
        """Return the transitions of the counterexample of a property."""
        return [step.label for step in self.violations[name][1:]]

    def __str__(self):
        verdict = 'holds' if self.holds else 'not shown'
        if self.violations:
            verdict = f'violates {", ".join(sorted(self.violations))}'
        return (
            f'{self.model}: {verdict}; {self.states} states,'
            f' depth {self.depth}, {self.seconds:.1f} s,'
            f' {"exhaustive" if self.exhaustive else "not exhaustive"}'
        )


class _Search:
    """Adapts a model to the checker; expands no state after a violation."""

    def __init__(self, model, start, properties):
        self.model = model
        self.first = start
        self.properties = properties
        self.depths = {self.first: 0}
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
        state_type = type(self.first)

        def holds(fields):
            held = invariant(state_type(*fields.values()))
            self.violated |= not held
            return held

        return holds

    def protocol(self):
        return Protocol(
            name=type(self.model).__name__,
            candidate=False,
            fields=type(self.first)._fields,
            initial=self.first,
            transitions=self.transitions,
            invariants={
                name: self.predicate(invariant)
                for name, invariant in self.model.invariants().items()
                if self.properties is None or name in self.properties
            },
        )


def replay(model, labels):
    """Return the state that a path of transitions leads to.

    Raises
    ------
    KeyError
        If the model has no such transition.
    """
    state = model.initial()
    for label in labels:
        state = dict(model.transitions(state))[label]
    return state


def check_model(model, start=None, properties=None, max_states=MAX_STATES):
    """Search all reachable states of a model, up to the first violation.

    Parameters
    ----------
    model : object
        Model as described in the module's documentation.
    start : NamedTuple or None
        State to search from instead of the initial one.
    properties : collection of str or None
        Names of the properties to check, None for all.
    max_states : int
        The search ends, not exhaustive, when it finds more states.

    Returns
    -------
    Report
    """
    search = _Search(model, start or model.initial(), properties)
    started = time.perf_counter()
    result = check_safety(search.protocol(), max_states=max_states)
    state_type = type(search.first)
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
        time.perf_counter() - started,
        result['exhaustive'] and not violations,
        violations,
    )
