"""Requests that crash targets, and the evidence that processes share.

Nodes notice crashes of their own targets, tell controls, and controls tell all
nodes. Messages are late by any time, and processes restart without what they
knew. A crashing request is sent until the sending node knows of enough
crashes. Once all messages have been delivered and every process has polled,
the nodes are in touch again.
"""

from dataclasses import dataclass
from typing import NamedTuple

__all__ = ['Quarantine']

_NOTHING = frozenset()


class State(NamedTuple):
    """State of the processes.

    Parameters
    ----------
    nodes, controls : tuple of frozenset of int
        Crashes that each process knows; a crash has the number of the node
        whose target ended, together with the number of the incarnation.
    incarnations : tuple of int
        Crashes of the target beside each node so far.
    reported : tuple of tuple of frozenset of int
        Crashes that each node takes each control to know.
    started : tuple of int
        Number of starts of each control.
    known_starts : tuple of tuple of int
        Number of starts of each control when each node last registered.
    restarts : int
        Restarts of nodes and controls.
    late : int
        Copies sent after all processes had been in touch since the crash that
        completes the evidence.
    settled : bool
        Whether all processes have been in touch since the last crash.
    """

    nodes: tuple
    controls: tuple
    incarnations: tuple
    reported: tuple
    started: tuple
    known_starts: tuple
    restarts: int = 0
    late: int = 0
    settled: bool = False


def _replace(values, index, value):
    return (*values[:index], value, *values[index + 1 :])


@dataclass(frozen=True)
class Quarantine:
    """Model of the evidence on one request that crashes every target.

    Parameters
    ----------
    node_count, control_count : int
        Numbers of processes.
    threshold : int
        Crashes after which a node sends no more copies.
    max_crashes, max_restarts : int
        Bounds on crashes and on restarts.
    merges : bool
        A process adds what it is told to what it knows.
    reports_again : bool
        A node tells everything to a control that has been restarted.
    exchanges : bool
        Controls tell each other.
    told_before_restart : bool
        A process restarts only after another one knows what it knows.
    """

    node_count: int = 2
    control_count: int = 2
    threshold: int = 2
    max_crashes: int = 3
    max_restarts: int = 1
    merges: bool = True
    reports_again: bool = True
    exchanges: bool = True
    told_before_restart: bool = True

    def initial(self):
        """Return the state before the first copy of the request."""
        nothing = (_NOTHING,) * self.control_count
        return State(
            (_NOTHING,) * self.node_count,
            nothing,
            (0,) * self.node_count,
            (nothing,) * self.node_count,
            (0,) * self.control_count,
            ((0,) * self.control_count,) * self.node_count,
        )

    def invariants(self):
        """Return the safety properties by name."""
        return {
            'no copy is sent once all processes have been in touch': (
                lambda state: not state.late
            ),
        }

    def transitions(self, state):
        """Yield all transitions of nodes and controls."""
        for node in range(self.node_count):
            if self._may_send(state, node):
                yield (
                    f'target of node {node} crashes',
                    self._crash(state, node),
                )
            for control in range(self.control_count):
                yield (
                    f'node {node} polls control {control}',
                    self._poll(state, node, control),
                )
        if self.exchanges:
            yield from self._exchange(state)
        if state.restarts < self.max_restarts:
            yield from self._restart(state)
        if not state.settled:
            yield from self._settle(state)

    def _may_send(self, state, node):
        return (
            len(state.nodes[node]) < self.threshold
            and sum(state.incarnations) < self.max_crashes
        )

    def _crash(self, state, node):
        crash = node + self.node_count * state.incarnations[node]
        enough = sum(state.incarnations) >= self.threshold
        return state._replace(
            nodes=_replace(state.nodes, node, state.nodes[node] | {crash}),
            incarnations=_replace(
                state.incarnations, node, state.incarnations[node] + 1
            ),
            late=state.late + (state.settled and enough),
            settled=False,
        )

    def _poll(self, state, node, control):
        """Let a node tell what it has not reported, and be told everything."""
        own, theirs = state.nodes[node], state.controls[control]
        reported = state.reported[node][control]
        restarted = state.known_starts[node][control] != state.started[control]
        if restarted and self.reports_again:
            reported = _NOTHING
        told = own - reported
        control_knows = theirs | told if self.merges else told or theirs
        node_knows = own | control_knows if self.merges else control_knows
        return state._replace(
            nodes=_replace(state.nodes, node, node_knows),
            controls=_replace(state.controls, control, control_knows),
            reported=_replace(
                state.reported,
                node,
                _replace(state.reported[node], control, node_knows),
            ),
            known_starts=_replace(
                state.known_starts,
                node,
                _replace(
                    state.known_starts[node], control, state.started[control]
                ),
            ),
        )

    def _exchange(self, state):
        for control in range(self.control_count):
            for other in range(self.control_count):
                known = state.controls[control] | state.controls[other]
                if known != state.controls[control]:
                    yield (
                        f'control {control} polls control {other}',
                        state._replace(
                            controls=_replace(state.controls, control, known)
                        ),
                    )

    def _restart(self, state):
        restarts = state.restarts + 1
        for control in range(self.control_count):
            others = _replace(state.controls, control, _NOTHING)
            if not self._may_restart(
                state.controls[control], state.nodes + others
            ):
                continue
            yield (
                f'control {control} restarts',
                state._replace(
                    controls=_replace(state.controls, control, _NOTHING),
                    started=_replace(
                        state.started, control, state.started[control] + 1
                    ),
                    restarts=restarts,
                    settled=False,
                ),
            )
        for node in range(self.node_count):
            others = _replace(state.nodes, node, _NOTHING)
            if not self._may_restart(
                state.nodes[node], state.controls + others
            ):
                continue
            yield (
                f'node {node} restarts',
                state._replace(
                    nodes=_replace(state.nodes, node, _NOTHING),
                    reported=_replace(
                        state.reported, node, (_NOTHING,) * self.control_count
                    ),
                    restarts=restarts,
                    settled=False,
                ),
            )

    def _may_restart(self, known, known_by_others):
        return not self.told_before_restart or known <= frozenset().union(
            *known_by_others
        )

    def _settle(self, state):
        """Let all processes poll twice, each node one control."""
        for _ in range(2):
            for node in range(self.node_count):
                state = self._poll(state, node, node % self.control_count)
            if self.exchanges:
                known = frozenset().union(*state.controls)
                state = state._replace(controls=(known,) * self.control_count)
        if any(state.incarnations):
            yield 'all processes poll', state._replace(settled=True)
