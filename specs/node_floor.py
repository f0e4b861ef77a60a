"""Release floor of diskless nodes: a restart must not roll a node back.

Two controls distribute releases to the nodes of an availability zone: the
control of that zone and one of another zone. Either may be stale for any time
without detecting it, as when it is partitioned from the majority of the
voters. While the whole zone is isolated, its nodes reach only the control of
the zone. Sent messages stay in a set that only grows, so they may arrive late,
more than once, out of order or never, also after a restart of the node.
"""

from dataclasses import dataclass
from typing import NamedTuple

__all__ = ['NodeFloor']

ZONE_CONTROL = 0
REMOTE_CONTROL = 1


class Node(NamedTuple):
    """A node of the zone.

    Parameters
    ----------
    received : int
        Newest release received since the last restart.
    ready : bool
        Whether it knows its floor and runs the release that it received.
    incarnation : int
        Restarts so far.
    highest_run : int
        Newest release that it has run in any incarnation.
    """

    received: int = 0
    ready: bool = False
    incarnation: int = 0
    highest_run: int = 0


@dataclass(frozen=True, slots=True)
class Update:
    """Update of a node to a release."""

    node: int
    number: int


@dataclass(frozen=True, slots=True)
class FloorReply:
    """Reply to a restarted node's request for its floor.

    Parameters
    ----------
    node : int
        Node that asked.
    incarnation : int
        Incarnation of the node when it asked.
    number : int
        Newest release known to the control, which becomes the floor.
    """

    node: int
    incarnation: int
    number: int


class State(NamedTuple):
    """State of the zone, the controls and the network.

    Parameters
    ----------
    accepted : int
        Newest accepted release.
    zone_isolated : bool
        Whether nodes reach only the control of their zone.
    controls : tuple of int
        Newest release known to the control of the zone and to the remote
        control.
    nodes : tuple of Node
        Nodes of the zone.
    messages : frozenset
        Messages sent so far.
    control_restarts, failovers : int
        Restarts of the control of the zone, and messages that nodes got from
        the remote control.
    """

    accepted: int
    zone_isolated: bool
    controls: tuple[int, ...]
    nodes: tuple[Node, ...]
    messages: frozenset = frozenset()
    control_restarts: int = 0
    failovers: int = 0


