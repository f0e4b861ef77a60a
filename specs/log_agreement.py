"""Agreement of the voters on the replicated log of accepted releases.

Voters elect a leader for each term; the leader appends entries and counts
acknowledgements; voters crash and restart with their disk. Messages stay in a
set, so that one that was sent may arrive late, more than once, out of order
or never.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

__all__ = ['LogAgreement']


class Role(IntEnum):
    """Role of a voter in its term; a crash makes it a follower."""

    FOLLOWER = 0
    CANDIDATE = 1
    LEADER = 2


class Entry(NamedTuple):
    """Log entry, identified by its term and the leader that appended it."""

    term: int
    leader: int


class Voter(NamedTuple):
    """State of a voter; everything except the role is on disk."""

    term: int = 0
    voted_for: int | None = None
    role: Role = Role.FOLLOWER
    log: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Request of a candidate to all voters for their vote.

    Parameters
    ----------
    term, candidate : int
        Term of the election and the candidate.
    last_term, length : int
        Term of the last entry of the candidate's log, and its length.
    """

    term: int
    candidate: int
    last_term: int
    length: int


@dataclass(frozen=True, slots=True)
class Vote:
    """Vote of a voter for a candidate."""

    term: int
    voter: int
    candidate: int


@dataclass(frozen=True, slots=True)
class Append:
    """Replication of one log entry from a leader to all voters.

    Parameters
    ----------
    term, leader : int
        Term and the leader of the term.
    index : int
        Index of the entry, from 0.
    previous_term : int
        Term of the entry before it, 0 without one.
    entry : Entry
        The entry.
    """

    term: int
    leader: int
    index: int
    previous_term: int
    entry: Entry


@dataclass(frozen=True, slots=True)
class Ack:
    """Acknowledgement that a log matches the leader's up to a length."""

    term: int
    voter: int
    length: int


class State(NamedTuple):
    """State of all voters, with the history that the properties refer to.

    Parameters
    ----------
    voters : tuple of Voter
        Voters by id.
    messages : frozenset
        Messages sent so far that can still have an effect.
    elected_leaders : frozenset of (int, int)
        Terms and the leaders elected in them.
    committed : tuple of Entry
        Longest log prefix that some leader committed.
    committed_term : int
        Highest term of a leader that committed an entry.
    agreed : bool
        Whether the prefixes committed by all leaders agree.
    """

    voters: tuple[Voter, ...]
    messages: frozenset = frozenset()
    elected_leaders: frozenset = frozenset()
    committed: tuple[Entry, ...] = ()
    committed_term: int = 0
    agreed: bool = True


def _last_term(log):
    return log[-1].term if log else 0


def _has_effect(message, voters):
    """Return whether a message can still change the state of a voter."""
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


def _append_messages(voter_id, voter, first):
    """Return the messages that replicate the entries from an index on."""
    return {
        Append(
            voter.term, voter_id, i, _last_term(voter.log[:i]), voter.log[i]
        )
        for i in range(first, len(voter.log))
    }


