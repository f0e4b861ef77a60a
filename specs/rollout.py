"""Grants of requests to a new version, and the end of its rollout.

A leader reserves requests in the log and grants them to nodes for a time. Its
replies are late by any time or lost. A leader may be deposed without knowing
it, and nodes restart without what they were granted. The rollout is rolled
back once; a command of a deposed leader may be applied after that.
"""

from dataclasses import dataclass
from typing import NamedTuple

__all__ = ['RolloutGrants']

LEASE = 1


class Node(NamedTuple):
    """State of a node.

    Parameters
    ----------
    limit, sent : int
        Requests that it may send, and has sent, in its incarnation.
    lease_end : int
        Last step of the clock at which it may send.
    knows_end : bool
        Whether it was told that the rollout was rolled back.
    """

    limit: int = 0
    sent: int = 0
    lease_end: int = -1
    knows_end: bool = False


class Leader(NamedTuple):
    """State of a control that became the leader.

    Parameters
    ----------
    pool : int
        Reservations that it knows to be committed.
    granted : int
        Requests that it takes as granted.
    limits : tuple of int or None
        Limit that it granted to each node; None before the first grant.
    deposed_at : int or None
        When another leader was elected; it does not know.
    knows_end : bool
        Whether it led when the rollout was rolled back, or afterwards.
    """

    pool: int
    granted: int
    limits: tuple
    deposed_at: int | None = None
    knows_end: bool = False


class State(NamedTuple):
    """State of the log, the leaders and the nodes.

    Parameters
    ----------
    now : int
        Clock.
    reserved : int
        Requests reserved by committed entries.
    rolled_back_at : int or None
        When the rollout was rolled back.
    leaders : tuple of Leader
        Leaders in the order of their election.
    nodes : tuple of Node
        The nodes.
    replies : frozenset of tuple
        Replies under way: node, time of the request, limit.
    sent : int
        Requests that all nodes have sent to the new version.
    restarts : int
        Restarts of nodes.
    late : bool
        Whether a request was sent when all leases should have ended.
    resumed : bool
        Whether the rollout went on after it was rolled back.
    """

    now: int
    reserved: int
    rolled_back_at: int | None
    leaders: tuple
    nodes: tuple
    replies: frozenset = frozenset()
    sent: int = 0
    restarts: int = 0
    late: bool = False
    resumed: bool = False


def _replace(values, index, value):
    return (*values[:index], value, *values[index + 1 :])


