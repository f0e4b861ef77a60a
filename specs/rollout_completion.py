"""Completion of a rollout after the promotion.

Nodes send to the new version once they learn of the promotion, and report
their responses to a leader, which may be replaced. The new version serves well
before the promotion; after it, it may fail, or no longer respond.
"""

from dataclasses import dataclass
from typing import NamedTuple

__all__ = ['RolloutCompletion']

NODES = (0, 1)
ROUTES = (0, 1)
GOOD, FAILING, SILENT = 'good', 'failing', 'silent'
PROMOTING, COMPLETED, ROLLED_BACK = 'promoting', 'completed', 'rolled back'


class State(NamedTuple):
    """State of the rollout.

    Parameters
    ----------
    version : str
        How the new version responds on its second route after the promotion.
    phase : str
        Committed phase.
    time : int
        Steps of time since the promotion.
    moved : tuple of bool
        Whether each node sends to the new version.
    answered : tuple of tuple of bool
        Whether a request of each node and route got a response after that.
    reported : tuple of tuple of bool
        The same, as far as the present leader knows.
    """

    version: str
    phase: str = PROMOTING
    time: int = 0
    moved: tuple = (False, False)
    answered: tuple = ((False, False), (False, False))
    reported: tuple = ((False, False), (False, False))


@dataclass(frozen=True)
class RolloutCompletion:
    """Model of the completion of a rollout.

    Parameters
    ----------
    max_time : int
        Steps of time until the rollout has to end.
    requires_responses : bool
        Completion needs responses to requests sent after the promotion.
    requires_each_route : bool
        Each route needs them.
    counts_after_promotion : bool
        Responses from before the promotion do not count.
    """

    max_time: int = 2
    requires_responses: bool = True
    requires_each_route: bool = True
    counts_after_promotion: bool = True

    def initial(self):
        """Return the state before the version is known."""
        return State('')

    def invariants(self):
        """Return the safety properties by name."""
        return {
            'no version that got worse after the promotion is completed': (
                lambda state: state.phase != COMPLETED or state.version == GOOD
            ),
            'a rollout ends in time': (
                lambda state: (
                    state.time <= self.max_time or state.phase != PROMOTING
                )
            ),
        }

    def transitions(self, state):
        """Yield all transitions."""
        if not state.version:
            for version in (GOOD, FAILING, SILENT):
                chosen = state._replace(version=version)
                yield f'the version is {version}', chosen
            return
        if state.phase != PROMOTING:
            return
        if state.time < self.max_time:
            yield 'time passes', state._replace(time=state.time + 1)
        none = ((False, False), (False, False))
        yield 'the leader is replaced', state._replace(reported=none)
        for node in NODES:
            yield from self._use_node(state, node)
        yield from self._decide(state)

    def _use_node(self, state, node):
        if not state.moved[node]:
            moved = _replace(state.moved, node, True)
            yield f'node {node} moves', state._replace(moved=moved)
        for route in ROUTES:
            responds = state.version != SILENT or route == 0
            if state.moved[node] and responds:
                answers = _replace(state.answered[node], route, True)
                answered = _replace(state.answered, node, answers)
                label = f'node {node} gets a response on route {route}'
                yield label, state._replace(answered=answered)
        counts = state.answered[node]
        if not self.counts_after_promotion:
            counts = (True, True)
        reported = _replace(state.reported, node, counts)
        yield f'node {node} reports', state._replace(reported=reported)

    def _decide(self, state):
        seen = [
            any(node[route] for node in state.reported) for route in ROUTES
        ]
        if state.version == FAILING and _shows_failures(state):
            yield 'a fault is found', state._replace(phase=ROLLED_BACK)
            return
        enough = all(seen) if self.requires_each_route else any(seen)
        if enough or not self.requires_responses:
            yield 'the rollout is completed', state._replace(phase=COMPLETED)
        elif state.time == self.max_time:
            ended = state._replace(phase=ROLLED_BACK)
            yield 'the rollout is rolled back', ended


def _shows_failures(state):
    """Return whether the leader knows of responses that show the fault."""
    return any(
        state.answered[node][1] and state.reported[node][1] for node in NODES
    )


def _replace(values, index, value):
    changed = list(values)
    changed[index] = value
    return tuple(changed)
