"""Concurrent replacements of a base release, with resends at any time.

The log of the voters is abstract, as in :mod:`specs.release_race`: committed
entries are permanent, and any prefix of the uncommitted entries may survive
an election. Replacements and replies stay in sets that only grow.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

__all__ = ['CONCURRENT_REPLACEMENTS', 'Outcome', 'ReplaceRace', 'Replacement']


class Outcome(IntEnum):
    """Final outcome of a replacement."""

    ACCEPTED = 0
    REFUSED = 1


class Replacement(NamedTuple):
    """A complete release that replaces its base release.

    Parameters
    ----------
    content : str
        Content of the release.
    number, base : int
        Number of the release, and number of the release that it replaces.
    """

    content: str
    number: int
    base: int


# Three on the same base, two of them with the same number, and one whose
# base is created by one of the others.
CONCURRENT_REPLACEMENTS = (
    Replacement('a', 2, 0),
    Replacement('b', 2, 0),
    Replacement('c', 3, 0),
    Replacement('d', 5, 2),
)


class Reply(NamedTuple):
    """Reply to the operator of a replacement."""

    replacement: Replacement
    outcome: Outcome


class State(NamedTuple):
    """State of the log and the sent messages.

    Parameters
    ----------
    elections : int
        Elections so far.
    committed, appended : tuple of Replacement
        Committed entries, and the uncommitted ones that follow in the
        leader's log.
    submitted : frozenset of Replacement
        Replacements sent by operators.
    replies : frozenset of Reply
        Replies sent to operators.
    """

    elections: int = 0
    committed: tuple[Replacement, ...] = ()
    appended: tuple[Replacement, ...] = ()
    submitted: frozenset[Replacement] = frozenset()
    replies: frozenset[Reply] = frozenset()


@dataclass(frozen=True)
class ReplaceRace:
    """Model of the replacement of releases by compare-and-set with resends.

    Parameters
    ----------
    replacements : tuple of Replacement
        Replacements that operators send.
    max_elections, max_log : int
        Bounds on the elections and the entries in the log.
    checks_base : bool
        A replacement is accepted only if its base is the current release;
        otherwise if its number is higher than that of the current release.
    remembers_all_accepted : bool
        A resend of any accepted replacement is confirmed; otherwise only a
        resend of the newest one.
    compares_content : bool
        A resend is identified by its whole content, otherwise by its number.
    replies_after_commit : bool
        The reply to a replacement is sent only once it is committed.
    defers_unknown_base : bool
        A replacement whose base is not accepted yet gets an inconclusive
        reply; otherwise it is refused.
    """

    replacements: tuple[Replacement, ...] = CONCURRENT_REPLACEMENTS
    max_elections: int = 2
    max_log: int = 5
    checks_base: bool = True
    remembers_all_accepted: bool = True
    compares_content: bool = True
    replies_after_commit: bool = True
    defers_unknown_base: bool = True

    def initial(self):
        """Return the state before any replacement is sent."""
        return State()

    def invariants(self):
        """Return the safety properties by name."""
        return {
            'at most one replacement of each base is confirmed': (
                _one_confirmed_per_base
            ),
            'confirmed replacements are accepted': self._confirmed_accepted,
            'accepted replacements are not refused': _accepted_not_refused,
        }

    def transitions(self, state):
        """Yield all transitions of operators and voters."""
        for replacement in self.replacements:
            if replacement not in state.submitted:
                submitted = state.submitted | {replacement}
                yield (
                    f'replacement {replacement.content} is sent',
                    state._replace(submitted=submitted),
                )
        length = len(state.committed + state.appended)
        for replacement in state.submitted:
            if length < self.max_log:
                yield from self._append(state, replacement)
        if state.appended:
            yield self._commit(state)
        if state.elections < self.max_elections:
            yield from _elect(state)

    def _list_accepted(self, log):
        """Return the accepted replacements of a log, in log order."""
        accepted = []
        for replacement in log:
            outcome = self._decide(replacement, accepted)
            resent = self._is_resend(replacement, accepted)
            if outcome is Outcome.ACCEPTED and not resent:
                accepted.append(replacement)
        return accepted

    def _is_resend(self, replacement, accepted):
        remembered = accepted if self.remembers_all_accepted else accepted[-1:]
        if self.compares_content:
            return replacement in remembered
        return replacement.number in {known.number for known in remembered}

    def _decide(self, replacement, accepted):
        if self._is_resend(replacement, accepted):
            return Outcome.ACCEPTED
        current = accepted[-1].number if accepted else 0
        if replacement.base > current and self.defers_unknown_base:
            return None
        base_matches = replacement.base == current or not self.checks_base
        is_valid = base_matches and replacement.number > current
        return Outcome.ACCEPTED if is_valid else Outcome.REFUSED

    def _append(self, state, replacement):
        yield (
            f'the leader appends replacement {replacement.content}',
            state._replace(appended=(*state.appended, replacement)),
        )
        if not self.replies_after_commit:
            log = state.committed + state.appended
            outcome = self._decide(replacement, self._list_accepted(log))
            yield _send_reply(state, replacement, outcome)

    def _commit(self, state):
        replacement, *rest = state.appended
        outcome = self._decide(
            replacement, self._list_accepted(state.committed)
        )
        label, replied = _send_reply(state, replacement, outcome)
        committed = replied._replace(
            committed=(*state.committed, replacement), appended=tuple(rest)
        )
        return f'{label} after its commit', committed

    def _confirmed_accepted(self, state):
        accepted = self._list_accepted(state.committed)
        return all(
            reply.replacement in accepted
            for reply in state.replies
            if reply.outcome is Outcome.ACCEPTED
        )


def _elect(state):
    for kept in range(len(state.appended) + 1):
        with_new_leader = state._replace(
            elections=state.elections + 1, appended=state.appended[:kept]
        )
        yield (
            f'a leader with {kept} uncommitted entries is elected',
            with_new_leader,
        )


def _send_reply(state, replacement, outcome):
    if outcome is None:
        return (
            f'replacement {replacement.content} gets an inconclusive reply',
            state,
        )
    replies = state.replies | {Reply(replacement, outcome)}
    return (
        f'replacement {replacement.content} gets the reply {outcome.name}',
        state._replace(replies=replies),
    )


def _one_confirmed_per_base(state):
    bases = [
        reply.replacement.base
        for reply in state.replies
        if reply.outcome is Outcome.ACCEPTED
    ]
    return len(bases) == len(set(bases))


def _accepted_not_refused(state):
    accepted = {
        r.replacement for r in state.replies if r.outcome is Outcome.ACCEPTED
    }
    refused = {
        r.replacement for r in state.replies if r.outcome is Outcome.REFUSED
    }
    return not accepted & refused