@dataclass(frozen=True)
class NodeFloor:
    """Model of the floor below which a restarted node must not run.

    Parameters
    ----------
    nodes, max_number, max_restarts : int
        Bounds on the nodes of the zone, the newest release and the restarts
        of each node.
    max_control_restarts : int
        Bound on the restarts of the control of the zone.
    max_failovers : int
        Bound on the messages that nodes get from the remote control.
    drops_stale_updates : bool
        A node drops updates that are not newer than its release.
    certified_floor : bool
        A control replies to a floor request only when a majority of the
        voters confirms that it is current; otherwise it replies with the
        newest release that it knows.
    reply_checks_incarnation : bool
        A node takes its floor only from a reply to its present incarnation.
    zone_fallback : bool
        While the zone is isolated, a restarted node runs the newest release
        known to the control of the zone.
    durable_publication : bool
        After a restart a control still knows the newest release that it
        sent to its nodes.
    """

    nodes: int = 1
    max_number: int = 2
    max_restarts: int = 2
    max_control_restarts: int = 1
    max_failovers: int = 1
    drops_stale_updates: bool = True
    certified_floor: bool = True
    reply_checks_incarnation: bool = True
    zone_fallback: bool = False
    durable_publication: bool = True

    def initial(self):
        """Return the state before the first release."""
        return State(0, False, (0, 0), (Node(),) * self.nodes)

    def invariants(self):
        """Return the safety properties by name."""
        return {'no node rolls back': _no_rollback}

    def transitions(self, state):
        """Yield all transitions of controls, nodes and network."""
        if state.accepted < self.max_number:
            accepted = state.accepted + 1
            yield (
                f'release {accepted} is accepted',
                state._replace(accepted=accepted),
            )
        yield (
            'the zone is reconnected'
            if state.zone_isolated
            else 'the zone is isolated',
            state._replace(zone_isolated=not state.zone_isolated),
        )
        for control, number in enumerate(state.controls):
            yield from self._control_steps(state, control, number)
        for index, node in enumerate(state.nodes):
            yield from self._node_steps(state, index, node)
        for message in state.messages:
            yield from self._deliver(state, message)

    def _control_steps(self, state, control, number):
        isolated = state.zone_isolated and control == ZONE_CONTROL
        if number < state.accepted and not isolated:
            yield (
                f'control {control} learns of release {number + 1}',
                _set_control(state, control, number + 1),
            )
        if control == ZONE_CONTROL:
            yield from self._restart_control(state, number)
        is_remote = control == REMOTE_CONTROL
        if is_remote and (
            state.zone_isolated or state.failovers == self.max_failovers
        ):
            return
        counted = state._replace(failovers=state.failovers + is_remote)
        for node in range(self.nodes):
            yield (
                f'control {control} sends release {number} to node {node}',
                _send(counted, Update(node, number)),
            )
            # Only a control that knows the newest release is certified.
            current = number == state.accepted and not isolated
            if current or not self.certified_floor:
                incarnation = state.nodes[node].incarnation
                yield (
                    f'control {control} replies to node {node}:'
                    f' floor {number}',
                    _send(counted, FloorReply(node, incarnation, number)),
                )

    def _restart_control(self, state, number):
        if state.control_restarts == self.max_control_restarts:
            return
        kept = number if self.durable_publication else 0
        restarted = _set_control(state, ZONE_CONTROL, kept)
        yield (
            "the zone's control restarts",
            restarted._replace(control_restarts=state.control_restarts + 1),
        )

    def _node_steps(self, state, index, node):
        if node.incarnation < self.max_restarts:
            restarted = Node(
                incarnation=node.incarnation + 1, highest_run=node.highest_run
            )
            yield (
                f'node {index} restarts',
                _set_node(state, index, restarted),
            )
        zone_release = state.controls[ZONE_CONTROL]
        if node.received > zone_release:
            yield (
                f'node {index} reports release {node.received}',
                _set_control(state, ZONE_CONTROL, node.received),
            )
        if self.zone_fallback and state.zone_isolated and not node.ready:
            with_floor = node._replace(
                received=max(node.received, zone_release)
            )
            yield (
                f'node {index} falls back to release {with_floor.received}',
                _run_received(state, index, with_floor),
            )

    def _deliver(self, state, message):
        node = state.nodes[message.node]
        match message:
            case Update(index, release):
                if self.drops_stale_updates and release <= node.received:
                    return
                updated = node._replace(received=release)
                step = _run_received if node.ready else _set_node
                yield (
                    f'node {index} receives release {release}',
                    step(state, index, updated),
                )
            case FloorReply(index, incarnation, release):
                if node.ready or (
                    self.reply_checks_incarnation
                    and incarnation != node.incarnation
                ):
                    return
                with_floor = node._replace(
                    received=max(node.received, release)
                )
                yield (
                    f'node {index} takes {release} as its floor',
                    _run_received(state, index, with_floor),
                )


def _send(state, message):
    return state._replace(messages=state.messages | {message})


def _set_control(state, control, number):
    controls = list(state.controls)
    controls[control] = number
    return state._replace(controls=tuple(controls))


def _set_node(state, index, node):
    nodes = list(state.nodes)
    nodes[index] = node
    return state._replace(nodes=tuple(nodes))


def _run_received(state, index, node):
    """Return the state after a node starts to run its received release."""
    highest_run = max(node.highest_run, node.received)
    running = node._replace(ready=True, highest_run=highest_run)
    return _set_node(state, index, running)


def _no_rollback(state):
    return all(
        node.received >= node.highest_run for node in state.nodes if node.ready
    )
