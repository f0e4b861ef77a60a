"""Linearizable reads: a leader confirms its commit index before serving it.

A deposed leader does not learn that it was deposed. An election is one step,
since :mod:`specs.log_agreement` covers the votes within a term; a new leader
appends an entry of its term at once. Entries are replicated one by one, and
replies may be counted at any later time.
"""

from dataclasses import dataclass
from itertools import combinations
from typing import NamedTuple

__all__ = ['ReadBarrier']


class ReadRequest(NamedTuple):
    """Request for the newest accepted entry.

    Parameters
    ----------
    accepted : int
        Entries accepted when the request was made.
    commit_index : int
        Commit index of the leader when it started the heartbeat round.
    """

    accepted: int
    commit_index: int


class Voter(NamedTuple):
    """State of a voter.

    Parameters
    ----------
    term : int
        Current term.
    log : tuple of int
        Terms of the log entries.
    is_leader : bool
        Whether it believes that it leads its term.
    commit : int
        Commit index, as known to the voter.
    replicated : frozenset of (int, int)
        As leader: voters and the log length that each acknowledged.
    confirmed : frozenset of int
        As leader: voters that replied in the current heartbeat round.
    read_request : ReadRequest or None
        As leader: the read request in progress.
    """

    term: int = 0
    log: tuple[int, ...] = ()
    is_leader: bool = False
    commit: int = 0
    replicated: frozenset = frozenset()
    confirmed: frozenset = frozenset()
    read_request: ReadRequest | None = None


class State(NamedTuple):
    """State of the voters.

    Parameters
    ----------
    voters : tuple of Voter
        Voters by id.
    accepted : int
        Highest commit index of any leader.
    stale_read : bool
        Whether a read returned less than was accepted when it was requested.
    """

    voters: tuple[Voter, ...]
    accepted: int = 0
    stale_read: bool = False


@dataclass(frozen=True)
class ReadBarrier:
    """Model of the certification of reads.

    Parameters
    ----------
    voters, max_term, max_entries : int
        Bounds on the voters, the term and the length of the log.
    requires_majority : bool
        A majority must reply in the leader's term; otherwise the leader
        serves reads without confirming that it still leads.
    ignores_earlier_replies : bool
        Only replies to messages sent after the read request count.
    requires_entry_of_term : bool
        The leader must have committed an entry of its own term.
    """

    voters: int = 3
    max_term: int = 2
    max_entries: int = 3
    requires_majority: bool = True
    ignores_earlier_replies: bool = True
    requires_entry_of_term: bool = True

    def initial(self):
        """Return the state of voters with empty logs."""
        return State((Voter(),) * self.voters)

    def invariants(self):
        """Return the safety properties by name."""
        return {
            'certified reads are current': lambda state: not state.stale_read,
        }

    def transitions(self, state):
        """Yield all transitions of all voters."""
        for voter_id, voter in enumerate(state.voters):
            yield from self._elect(state, voter_id, voter)
            if voter.is_leader:
                yield from self._append(state, voter_id, voter)
                yield from self._replicate(state, voter_id, voter)
                yield from self._commit(state, voter_id, voter)
                yield from self._start_read(state, voter_id, voter)
                yield from self._complete_read(state, voter_id, voter)

    def _majority(self):
        return self.voters // 2 + 1

    def _elect(self, state, voter_id, voter):
        others = [
            other
            for other, candidate in enumerate(state.voters)
            if other != voter_id
            and _up_to_date_key(candidate.log) <= _up_to_date_key(voter.log)
        ]
        for granters in combinations(others, self._majority() - 1):
            term = 1 + max(state.voters[n].term for n in (voter_id, *granters))
            if term > self.max_term or len(voter.log) == self.max_entries:
                continue
            log = (*voter.log, term)
            leader = Voter(term, log, is_leader=True, commit=voter.commit)
            changed = {voter_id: leader}
            for other in granters:
                changed[other] = _follow(state.voters[other], term)
            yield (
                f'voter {voter_id} leads term {term}, granted by {granters}',
                _update_voters(state, changed),
            )

    def _append(self, state, voter_id, voter):
        if len(voter.log) < self.max_entries:
            log = (*voter.log, voter.term)
            yield (
                f'voter {voter_id} appends',
                _update_voters(state, {voter_id: voter._replace(log=log)}),
            )

    def _replicate(self, state, voter_id, voter):
        """Replicate the next entry and the commit index to another voter."""
        for other, follower in enumerate(state.voters):
            if other == voter_id or follower.term > voter.term:
                continue
            length = min(
                len(voter.log),
                _common_prefix_length(voter.log, follower.log) + 1,
            )
            log = voter.log[:length]
            if len(follower.log) > length and follower.log[:length] == log:
                log = follower.log
            follower = _follow(follower, voter.term)._replace(
                log=log, commit=max(follower.commit, min(voter.commit, length))
            )
            leader = voter._replace(
                replicated=voter.replicated | {(other, length)},
                confirmed=voter.confirmed | {other},
            )
            yield (
                f'voter {voter_id} replicates to {other}',
                _update_voters(state, {voter_id: leader, other: follower}),
            )

    def _commit(self, state, voter_id, voter):
        for length in range(voter.commit + 1, len(voter.log) + 1):
            replicas = {
                n for n, matched in voter.replicated if matched >= length
            }
            if voter.log[length - 1] != voter.term:
                continue
            if len(replicas | {voter_id}) >= self._majority():
                committed = _update_voters(
                    state, {voter_id: voter._replace(commit=length)}
                )
                yield (
                    f'voter {voter_id} commits up to {length}',
                    committed._replace(accepted=max(state.accepted, length)),
                )

    def _start_read(self, state, voter_id, voter):
        own_term_committed = (
            voter.commit and voter.log[voter.commit - 1] == voter.term
        )
        if voter.read_request or (
            self.requires_entry_of_term and not own_term_committed
        ):
            return
        read_request = ReadRequest(state.accepted, voter.commit)
        reading = voter._replace(read_request=read_request)
        if self.ignores_earlier_replies:
            reading = reading._replace(confirmed=frozenset())
        yield (
            f'voter {voter_id} starts a read',
            _update_voters(state, {voter_id: reading}),
        )

    def _complete_read(self, state, voter_id, voter):
        if voter.read_request is None:
            return
        confirmations = len(voter.confirmed | {voter_id})
        if self.requires_majority and confirmations < self._majority():
            return
        read_request = voter.read_request
        completed = _update_voters(
            state, {voter_id: voter._replace(read_request=None)}
        )
        yield (
            f'voter {voter_id} certifies {read_request.commit_index}',
            completed._replace(
                stale_read=state.stale_read
                or read_request.commit_index < read_request.accepted
            ),
        )


def _up_to_date_key(log):
    return (log[-1] if log else 0, len(log))


def _common_prefix_length(one, other):
    """Return the length of the common prefix of two logs."""
    pairs = enumerate(zip(one, other, strict=False))
    return next(
        (i for i, (a, b) in pairs if a != b), min(len(one), len(other))
    )


def _follow(voter, term):
    """Return a voter as follower of a term, unchanged if it has that term."""
    if voter.term == term:
        return voter
    return Voter(term, voter.log, commit=voter.commit)


def _update_voters(state, changed):
    voters = tuple(
        changed.get(voter_id, voter)
        for voter_id, voter in enumerate(state.voters)
    )
    return state._replace(voters=voters)