@dataclass(frozen=True)
class LogAgreement:
    """Model of the replicated log.

    Parameters
    ----------
    voters, max_term, max_entries : int
        Bounds on the voters, the term and the length of the log.
    durable_vote : bool
        A vote is on disk before it is sent.
    commits_only_own_term : bool
        A leader counts acknowledgements only for entries of its own term;
        earlier entries are committed together with them.
    vote_checks_log : bool
        A vote is granted only to a candidate whose log is at least as up to
        date as the voter's.
    """

    voters: int = 3
    max_term: int = 3
    max_entries: int = 1
    durable_vote: bool = True
    commits_only_own_term: bool = True
    vote_checks_log: bool = True

    def initial(self):
        """Return the state of voters with empty disks."""
        return State((Voter(),) * self.voters)

    def invariants(self):
        """Return the safety properties by name."""
        return {
            'one leader per term': _one_leader_per_term,
            'committed entries agree': lambda state: state.agreed,
            'leaders hold committed entries': _leaders_hold_committed,
        }

    def transitions(self, state):
        """Yield all transitions of all voters."""
        for voter_id, voter in enumerate(state.voters):
            yield from self._crash(state, voter_id, voter)
            match voter.role:
                case Role.LEADER:
                    yield from self._append(state, voter_id, voter)
                    yield from self._commit(state, voter_id, voter)
                case Role.CANDIDATE:
                    yield from self._become_leader(state, voter_id, voter)
            yield from self._campaign(state, voter_id, voter)
            for message in state.messages:
                yield from self._deliver(state, voter_id, voter, message)

    def _majority(self):
        return self.voters // 2 + 1

    def _changes_state(self, state, voter_id, voter, sent):
        return voter != state.voters[voter_id] or not state.messages >= set(
            sent
        )

    def _update_voter(self, state, voter_id, voter, sent=()):
        """Return the state with one voter replaced and messages sent.

        Messages without further effect are dropped, which merges states that
        behave the same.
        """
        voters = (
            *state.voters[:voter_id],
            voter,
            *state.voters[voter_id + 1 :],
        )
        messages = state.messages.union(sent)
        obsolete = [m for m in messages if not _has_effect(m, voters)]
        messages = messages.difference(obsolete)
        return state._replace(voters=voters, messages=messages)

    def _crash(self, state, voter_id, voter):
        restarted = voter._replace(role=Role.FOLLOWER)
        if not self.durable_vote:
            restarted = restarted._replace(voted_for=None)
        if restarted != voter:
            yield (
                f'voter {voter_id} crashes',
                self._update_voter(state, voter_id, restarted),
            )

    def _campaign(self, state, voter_id, voter):
        term = voter.term + 1
        if term > self.max_term or voter.role is Role.LEADER:
            return
        candidate = Voter(term, voter_id, Role.CANDIDATE, voter.log)
        request = VoteRequest(
            term, voter_id, _last_term(voter.log), len(voter.log)
        )
        yield (
            f'voter {voter_id} starts an election in term {term}',
            self._update_voter(state, voter_id, candidate, {request}),
        )

    def _become_leader(self, state, voter_id, voter):
        votes = {
            message.voter
            for message in state.messages
            if isinstance(message, Vote)
            and (message.term, message.candidate) == (voter.term, voter_id)
        }
        if len(votes | {voter_id}) < self._majority():
            return
        leader = voter._replace(role=Role.LEADER)
        sent = _append_messages(voter_id, leader, 0)
        with_leader = self._update_voter(state, voter_id, leader, sent)
        yield (
            f'voter {voter_id} leads term {voter.term}',
            with_leader._replace(
                elected_leaders=state.elected_leaders
                | {(voter.term, voter_id)}
            ),
        )

    def _append(self, state, voter_id, voter):
        if len(voter.log) == self.max_entries:
            return
        leader = voter._replace(log=(*voter.log, Entry(voter.term, voter_id)))
        sent = _append_messages(voter_id, leader, len(voter.log))
        yield (
            f'voter {voter_id} appends',
            self._update_voter(state, voter_id, leader, sent),
        )

    def _commit(self, state, voter_id, voter):
        for length in range(1, len(voter.log) + 1):
            old_term = voter.log[length - 1].term != voter.term
            if self.commits_only_own_term and old_term:
                continue
            acked = {
                message.voter
                for message in state.messages
                if isinstance(message, Ack)
                and message.term == voter.term
                and message.length >= length
            }
            if len(acked | {voter_id}) >= self._majority():
                yield (
                    f'voter {voter_id} commits up to {length}',
                    _record_commit(state, voter, length),
                )

    def _deliver(self, state, voter_id, voter, message):
        match message:
            case VoteRequest():
                yield from self._receive_vote_request(
                    state, voter_id, voter, message
                )
            case Append(leader=leader) if leader != voter_id:
                yield from self._receive_append(
                    state, voter_id, voter, message
                )

    def _receive_vote_request(self, state, voter_id, voter, request):
        if request.term < voter.term or request.candidate == voter_id:
            return
        if request.term > voter.term:
            voter = Voter(request.term, log=voter.log)
        up_to_date = (request.last_term, request.length) >= (
            _last_term(voter.log),
            len(voter.log),
        )
        vote = ()
        can_vote = voter.voted_for in (None, request.candidate)
        if can_vote and (up_to_date or not self.vote_checks_log):
            voter = voter._replace(voted_for=request.candidate)
            vote = {Vote(request.term, voter_id, request.candidate)}
        if self._changes_state(state, voter_id, voter, vote):
            yield (
                f'voter {voter_id} replies to {request}',
                self._update_voter(state, voter_id, voter, vote),
            )

    def _receive_append(self, state, voter_id, voter, append):
        if append.term < voter.term:
            return
        if append.term > voter.term:
            voter = Voter(append.term, log=voter.log)
        if voter.role is Role.CANDIDATE:
            voter = voter._replace(role=Role.FOLLOWER)
        ack = ()
        before = voter.log[: append.index]
        has_previous = len(before) == append.index
        if has_previous and _last_term(before) == append.previous_term:
            existing = voter.log[append.index : append.index + 1]
            if not existing or existing[0].term != append.entry.term:
                voter = voter._replace(log=(*before, append.entry))
            ack = {Ack(append.term, voter_id, append.index + 1)}
        if self._changes_state(state, voter_id, voter, ack):
            yield (
                f'voter {voter_id} receives {append}',
                self._update_voter(state, voter_id, voter, ack),
            )


def _record_commit(state, leader, length):
    """Return the state after a leader commits a prefix of its log."""
    prefix = leader.log[:length]
    shorter, longer = sorted((prefix, state.committed), key=len)
    return state._replace(
        committed=longer,
        committed_term=max(state.committed_term, leader.term),
        agreed=state.agreed and longer[: len(shorter)] == shorter,
    )


def _one_leader_per_term(state):
    return len({term for term, _ in state.elected_leaders}) == len(
        state.elected_leaders
    )


def _leaders_hold_committed(state):
    return all(
        voter.log[: len(state.committed)] == state.committed
        for voter in state.voters
        if voter.role is Role.LEADER and voter.term > state.committed_term
    )
