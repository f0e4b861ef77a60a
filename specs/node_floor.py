"""Nodes restart without a disk and must not step back to an older release.

Two controls tell nodes of releases: the one of their availability zone and
one of another zone. Either can fall behind for any time without noticing,
which stands for being cut off from the majority of the voters. When the
whole zone is cut off, its nodes reach the control of the zone alone.
Updates and answers are sets that only grow: they may arrive late, more than
once, crossed or never, also after a restart.
"""

from dataclasses import dataclass
from typing import NamedTuple

__all__ = ['NodeFloor']

HOME = 0
AWAY = 1


class Node(NamedTuple):
    """A node of the zone.

    Parameters
    ----------
    held : int
        Newest release received in this life.
    ready : bool
        Whether it runs what it holds.
    life : int
        Restarts so far.
    highest : int
        Newest release that it has run in any life.
    """

    held: int = 0
    ready: bool = False
    life: int = 0
    highest: int = 0


@dataclass(frozen=True, slots=True)
class Update:
    """Brings a release to a node."""

    node: int
    number: int


@dataclass(frozen=True, slots=True)
class FloorAnswer:
    """Answer to a restarted node's question for the newest release."""

    node: int
    life: int
    number: int


class State(NamedTuple):
    """State of the zone and of what it can reach.

    Parameters
    ----------
    accepted : int
        Newest accepted release.
    zone_cut : bool
        Whether nodes reach the control of their zone alone.
    controls : tuple of int
        Newest release known to the control of the zone and to the other.
    nodes : tuple of Node
        Nodes of the zone.
    messages : frozenset
        Messages sent so far.
    control_restarts, failovers : int
        Failures so far.
    """

    accepted: int
    zone_cut: bool
    controls: tuple[int, ...]
    nodes: tuple[Node, ...]
    messages: frozenset = frozenset()
    control_restarts: int = 0
    failovers: int = 0


@dataclass(frozen=True)
class NodeFloor:
    """Model of the floor that a restarted node takes.

    Parameters
    ----------
    nodes, max_number, max_lives : int
        Bounds: nodes of the zone, newest release, restarts of each node.
    max_control_restarts : int
        Bound of restarts of the zone's control.
    max_failovers : int
        Bound of messages that nodes take from the other control.
    compares_numbers : bool
        A node drops updates that are not newer.
    certified_floor : bool
        A control answers for the newest release only when a majority
        proves it current; otherwise it answers by its own belief.
    answer_names_life : bool
        A node takes its floor only from the answer to its own question.
    zone_fallback : bool
        When the zone is cut off, a restarted node settles for the newest
        release of the zone's control.
    durable_publication : bool
        A control knows after a restart what it had told its nodes.
    """

    nodes: int = 1
    max_number: int = 2
    max_lives: int = 2
    max_control_restarts: int = 1
    max_failovers: int = 1
    compares_numbers: bool = True
    certified_floor: bool = True
    answer_names_life: bool = True
    zone_fallback: bool = False
    durable_publication: bool = True

    def initial(self):
        """Return the state before the first release."""
        return State(0, False, (0, 0), (Node(),) * self.nodes)

    def invariants(self):
        """Return the property of running nodes."""
        return {'no node steps back': _no_step_back}

    def transitions(self, state):
        """Yield all steps of controls, nodes and network."""
        if state.accepted < self.max_number:
            accepted = state.accepted + 1
            yield f'{accepted} is accepted', state._replace(accepted=accepted)
        yield (
            'the zone is joined' if state.zone_cut else 'the zone is cut off',
            state._replace(zone_cut=not state.zone_cut),
        )
        for control, number in enumerate(state.controls):
            yield from self._control_steps(state, control, number)
        for number, node in enumerate(state.nodes):
            yield from self._node_steps(state, number, node)
        for message in state.messages:
            yield from self._deliver(state, message)

    def _control_steps(self, state, control, number):
        separated = state.zone_cut and control == HOME
        if number < state.accepted and not separated:
            yield (
                f'control {control} learns of {number + 1}',
                _put_control(state, control, number + 1),
            )
        if control == HOME:
            yield from self._restart_control(state, number)
        away = control == AWAY
        if away and (state.zone_cut or state.failovers == self.max_failovers):
            return
        asked = state._replace(failovers=state.failovers + away)
        for node in range(self.nodes):
            yield (
                f'control {control} tells {node} of {number}',
                _send(asked, Update(node, number)),
            )
            # A majority certifies a control only when it knows all.
            current = number == state.accepted and not separated
            if current or not self.certified_floor:
                life = state.nodes[node].life
                yield (
                    f'control {control} answers {node}: newest is {number}',
                    _send(asked, FloorAnswer(node, life, number)),
                )

    def _restart_control(self, state, number):
        if state.control_restarts == self.max_control_restarts:
            return
        kept = number if self.durable_publication else 0
        restarted = _put_control(state, HOME, kept)
        yield (
            "the zone's control restarts",
            restarted._replace(control_restarts=state.control_restarts + 1),
        )

    def _node_steps(self, state, number, node):
        if node.life < self.max_lives:
            restarted = Node(life=node.life + 1, highest=node.highest)
            yield (
                f'node {number} restarts',
                _put_node(state, number, restarted),
            )
        home = state.controls[HOME]
        if node.held > home:
            yield (
                f'node {number} offers {node.held}',
                _put_control(state, HOME, node.held),
            )
        if self.zone_fallback and state.zone_cut and not node.ready:
            settled = node._replace(held=max(node.held, home))
            yield (
                f'node {number} settles for {settled.held}',
                _run(state, number, settled),
            )

    def _deliver(self, state, message):
        node = state.nodes[message.node]
        match message:
            case Update(number, release):
                if self.compares_numbers and release <= node.held:
                    return
                updated = node._replace(held=release)
                step = _run if node.ready else _put_node
                yield (
                    f'node {number} takes {release}',
                    step(state, number, updated),
                )
            case FloorAnswer(number, life, release):
                if node.ready or (
                    self.answer_names_life and life != node.life
                ):
                    return
                settled = node._replace(held=max(node.held, release))
                yield (
                    f'node {number} has its floor {release}',
                    _run(state, number, settled),
                )


def _send(state, message):
    return state._replace(messages=state.messages | {message})


def _put_control(state, control, number):
    controls = list(state.controls)
    controls[control] = number
    return state._replace(controls=tuple(controls))


def _put_node(state, number, node):
    nodes = list(state.nodes)
    nodes[number] = node
    return state._replace(nodes=tuple(nodes))


def _run(state, number, node):
    """Have a node run what it holds."""
    highest = max(node.highest, node.held)
    running = node._replace(ready=True, highest=highest)
    return _put_node(state, number, running)


def _no_step_back(state):
    return all(node.held >= node.highest for node in state.nodes if node.ready)
