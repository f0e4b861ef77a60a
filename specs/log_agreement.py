"""Agreement of the voters on the log of accepted releases.

Voters elect a leader for each term, the leader appends entries and counts
answers, voters crash and come back with their disk. Messages are a set that
only grows: one that was sent may arrive late, more than once, out of order
or never.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

__all__ = ['LogAgreement']


class Role(IntEnum):
    """Part that a voter plays; lost at a crash."""

    FOLLOWER = 0
    CANDIDATE = 1
    LEADER = 2


class Entry(NamedTuple):
    """Log entry, named by the leader that made it."""

    term: int
    leader: int


class Voter(NamedTuple):
    """State of a voter; all but the role is on its disk."""

    term: int = 0
    voted_for: int | None = None
    role: Role = Role.FOLLOWER
    log: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Asks all voters for their vote."""

    term: int
    candidate: int
    last_term: int
    length: int


@dataclass(frozen=True, slots=True)
class Vote:
    """A vote for a candidate."""

    term: int
    voter: int
    candidate: int


@dataclass(frozen=True, slots=True)
class Append:
    """One entry of the leader's log, for all voters."""

    term: int
    leader: int
    index: int
    previous_term: int
    entry: Entry


@dataclass(frozen=True, slots=True)
class Ack:
    """A voter's log equals the leader's up to a length."""

    term: int
    voter: int
    length: int


class State(NamedTuple):
    """State of all voters, with what the properties need to remember.

    Parameters
    ----------
    voters : tuple of Voter
        Voters by number.
    messages : frozenset
        Messages sent so far that can still have an effect.
    winners : frozenset of (int, int)
        Terms and the leaders that they had.
    committed : tuple of Entry
        Entries that a leader has counted as committed.
    committed_term : int
        Term of the leader that counted the last of them.
    agreed : bool
        Whether all leaders counted the same entries as committed.
    """

    voters: tuple[Voter, ...]
    messages: frozenset = frozenset()
    winners: frozenset = frozenset()
    committed: tuple[Entry, ...] = ()
    committed_term: int = 0
    agreed: bool = True


def _last_term(log):
    return log[-1].term if log else 0


def _can_matter(message, voters):
    """Tell whether some voter may still act on a message."""
    match message:
        case VoteRequest(term):
            return any(
                v.term < term or (v.term == term and v.voted_for is None)
                for v in voters
            )
        case Vote(term, _, candidate):
            return (voters[candidate].role, voters[candidate].term) == (
                Role.CANDIDATE,
                term,
            )
        case Append(term):
            return any(v.term <= term for v in voters)
        case Ack(term):
            return any(
                v.role is Role.LEADER and v.term == term for v in voters
            )


def _append_messages(number, voter, first):
    """Return the messages for the entries from an index on."""
    return {
        Append(voter.term, number, i, _last_term(voter.log[:i]), voter.log[i])
        for i in range(first, len(voter.log))
    }