@dataclass(frozen=True)
class RolloutGrants:
    """Model of the exposure of a new version.

    Parameters
    ----------
    node_count, max_exposure, max_time, max_elections, max_restarts : int
        Bounds of the search; ``max_exposure`` is the bound to be kept.
    reserves_first : bool
        A leader grants only what a committed entry has reserved.
    counts_earlier : bool
        A new leader takes all that was reserved as granted.
    leases_from_request : bool
        A lease counts from when the node asked, not from the reply.
    steps_down : bool
        A leader that applies an entry of a later one no longer leads.
    checks_majority : bool
        A leader without contact to a majority grants nothing.
    end_is_final : bool
        Commands that come after the end have no effect.
    """

    node_count: int = 2
    max_exposure: int = 2
    max_time: int = 3
    max_elections: int = 1
    max_restarts: int = 1
    reserves_first: bool = True
    counts_earlier: bool = True
    leases_from_request: bool = True
    steps_down: bool = True
    checks_majority: bool = True
    end_is_final: bool = True

    def initial(self):
        """Return the state right after the order."""
        nodes = (Node(),) * self.node_count
        return State(0, 0, None, (self._make_leader(0),), nodes)

    def _make_leader(self, reserved):
        granted = reserved if self.counts_earlier else 0
        return Leader(reserved, granted, (None,) * self.node_count)

    def invariants(self):
        """Return the safety properties by name."""
        return {
            'exposure is bounded': (
                lambda state: state.sent <= self.max_exposure
            ),
            'nothing is sent after the leases of a rollback': (
                lambda state: not state.late
            ),
            'rolled back is final': lambda state: not state.resumed,
        }

    def transitions(self, state):
        """Yield all transitions of leaders, nodes and the clock."""
        if state.now < self.max_time:
            yield 'time passes', state._replace(now=state.now + 1)
        yield from self._lead(state)
        for index in range(len(state.leaders)):
            for node in range(self.node_count):
                if self._may_grant(state, state.leaders[index]):
                    yield (
                        f'leader {index} grants node {node} a request',
                        self._grant(state, index, node),
                    )
        for reply in state.replies:
            yield f'reply {reply} arrives', self._deliver(state, reply)
        for index in range(self.node_count):
            yield from self._act(state, index)

    def _lead(self, state):
        is_running = state.rolled_back_at is None
        if is_running and state.reserved < self.max_exposure:
            reserved = state.reserved + 1
            leaders = tuple(
                leader._replace(pool=reserved)
                if leader.deposed_at is None or not self.steps_down
                else leader
                for leader in state.leaders
            )
            yield (
                'a reservation is committed',
                state._replace(reserved=reserved, leaders=leaders),
            )
        if is_running:
            yield (
                'the rollout is rolled back',
                state._replace(
                    rolled_back_at=state.now,
                    leaders=(
                        *state.leaders[:-1],
                        state.leaders[-1]._replace(knows_end=True),
                    ),
                ),
            )
        elif not self.end_is_final:
            yield (
                'a late command is applied',
                state._replace(rolled_back_at=None, resumed=True),
            )
        if len(state.leaders) <= self.max_elections:
            deposed = state.leaders[-1]._replace(deposed_at=state.now)
            yield (
                'a leader is elected',
                state._replace(
                    leaders=(
                        *state.leaders[:-1],
                        deposed,
                        self._make_leader(state.reserved)._replace(
                            knows_end=not is_running
                        ),
                    )
                ),
            )

    def _may_grant(self, state, leader):
        if leader.knows_end:
            return False
        is_cut_off = (
            leader.deposed_at is not None and state.now > leader.deposed_at
        )
        if self.checks_majority and is_cut_off:
            return False
        pool = leader.pool if self.reserves_first else self.max_exposure
        return leader.granted < pool

    def _grant(self, state, index, node):
        leader = state.leaders[index]
        known = leader.limits[node]
        limit = (state.nodes[node].sent if known is None else known) + 1
        leader = leader._replace(
            granted=leader.granted + 1,
            limits=_replace(leader.limits, node, limit),
        )
        return state._replace(
            leaders=_replace(state.leaders, index, leader),
            replies=state.replies | {(node, state.now, limit)},
        )

    def _deliver(self, state, reply):
        index, asked_at, limit = reply
        start = asked_at if self.leases_from_request else state.now
        node = state.nodes[index]._replace(
            limit=limit, lease_end=start + LEASE
        )
        return state._replace(
            nodes=_replace(state.nodes, index, node),
            replies=state.replies - {reply},
        )

    def _act(self, state, index):
        node = state.nodes[index]
        if (
            not node.knows_end
            and node.sent < node.limit
            and state.now <= node.lease_end
        ):
            ended_at = state.rolled_back_at
            is_late = ended_at is not None and state.now > ended_at + LEASE
            yield (
                f'node {index} sends a request',
                state._replace(
                    nodes=_replace(
                        state.nodes, index, node._replace(sent=node.sent + 1)
                    ),
                    sent=state.sent + 1,
                    late=state.late or is_late,
                ),
            )
        if state.rolled_back_at is not None and not node.knows_end:
            yield (
                f'node {index} is told of the end',
                state._replace(
                    nodes=_replace(
                        state.nodes, index, node._replace(knows_end=True)
                    )
                ),
            )
        if state.restarts < self.max_restarts:
            leaders = tuple(
                leader._replace(limits=_replace(leader.limits, index, None))
                for leader in state.leaders
            )
            yield (
                f'node {index} restarts',
                state._replace(
                    nodes=_replace(state.nodes, index, Node()),
                    leaders=leaders,
                    # Replies to the earlier process are lost with it.
                    replies=frozenset(
                        r for r in state.replies if r[0] != index
                    ),
                    restarts=state.restarts + 1,
                ),
            )
