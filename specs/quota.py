"""Tokens of a customer's rate limit, with two granters and lost messages.

A leader creates tokens at discrete times and grants them to two nodes. A token
that was granted may be used until it lapses; the granter counts it for as
long. A node tells how many tokens it still has. The next leader knows nothing
of what was granted, and the one before it, which may be cut off from the
majority, goes on for as long as its last confirmation counts. Nodes restart,
messages are lost and arrive late.

The property is that of the exact bucket with its tolerance: in any window the
requests that run stay within the capacity, what is created in the window, and
what a new leader may create while it waits.
"""

from dataclasses import dataclass
from typing import NamedTuple

__all__ = ['Quota']


class Lot(NamedTuple):
    """Tokens of one grant.

    Parameters
    ----------
    node, amount : int
        Node, and tokens.
    lapses_at : int
        Time from which they can no longer be used.
    """

    node: int
    amount: int
    lapses_at: int


class Granter(NamedTuple):
    """One leader.

    Parameters
    ----------
    started_at : int
        Start of its term.
    level : int
        Tokens in its bucket.
    lots : tuple of Lot
        Grants that it counts.
    """

    started_at: int
    level: int
    lots: tuple[Lot, ...] = ()


class State(NamedTuple):
    """State of granters, nodes and network.

    Parameters
    ----------
    now : int
        Time.
    granters : tuple of Granter
        Leaders so far, the newest last.
    hands : tuple of Lot
        Tokens at the nodes.
    replies : tuple of tuple of (Lot, int)
        Grants on their way, and the times when they were asked for.
    runs : tuple of int
        Requests that ran, by time.
    restarts : int
        Restarts of nodes.
    """

    now: int
    granters: tuple[Granter, ...]
    hands: tuple[Lot, ...] = ()
    replies: tuple[tuple[Lot, int], ...] = ()
    runs: tuple[int, ...] = (0,)
    restarts: int = 0


