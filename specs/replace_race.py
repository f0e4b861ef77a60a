"""Whole releases race on one base and are resent at any time.

The log of the voters is abstract, as in :mod:`specs.release_race`: what is
committed stays, and of what a leader has appended besides, any first part may
survive the next election. Orders and answers are sets that only grow.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

__all__ = ['RACING_ORDERS', 'Order', 'Outcome', 'ReplaceRace']


class Outcome(IntEnum):
    """Final answer to an order."""

    ACCEPTED = 0
    REFUSED = 1


class Order(NamedTuple):
    """A whole release that replaces another one.

    Parameters
    ----------
    content : str
        What the release holds.
    number, base : int
        Its number and that of the release it replaces.
    """

    content: str
    number: int
    base: int


# Two on one base, one of the same number, and one that follows.
RACING_ORDERS = (
    Order('a', 2, 0),
    Order('b', 2, 0),
    Order('c', 3, 0),
    Order('d', 5, 2),
)


class Reply(NamedTuple):
    """Answer to an order."""

    order: Order
    outcome: Outcome


class State(NamedTuple):
    """State of the log and of what was sent.

    Parameters
    ----------
    elections : int
        Changes of leader so far.
    committed, appended : tuple of Order
        Committed entries, and those that the leader has appended after.
    submitted : frozenset of Order
        Orders sent by operators.
    replies : frozenset of Reply
        Answers sent to operators.
    """

    elections: int = 0
    committed: tuple[Order, ...] = ()
    appended: tuple[Order, ...] = ()
    submitted: frozenset[Order] = frozenset()
    replies: frozenset[Reply] = frozenset()


@dataclass(frozen=True)
class ReplaceRace:
    """Model of compare and set with resends.

    Parameters
    ----------
    orders : tuple of Order
        Orders that operators send.
    max_elections, max_log : int
        Bounds: changes of leader, entries in the log.
    checks_base : bool
        An order is accepted only on the release that it builds on; otherwise
        on any lower number.
    remembers_all : bool
        A resend of any accepted order is confirmed; otherwise only of the
        newest one.
    compares_content : bool
        A resend is recognised by all of its content; otherwise by its number.
    answers_after_commit : bool
        An order is answered only once it is committed.
    waits_for_base : bool
        An order whose base is not accepted yet gets no clear answer;
        otherwise it is refused.
    """

    orders: tuple[Order, ...] = RACING_ORDERS
    max_elections: int = 2
    max_log: int = 5
    checks_base: bool = True
    remembers_all: bool = True
    compares_content: bool = True
    answers_after_commit: bool = True
    waits_for_base: bool = True

    def initial(self):
        """Return the state before any order."""
        return State()

    def invariants(self):
        """Return what operators rely on."""
        return {
            'at most one order on each base is confirmed': _one_on_a_base,
            'what is confirmed was accepted': self._confirmed_is_accepted,
            'what was accepted is not refused': _accepted_not_refused,
        }

    def transitions(self, state):
        """Yield all steps of operators and voters."""
        for order in self.orders:
            if order not in state.submitted:
                submitted = state.submitted | {order}
                yield (
                    f'{order.content} is sent',
                    state._replace(submitted=submitted),
                )
        length = len(state.committed + state.appended)
        for order in state.submitted:
            if length < self.max_log:
                yield from self._append(state, order)
        if state.appended:
            yield self._commit(state)
        if state.elections < self.max_elections:
            yield from _elect(state)

    def _accepted(self, log):
        """Return the accepted orders of a log, in order."""
        accepted = []
        for order in log:
            outcome = self._judge(order, accepted)
            resent = self._is_resend(order, accepted)
            if outcome is Outcome.ACCEPTED and not resent:
                accepted.append(order)
        return accepted

    def _is_resend(self, order, accepted):
        known = accepted if self.remembers_all else accepted[-1:]
        if self.compares_content:
            return order in known
        return order.number in {k.number for k in known}

    def _judge(self, order, accepted):
        if self._is_resend(order, accepted):
            return Outcome.ACCEPTED
        current = accepted[-1].number if accepted else 0
        if order.base > current and self.waits_for_base:
            return None
        builds = order.base == current or not self.checks_base
        fits = builds and order.number > current
        return Outcome.ACCEPTED if fits else Outcome.REFUSED

    def _append(self, state, order):
        yield (
            f'the leader appends {order.content}',
            state._replace(appended=(*state.appended, order)),
        )
        if not self.answers_after_commit:
            log = state.committed + state.appended
            outcome = self._judge(order, self._accepted(log))
            yield _reply(state, order, outcome)

    def _commit(self, state):
        order, *rest = state.appended
        outcome = self._judge(order, self._accepted(state.committed))
        label, replied = _reply(state, order, outcome)
        committed = replied._replace(
            committed=(*state.committed, order), appended=tuple(rest)
        )
        return f'{label}, once committed', committed

    def _confirmed_is_accepted(self, state):
        accepted = self._accepted(state.committed)
        return all(
            reply.order in accepted
            for reply in state.replies
            if reply.outcome is Outcome.ACCEPTED
        )


def _elect(state):
    for kept in range(len(state.appended) + 1):
        elected = state._replace(
            elections=state.elections + 1, appended=state.appended[:kept]
        )
        yield f'a leader that holds {kept} of them', elected


def _reply(state, order, outcome):
    if outcome is None:
        return f'{order.content} gets no clear answer', state
    replies = state.replies | {Reply(order, outcome)}
    return (
        f'{order.content} is answered {outcome.name}',
        state._replace(replies=replies),
    )


def _one_on_a_base(state):
    bases = [
        reply.order.base
        for reply in state.replies
        if reply.outcome is Outcome.ACCEPTED
    ]
    return len(bases) == len(set(bases))


def _accepted_not_refused(state):
    accepted = {
        r.order for r in state.replies if r.outcome is Outcome.ACCEPTED
    }
    refused = {r.order for r in state.replies if r.outcome is Outcome.REFUSED}
    return not accepted & refused
