"""Replacement of voters whose disks are lost, one after another.

Each control has one member at a time, identified by the control and the
generation of its disk. An election is one step, since
:mod:`specs.log_agreement` covers the votes within a term; a new leader appends
an entry at once, which stands for an accepted release once it is committed.
Entries are replicated one by one, and acknowledgements may be counted late. A
disk is lost only while the present members of all controls are the voters,
that is, once the replacement after an earlier loss is complete.
"""

from dataclasses import dataclass
from itertools import combinations
from typing import NamedTuple

__all__ = ['DiskLoss']


class MemberId(NamedTuple):
    """Identifies the disk of a control by its generation."""

    control: int
    generation: int = 0


class Entry(NamedTuple):
    """Log entry; one with ``voters`` is a configuration."""

    term: int
    leader: MemberId | None = None
    voters: frozenset[MemberId] | None = None


class Member(NamedTuple):
    """State of a control's present disk and of its process.

    Parameters
    ----------
    member_id : MemberId
        Identity of the disk.
    term : int
        Current term.
    log : tuple of Entry
        Log entries.
    is_leader : bool
        Whether it believes that it leads its term.
    commit : int
        Length of the log prefix that it committed as leader of its term.
    """

    member_id: MemberId
    term: int = 0
    log: tuple[Entry, ...] = ()
    is_leader: bool = False
    commit: int = 0


@dataclass(frozen=True, slots=True)
class Ack:
    """Acknowledgement that a log matches the leader's up to a length."""

    term: int
    member_id: MemberId
    length: int


class State(NamedTuple):
    """State of all controls.

    Parameters
    ----------
    members : tuple of Member
        Present member of each control.
    disk_losses : int
        Disks lost so far.
    acks : frozenset of Ack
        Acknowledgements that a leader may still count.
    elected_leaders : frozenset of (int, MemberId)
        Terms and the leaders elected in them.
    committed : tuple of Entry
        Longest log prefix that some leader committed.
    committed_term : int
        Highest term of a leader that committed an entry.
    agreed : bool
        Whether the prefixes committed by all leaders agree.
    """

    members: tuple[Member, ...]
    disk_losses: int
    acks: frozenset[Ack]
    elected_leaders: frozenset
    committed: tuple[Entry, ...]
    committed_term: int = 0
    agreed: bool = True


def _voters(log):
    """Return the voters of the newest configuration in a log.

    A configuration takes effect as soon as it is appended.
    """
    found = (e.voters for e in reversed(log) if e.voters is not None)
    return next(found, frozenset())


def _majority(voters):
    return len(voters) // 2 + 1


def _up_to_date_key(log):
    return (log[-1].term if log else -1, len(log))


def _common_prefix_length(one, other):
    pairs = enumerate(zip(one, other, strict=False))
    return next(
        (i for i, (a, b) in pairs if a != b), min(len(one), len(other))
    )