@dataclass(frozen=True)
class Quota:
    """Model of grants that must not add up to more than the limit.

    Parameters
    ----------
    capacity : int
        Capacity of the bucket; one token is created in each unit of time.
    window, hold, end : int
        Length of the window, time for which a token may be used, and end of
        the search, in units of time.
    nodes, max_leaders, max_restarts : int
        Bounds on the nodes, leaders and restarts.
    waits_for_lapse : bool
        A new leader starts with an empty bucket and creates nothing until the
        grants of the one before have lapsed.
    confirms_leadership : bool
        A leader grants only for one unit of time after a majority confirmed
        it, so not later than that after the next one has started.
    counts_until_lapse : bool
        A granter counts tokens that were not reported until they lapse.
    holds_from_request : bool
        A node counts the time for which it may use a token from its request,
        not from the reply.
    bounds_by_room : bool
        Tokens in the bucket and at the nodes together stay within the
        capacity.
    """

    capacity: int = 2
    window: int = 3
    hold: int = 2
    end: int = 6
    nodes: int = 2
    max_leaders: int = 2
    max_restarts: int = 1
    waits_for_lapse: bool = True
    confirms_leadership: bool = True
    counts_until_lapse: bool = True
    holds_from_request: bool = True
    bounds_by_room: bool = True

    def initial(self):
        """Return the state with a full bucket."""
        return State(0, (Granter(-self.end, self.capacity),))

    def invariants(self):
        """Return the safety properties by name."""
        return {'no window exceeds the limit': self._is_within_limit}

    def transitions(self, state):
        """Yield all transitions of time, granters, nodes and network."""
        if state.now < self.end:
            yield 'time passes', self._tick(state)
        if len(state.granters) < self.max_leaders:
            level = 0 if self.waits_for_lapse else self.capacity
            started = Granter(state.now, level)
            yield (
                'another control leads',
                state._replace(granters=(*state.granters, started)),
            )
        for node in range(self.nodes):
            for index in range(len(state.granters)):
                if self._may_grant(state, index):
                    yield from self._ask(state, node, index)
            if state.restarts < self.max_restarts:
                yield (
                    f'node {node} restarts',
                    state._replace(
                        hands=_without(state.hands, node),
                        restarts=state.restarts + 1,
                    ),
                )
        for reply in set(state.replies):
            yield self._receive(state, reply)
        for lot in set(state.hands):
            yield (
                f'node {lot.node} uses a token until {lot.lapses_at}',
                self._run(state, lot),
            )

    def _is_within_limit(self, state):
        recent = state.runs[-self.window :]
        # Tokens are created between the units of time.
        return sum(recent) <= self.capacity + self.window - 1

    def _tick(self, state):
        now = state.now + 1
        granters = []
        for granter in state.granters:
            lots = tuple(x for x in granter.lots if x.lapses_at > now)
            created = int(
                not self.waits_for_lapse
                or now > granter.started_at + self._lapse + 1
            )
            # Room is that before the lapses: tokens that were not created
            # because of it are not created afterwards.
            room = self._room(granter)
            level = granter.level + min(created, max(0, room))
            granters.append(granter._replace(level=level, lots=lots))
        return state._replace(
            now=now,
            granters=tuple(granters),
            hands=tuple(x for x in state.hands if x.lapses_at > now),
            replies=tuple(
                (lot, asked_at)
                for lot, asked_at in state.replies
                if not self.holds_from_request or asked_at + self.hold > now
            ),
            runs=(*state.runs, 0)[-self.window :],
        )

    @property
    def _lapse(self):
        return self.hold if self.counts_until_lapse else 0

    def _room(self, granter):
        held = sum(lot.amount for lot in granter.lots)
        if not self.bounds_by_room:
            held = 0
        return self.capacity - granter.level - held

    def _may_grant(self, state, index):
        if index == len(state.granters) - 1 or not self.confirms_leadership:
            return True
        return state.now <= state.granters[index + 1].started_at

    def _ask(self, state, node, index):
        granter = state.granters[index]
        held = sum(lot.amount for lot in state.hands if lot.node == node)
        lots = granter.lots
        if self.holds_from_request and not any(
            lot.node == node for lot, _ in state.replies
        ):
            lots = _reduce(lots, node, held)
        reported = granter._replace(lots=lots)
        for amount in {1, granter.level} - {0}:
            if amount > granter.level:
                continue
            lot = Lot(node, amount, state.now + self.hold)
            counted = (*lots, lot) if self.counts_until_lapse else lots
            granted = reported._replace(
                level=granter.level - amount, lots=counted
            )
            yield (
                f'granter {index} grants {amount} to node {node}',
                state._replace(
                    granters=_replace_at(state.granters, index, granted),
                    replies=tuple(sorted((*state.replies, (lot, state.now)))),
                ),
            )

    def _receive(self, state, reply):
        lot, asked_at = reply
        start = asked_at if self.holds_from_request else state.now
        held = lot._replace(lapses_at=start + self.hold)
        return (
            f'node {lot.node} gets {lot.amount} asked for at {asked_at}',
            state._replace(
                hands=tuple(sorted((*state.hands, held))),
                replies=_remove(state.replies, reply),
            ),
        )

    def _run(self, state, lot):
        left = _remove(state.hands, lot)
        if lot.amount > 1:
            left = tuple(sorted((*left, lot._replace(amount=lot.amount - 1))))
        return state._replace(
            hands=left, runs=(*state.runs[:-1], state.runs[-1] + 1)
        )


def _without(lots, node):
    return tuple(lot for lot in lots if lot.node != node)


def _reduce(lots, node, held):
    """Return the lots with those of a node reduced to what it holds."""
    reduced = []
    for lot in reversed(lots):
        if lot.node == node:
            amount = min(lot.amount, held)
            held -= amount
            lot = lot._replace(amount=amount)
        if lot.amount:
            reduced.append(lot)
    return tuple(reversed(reduced))


def _remove(items, item):
    index = items.index(item)
    return (*items[:index], *items[index + 1 :])


def _replace_at(items, index, item):
    return (*items[:index], item, *items[index + 1 :])