@dataclass(frozen=True)
class LogAgreement:
    """Model of the replicated log.

    Parameters
    ----------
    voters, max_term, max_entries : int
        Bounds: voters, highest term, longest log.
    durable_vote : bool
        A vote is on disk before it is sent.
    current_term_rule : bool
        A leader counts answers only for entries of its own term; older
        ones are committed with them.
    up_to_date_check : bool
        A vote goes only to a candidate whose log is at least as up to date.
    """

    voters: int = 3
    max_term: int = 3
    max_entries: int = 1
    durable_vote: bool = True
    current_term_rule: bool = True
    up_to_date_check: bool = True

    def initial(self):
        """Return the state of voters with empty disks."""
        return State((Voter(),) * self.voters)

    def invariants(self):
        """Return the properties of the log."""
        return {
            'one leader per term': _one_leader_per_term,
            'committed entries never differ': lambda state: state.agreed,
            'committed entries never vanish': _leaders_hold_committed,
        }

    def transitions(self, state):
        """Yield all steps of all voters."""
        for number, voter in enumerate(state.voters):
            yield from self._crash(state, number, voter)
            match voter.role:
                case Role.LEADER:
                    yield from self._append(state, number, voter)
                    yield from self._commit(state, number, voter)
                case Role.CANDIDATE:
                    yield from self._win(state, number, voter)
            yield from self._campaign(state, number, voter)
            for message in state.messages:
                yield from self._receive(state, number, voter, message)

    def _majority(self):
        return self.voters // 2 + 1

    def _is_news(self, state, number, voter, sent):
        return voter != state.voters[number] or not state.messages >= set(sent)

    def _put(self, state, number, voter, sent=()):
        """Replace a voter and send messages; forget those without effect."""
        voters = (*state.voters[:number], voter, *state.voters[number + 1 :])
        messages = state.messages.union(sent)
        obsolete = [m for m in messages if not _can_matter(m, voters)]
        messages = messages.difference(obsolete)
        return state._replace(voters=voters, messages=messages)

    def _crash(self, state, number, voter):
        restarted = voter._replace(role=Role.FOLLOWER)
        if not self.durable_vote:
            restarted = restarted._replace(voted_for=None)
        if restarted != voter:
            yield f'{number} crashes', self._put(state, number, restarted)

    def _campaign(self, state, number, voter):
        term = voter.term + 1
        if term > self.max_term or voter.role is Role.LEADER:
            return
        candidate = Voter(term, number, Role.CANDIDATE, voter.log)
        request = VoteRequest(
            term, number, _last_term(voter.log), len(voter.log)
        )
        yield (
            f'{number} campaigns in term {term}',
            self._put(state, number, candidate, {request}),
        )

    def _win(self, state, number, voter):
        votes = {
            message.voter
            for message in state.messages
            if isinstance(message, Vote)
            and (message.term, message.candidate) == (voter.term, number)
        }
        if len(votes | {number}) < self._majority():
            return
        leader = voter._replace(role=Role.LEADER)
        sent = _append_messages(number, leader, 0)
        elected = self._put(state, number, leader, sent)
        yield (
            f'{number} leads term {voter.term}',
            elected._replace(winners=state.winners | {(voter.term, number)}),
        )

    def _append(self, state, number, voter):
        if len(voter.log) == self.max_entries:
            return
        leader = voter._replace(log=(*voter.log, Entry(voter.term, number)))
        sent = _append_messages(number, leader, len(voter.log))
        yield f'{number} appends', self._put(state, number, leader, sent)

    def _commit(self, state, number, voter):
        for length in range(1, len(voter.log) + 1):
            old_term = voter.log[length - 1].term != voter.term
            if self.current_term_rule and old_term:
                continue
            holders = {
                message.voter
                for message in state.messages
                if isinstance(message, Ack)
                and message.term == voter.term
                and message.length >= length
            }
            if len(holders | {number}) >= self._majority():
                yield (
                    f'{number} commits {length}',
                    _count_committed(state, voter, length),
                )

    def _receive(self, state, number, voter, message):
        match message:
            case VoteRequest():
                yield from self._vote(state, number, voter, message)
            case Append(leader=leader) if leader != number:
                yield from self._store(state, number, voter, message)

    def _vote(self, state, number, voter, request):
        if request.term < voter.term or request.candidate == number:
            return
        if request.term > voter.term:
            voter = Voter(request.term, log=voter.log)
        up_to_date = (request.last_term, request.length) >= (
            _last_term(voter.log),
            len(voter.log),
        )
        vote = ()
        free = voter.voted_for in (None, request.candidate)
        if free and (up_to_date or not self.up_to_date_check):
            voter = voter._replace(voted_for=request.candidate)
            vote = {Vote(request.term, number, request.candidate)}
        if self._is_news(state, number, voter, vote):
            yield (
                f'{number} answers {request}',
                self._put(state, number, voter, vote),
            )

    def _store(self, state, number, voter, append):
        if append.term < voter.term:
            return
        if append.term > voter.term:
            voter = Voter(append.term, log=voter.log)
        if voter.role is Role.CANDIDATE:
            voter = voter._replace(role=Role.FOLLOWER)
        ack = ()
        before = voter.log[: append.index]
        known = len(before) == append.index
        if known and _last_term(before) == append.previous_term:
            held = voter.log[append.index : append.index + 1]
            if not held or held[0].term != append.entry.term:
                voter = voter._replace(log=(*before, append.entry))
            ack = {Ack(append.term, number, append.index + 1)}
        if self._is_news(state, number, voter, ack):
            yield (
                f'{number} takes {append}',
                self._put(state, number, voter, ack),
            )


def _count_committed(state, leader, length):
    """Record that a leader counts a part of its log as committed."""
    counted = leader.log[:length]
    shorter, longer = sorted((counted, state.committed), key=len)
    return state._replace(
        committed=longer,
        committed_term=max(state.committed_term, leader.term),
        agreed=state.agreed and longer[: len(shorter)] == shorter,
    )


def _one_leader_per_term(state):
    return len({term for term, _ in state.winners}) == len(state.winners)


def _leaders_hold_committed(state):
    return all(
        voter.log[: len(state.committed)] == state.committed
        for voter in state.voters
        if voter.role is Role.LEADER and voter.term > state.committed_term
    )