@dataclass(frozen=True)
class DiskLoss:
    """Model of the replacement of voters after the loss of their disks.

    Parameters
    ----------
    controls, max_losses, max_elections : int
        Bounds on the controls that vote, the disks lost and the terms.
    new_member_id : bool
        A control that lost its disk returns as a new member.
    single_voter_changes : bool
        The old member is removed before the new one becomes a voter.
    waits_for_commit : bool
        A configuration is appended only once the previous one and an entry
        of the leader's term are committed.
    """

    controls: int = 3
    max_losses: int = 2
    max_elections: int = 3
    new_member_id: bool = True
    single_voter_changes: bool = True
    waits_for_commit: bool = True

    def initial(self):
        """Return the state just after the bootstrap of the cluster."""
        ids = tuple(MemberId(number) for number in range(self.controls))
        log = (Entry(0, voters=frozenset(ids)),)
        members = tuple(Member(member_id, log=log) for member_id in ids)
        return State(members, 0, frozenset(), frozenset(), log)

    def invariants(self):
        """Return the safety properties by name."""
        return {
            'accepted releases agree': lambda state: state.agreed,
            'leaders hold accepted releases': _leaders_hold_committed,
            'accepted releases are stored on a disk': _committed_is_stored,
            'one leader per term': _one_leader_per_term,
        }

    def transitions(self, state):
        """Yield all transitions of all controls."""
        for member in state.members:
            yield from self._elect(state, member)
            if member.is_leader:
                yield from self._replicate(state, member)
                yield from self._commit(state, member)
                yield from self._change_voters(state, member)
            yield from self._lose_disk(state, member)

    def _update_members(self, state, *changed):
        members = list(state.members)
        for member in changed:
            members[member.member_id.control] = member
        terms = {member.term for member in members if member.is_leader}
        acks = frozenset(ack for ack in state.acks if ack.term in terms)
        return state._replace(members=tuple(members), acks=acks)

    def _elect(self, state, candidate):
        voters = _voters(candidate.log)
        if candidate.member_id not in voters:
            return
        eligible = [
            member
            for member in state.members
            if member.member_id in voters
            and member != candidate
            and _up_to_date_key(member.log) <= _up_to_date_key(candidate.log)
        ]
        for others in combinations(eligible, _majority(voters) - 1):
            term = 1 + max(m.term for m in (candidate, *others))
            if term <= self.max_elections:
                yield self._become_leader(state, candidate, others, term)

    def _become_leader(self, state, candidate, others, term):
        leader_id = candidate.member_id
        log = (*candidate.log, Entry(term, leader_id))
        leader = Member(leader_id, term, log, is_leader=True)
        followers = [
            other._replace(term=term, is_leader=False, commit=0)
            for other in others
        ]
        with_leader = self._update_members(state, leader, *followers)._replace(
            elected_leaders=state.elected_leaders | {(term, leader_id)}
        )
        granters = ', '.join(str(m.member_id.control) for m in others)
        return (
            f'control {leader_id.control} leads term {term},'
            f' granted by {granters}',
            with_leader,
        )

    def _replicate(self, state, leader):
        for member in state.members:
            if member == leader or member.term > leader.term:
                continue
            length = _common_prefix_length(leader.log, member.log)
            if length == len(leader.log):
                continue
            updated = Member(
                member.member_id, leader.term, leader.log[: length + 1]
            )
            ack = Ack(leader.term, member.member_id, length + 1)
            replicated = self._update_members(state, updated)
            yield (
                f'control {member.member_id.control} receives'
                f' entry {length + 1} from control {leader.member_id.control}',
                replicated._replace(acks=replicated.acks | {ack}),
            )

    def _acked(self, state, leader, length):
        """Return the members whose logs match the leader's up to a length."""
        return {
            ack.member_id
            for ack in state.acks
            if ack.term == leader.term and ack.length >= length
        } | {leader.member_id}

    def _commit(self, state, leader):
        voters = _voters(leader.log)
        for length in range(leader.commit + 1, len(leader.log) + 1):
            if leader.log[length - 1].term != leader.term:
                continue
            acked = self._acked(state, leader, length) & voters
            if len(acked) < _majority(voters):
                continue
            prefix = leader.log[:length]
            shorter, longer = sorted((prefix, state.committed), key=len)
            committed = self._update_members(
                state, leader._replace(commit=length)
            )
            yield (
                f'control {leader.member_id.control} commits up to {length}',
                committed._replace(
                    committed=longer,
                    committed_term=max(state.committed_term, leader.term),
                    agreed=state.agreed and longer[: len(shorter)] == shorter,
                ),
            )

    def _change_voters(self, state, leader):
        """Append the next configuration that a replacement requires."""
        pending = any(
            entry.voters is not None for entry in leader.log[leader.commit :]
        )
        if self.waits_for_commit and (pending or not leader.commit):
            return
        voters = _voters(leader.log)
        for member in state.members:
            new = member.member_id
            caught_up = new in self._acked(state, leader, leader.commit)
            if new in voters or not caught_up:
                continue
            old = {v for v in voters if v.control == new.control}
            if not self.single_voter_changes:
                changed = (voters - old) | {new}
            elif old:
                changed = voters - old
            else:
                changed = voters | {new}
            entry = Entry(leader.term, leader.member_id, changed)
            appended = leader._replace(log=(*leader.log, entry))
            voter_names = sorted(
                f'{v.control}{"*" * v.generation}' for v in changed
            )
            yield (
                f'control {leader.member_id.control} sets voters'
                f' {" ".join(voter_names)}',
                self._update_members(state, appended),
            )

    def _lose_disk(self, state, member):
        present = {m.member_id for m in state.members}
        replacement_done = _voters(state.committed) == present
        if state.disk_losses == self.max_losses or not replacement_done:
            return
        old = member.member_id
        generation = old.generation + 1 if self.new_member_id else 0
        empty = Member(MemberId(old.control, generation))
        yield (
            f'control {old.control} loses its disk',
            self._update_members(state, empty)._replace(
                disk_losses=state.disk_losses + 1
            ),
        )


def _leaders_hold_committed(state):
    return all(
        member.log[: len(state.committed)] == state.committed
        for member in state.members
        if member.is_leader and member.term > state.committed_term
    )


def _committed_is_stored(state):
    return any(
        member.log[: len(state.committed)] == state.committed
        for member in state.members
    )


def _one_leader_per_term(state):
    return len({term for term, _ in state.elected_leaders}) == len(
        state.elected_leaders
    )
