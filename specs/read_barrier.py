"""A leader proves its commit index current before it is handed out.

Leaders that were deposed do not notice. An election is one step, as the
votes of one term are covered by :mod:`specs.log_agreement`; a new leader
appends an entry of its term at once. Entries reach the other voters one by
one, and answers may be counted at any later time.
"""

from dataclasses import dataclass
from itertools import combinations
from typing import NamedTuple

__all__ = ['ReadBarrier']


class Question(NamedTuple):
    """A reader's question for the newest accepted entry.

    Parameters
    ----------
    accepted : int
        Entries accepted when the question was asked.
    index : int
        Commit index of the leader when the round began.
    """

    accepted: int
    index: int


class Voter(NamedTuple):
    """State of a voter.

    Parameters
    ----------
    term : int
        Current term.
    log : tuple of int
        Terms of its entries.
    leads : bool
        Whether it believes that it leads its term.
    commit : int
        Entries that it knows to be committed.
    holders : frozenset of (int, int)
        As leader: voters and the length of the log that each has.
    confirmed : frozenset of int
        As leader: voters that have answered in the round under way.
    question : Question or None
        As leader: the question under way.
    """

    term: int = 0
    log: tuple[int, ...] = ()
    leads: bool = False
    commit: int = 0
    holders: frozenset = frozenset()
    confirmed: frozenset = frozenset()
    question: Question | None = None


class State(NamedTuple):
    """State of the voters.

    Parameters
    ----------
    voters : tuple of Voter
        Voters by number.
    accepted : int
        Entries that some leader has counted as committed.
    stale : bool
        Whether a reader was told too little as if it were current.
    """

    voters: tuple[Voter, ...]
    accepted: int = 0
    stale: bool = False


@dataclass(frozen=True)
class ReadBarrier:
    """Model of certification.

    Parameters
    ----------
    voters, max_term, max_entries : int
        Bounds: voters, highest term, longest log.
    needs_majority : bool
        A majority must answer in the leader's term; otherwise the leader's
        own belief is enough.
    round_follows_question : bool
        Only answers to messages sent after the question count.
    needs_entry_of_term : bool
        The leader must have committed an entry of its own term.
    """

    voters: int = 3
    max_term: int = 2
    max_entries: int = 3
    needs_majority: bool = True
    round_follows_question: bool = True
    needs_entry_of_term: bool = True

    def initial(self):
        """Return the state of voters with empty logs."""
        return State((Voter(),) * self.voters)

    def invariants(self):
        """Return what readers rely on."""
        return {
            'what is certified is current': lambda state: not state.stale,
        }

    def transitions(self, state):
        """Yield all steps of all voters."""
        for number, voter in enumerate(state.voters):
            yield from self._elect(state, number, voter)
            if voter.leads:
                yield from self._append(state, number, voter)
                yield from self._reach(state, number, voter)
                yield from self._commit(state, number, voter)
                yield from self._ask(state, number, voter)
                yield from self._answer(state, number, voter)

    def _majority(self):
        return self.voters // 2 + 1

    def _elect(self, state, number, voter):
        others = [
            other
            for other, candidate in enumerate(state.voters)
            if other != number and _rank(candidate.log) <= _rank(voter.log)
        ]
        for granting in combinations(others, self._majority() - 1):
            term = 1 + max(state.voters[n].term for n in (number, *granting))
            if term > self.max_term or len(voter.log) == self.max_entries:
                continue
            log = (*voter.log, term)
            leader = Voter(term, log, leads=True, commit=voter.commit)
            changed = {number: leader}
            for other in granting:
                changed[other] = _follow(state.voters[other], term)
            yield (
                f'{number} leads term {term} by {granting}',
                _put(state, changed),
            )

    def _append(self, state, number, voter):
        if len(voter.log) < self.max_entries:
            log = (*voter.log, voter.term)
            yield (
                f'{number} appends',
                _put(state, {number: voter._replace(log=log)}),
            )

    def _reach(self, state, number, voter):
        """Reach another voter with the next entry and the commit index."""
        for other, follower in enumerate(state.voters):
            if other == number or follower.term > voter.term:
                continue
            length = min(len(voter.log), _shared(voter.log, follower.log) + 1)
            log = voter.log[:length]
            if len(follower.log) > length and follower.log[:length] == log:
                log = follower.log
            follower = _follow(follower, voter.term)._replace(
                log=log, commit=max(follower.commit, min(voter.commit, length))
            )
            leader = voter._replace(
                holders=voter.holders | {(other, length)},
                confirmed=voter.confirmed | {other},
            )
            yield (
                f'{number} reaches {other}',
                _put(state, {number: leader, other: follower}),
            )

    def _commit(self, state, number, voter):
        for length in range(voter.commit + 1, len(voter.log) + 1):
            holders = {n for n, held in voter.holders if held >= length}
            if voter.log[length - 1] != voter.term:
                continue
            if len(holders | {number}) >= self._majority():
                committed = _put(
                    state, {number: voter._replace(commit=length)}
                )
                yield (
                    f'{number} commits {length}',
                    committed._replace(accepted=max(state.accepted, length)),
                )

    def _ask(self, state, number, voter):
        own = voter.commit and voter.log[voter.commit - 1] == voter.term
        if voter.question or (self.needs_entry_of_term and not own):
            return
        question = Question(state.accepted, voter.commit)
        asked = voter._replace(question=question)
        if self.round_follows_question:
            asked = asked._replace(confirmed=frozenset())
        yield f'{number} is asked', _put(state, {number: asked})

    def _answer(self, state, number, voter):
        if voter.question is None:
            return
        confirmed = len(voter.confirmed | {number})
        if self.needs_majority and confirmed < self._majority():
            return
        question = voter.question
        answered = _put(state, {number: voter._replace(question=None)})
        yield (
            f'{number} certifies {question.index}',
            answered._replace(
                stale=state.stale or question.index < question.accepted
            ),
        )


def _rank(log):
    return (log[-1] if log else 0, len(log))


def _shared(one, other):
    """Return the length of the common first part of two logs."""
    pairs = enumerate(zip(one, other, strict=False))
    return next(
        (i for i, (a, b) in pairs if a != b), min(len(one), len(other))
    )


def _follow(voter, term):
    """Return a voter that follows a term, as it is when it already does."""
    if voter.term == term:
        return voter
    return Voter(term, voter.log, commit=voter.commit)


def _put(state, changed):
    voters = tuple(
        changed.get(number, voter) for number, voter in enumerate(state.voters)
    )
    return state._replace(voters=voters)
