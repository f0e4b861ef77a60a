"""Leases that bound the use of a revoked API key.

Release 1 has the key and release 2 has not. A request is authenticated at one
node and may be forwarded to another one, beside the target. Either node may
hold release 1 for ever, wait for any time, be suspended or restarted, or ask
a control that is cut off from the majority.
"""

from dataclasses import dataclass
from typing import NamedTuple

__all__ = ['Revocation']

NEVER = -1
ORIGIN, TARGET_NODE = 0, 1
NODES = (ORIGIN, TARGET_NODE)
NAMES = ('the first node', 'the node of the target')


class Node(NamedTuple):
    """State of one node.

    Parameters
    ----------
    release : int
        Release that the node holds.
    lag : int
        Time by which the clock that it uses for leases is behind.
    asked_at : int
        Time by its clock at which it asked for a lease, or ``NEVER``.
    certified : int
        Release that the reply on its way to the node names; 0 without one.
    ends : tuple of int
        End of its leases for release 1 and for release 2, by its clock.
    """

    release: int = 1
    lag: int = 0
    asked_at: int = NEVER
    certified: int = 0
    ends: tuple = (NEVER, NEVER)


class State(NamedTuple):
    """State of the nodes and of one request at a time.

    Parameters
    ----------
    now : int
        Time.
    acknowledged_at : int
        Time at which release 2 was acknowledged, or ``NEVER``.
    nodes : tuple of Node
        The node where requests enter, and the node beside the target.
    request_at : int
        Node at which a request waits, or ``NEVER``.
    restarts : int
        Number of restarts of nodes.
    late : bool
        Whether a request was sent to the target after the bound.
    """

    now: int = 0
    acknowledged_at: int = NEVER
    nodes: tuple = (Node(), Node())
    request_at: int = NEVER
    restarts: int = 0
    late: bool = False


@dataclass(frozen=True)
class Revocation:
    """Model of leases on the use of API keys.

    Parameters
    ----------
    bound, max_time, max_restarts : int
        Bound on revocation, length of a run and number of restarts.
    counts_from_request : bool
        A lease is counted from when the node asked, not from the reply.
    counts_suspension : bool
        The clock of the leases goes on during a suspension and is not set.
    requires_certification : bool
        A control answers only after a majority has certified its release.
    checks_after_wait : bool
        The lease is checked again after the request has waited.
    checks_at_target_node : bool
        The node beside the target checks its own lease and release.
    binds_to_release : bool
        A lease counts only for the certified release and later ones.
    """

    bound: int = 2
    max_time: int = 3
    max_restarts: int = 1
    counts_from_request: bool = True
    counts_suspension: bool = True
    requires_certification: bool = True
    checks_after_wait: bool = True
    checks_at_target_node: bool = True
    binds_to_release: bool = True

    def initial(self):
        """Return the state in which both nodes hold release 1."""
        return State()

    def invariants(self):
        """Return the safety properties by name."""
        return {
            'no request is sent with a key that was revoked too long ago': (
                lambda state: not state.late
            ),
        }

    def transitions(self, state):
        """Yield all transitions."""
        if state.now < self.max_time:
            yield 'time passes', _pass_time(state)
            if not self.counts_suspension:
                yield from self._suspend(state)
        if state.acknowledged_at == NEVER:
            revoked = state._replace(acknowledged_at=state.now)
            yield 'release 2 is acknowledged', revoked
        for index in NODES:
            for label, successor in self._change_node(state, index):
                yield f'{NAMES[index]} {label}', successor
        yield from self._handle_request(state)

    def _suspend(self, state):
        for index in NODES:
            node = state.nodes[index]
            suspended = _replace_node(
                state, index, node._replace(lag=node.lag + 1)
            )
            label = f'time passes and {NAMES[index]} is suspended'
            yield label, _pass_time(suspended)

    def _change_node(self, state, index):
        node = state.nodes[index]
        is_revoked = state.acknowledged_at != NEVER
        if is_revoked and node.release == 1:
            # It never sends the request again, whatever leases it gets.
            updated = Node(release=2, lag=node.lag)
            yield 'gets release 2', _replace_node(state, index, updated)
        if node.release == 1:
            yield from self._renew_lease(state, index)
        if state.restarts < self.max_restarts:
            # It may get the old release from a control that is cut off.
            restarted = _replace_node(state, index, Node(lag=node.lag))
            if state.request_at == index:
                restarted = restarted._replace(request_at=NEVER)
            label = 'restarts and gets release 1'
            yield label, restarted._replace(restarts=state.restarts + 1)

    def _renew_lease(self, state, index):
        node = state.nodes[index]
        if node.asked_at == NEVER:
            asked = node._replace(asked_at=state.now - node.lag)
            yield 'asks for a lease', _replace_node(state, index, asked)
            return
        lost = node._replace(asked_at=NEVER, certified=0)
        yield 'gives up asking', _replace_node(state, index, lost)
        if node.certified:
            updated = self._record_lease(node, state.now - node.lag)
            yield 'gets a lease', _replace_node(state, index, updated)
            return
        newest = 1 if state.acknowledged_at == NEVER else 2
        answered = node._replace(certified=newest)
        yield 'is answered', _replace_node(state, index, answered)
        if not self.requires_certification:
            answered = node._replace(certified=1)
            label = 'is answered by a control that is cut off'
            yield label, _replace_node(state, index, answered)

    def _record_lease(self, node, clock):
        counted_from = node.asked_at if self.counts_from_request else clock
        ends = list(node.ends)
        position = node.certified - 1
        end = counted_from + self.bound
        if end > clock:
            ends[position] = max(ends[position], end)
        return node._replace(asked_at=NEVER, certified=0, ends=tuple(ends))

    def _may_send(self, state, index):
        """Return whether a node may send on a request with the key."""
        node = state.nodes[index]
        usable = node.ends[: node.release]
        if not self.binds_to_release:
            usable = node.ends
        return node.release == 1 and max(usable) > state.now - node.lag

    def _handle_request(self, state):
        if state.request_at == NEVER:
            if self._may_send(state, ORIGIN):
                yield 'a request is read', state._replace(request_at=ORIGIN)
            return
        refused = state._replace(request_at=NEVER)
        if state.request_at == ORIGIN:
            checks = self.checks_after_wait
            if checks and not self._may_send(state, ORIGIN):
                yield 'the request is refused', refused
                return
            yield 'the request is sent to the target', self._send(state)
            forwarded = state._replace(request_at=TARGET_NODE)
            yield 'the request is forwarded', forwarded
            return
        checks = self.checks_after_wait and self.checks_at_target_node
        if checks and not self._may_send(state, TARGET_NODE):
            yield 'the request is refused by the node of the target', refused
            return
        yield 'the forwarded request is sent to the target', self._send(state)

    def _send(self, state):
        is_late = (
            state.acknowledged_at != NEVER
            and state.now >= state.acknowledged_at + self.bound
        )
        return state._replace(request_at=NEVER, late=state.late or is_late)


def _pass_time(state):
    """Let time pass; leases that have ended count as none."""
    now = state.now + 1
    nodes = tuple(
        node._replace(
            ends=tuple(e if e > now - node.lag else NEVER for e in node.ends)
        )
        for node in state.nodes
    )
    return state._replace(now=now, nodes=nodes)


def _replace_node(state, index, node):
    nodes = list(state.nodes)
    nodes[index] = node
    return state._replace(nodes=tuple(nodes))
