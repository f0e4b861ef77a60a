"""A voter loses its disk, is replaced as a new member, then another is lost.

Each control has one member at a time, named by the control and the
generation of its disk. Elections are one step, since the votes of one term
are covered by :mod:`specs.log_agreement`; a new leader appends an entry at
once, which stands for an accepted release when it is committed. Entries
reach the other members one by one, answers may be counted late. A disk is
lost only while all other disks are whole and belong to voters.
"""

from dataclasses import dataclass
from itertools import combinations
from typing import NamedTuple

__all__ = ['DiskLoss']


class MemberId(NamedTuple):
    """Names the disk of a control."""

    control: int
    generation: int = 0


class Entry(NamedTuple):
    """Log entry of a term; a configuration lists all voters."""

    term: int
    leader: MemberId | None = None
    voters: frozenset[MemberId] | None = None


class Member(NamedTuple):
    """State of a control's present disk, and of its process.

    Parameters
    ----------
    member_id : MemberId
        Name of the disk.
    term : int
        Current term.
    log : tuple of Entry
        Log.
    leads : bool
        Whether it believes that it leads its term.
    commit : int
        Entries that it has counted as committed in its term.
    """

    member_id: MemberId
    term: int = 0
    log: tuple[Entry, ...] = ()
    leads: bool = False
    commit: int = 0


@dataclass(frozen=True, slots=True)
class Ack:
    """A member's log equals that of the leader of a term up to a length."""

    term: int
    member_id: MemberId
    length: int


class State(NamedTuple):
    """State of all controls.

    Parameters
    ----------
    members : tuple of Member
        Present member of each control.
    losses : int
        Disks lost so far.
    acks : frozenset of Ack
        Answers that a leader may still count.
    winners : frozenset of (int, MemberId)
        Terms and the leaders that they had.
    committed : tuple of Entry
        Entries that a leader has counted as committed.
    committed_term : int
        Term of the leader that counted the last of them.
    agreed : bool
        Whether all leaders counted the same entries as committed.
    """

    members: tuple[Member, ...]
    losses: int
    acks: frozenset[Ack]
    winners: frozenset
    committed: tuple[Entry, ...]
    committed_term: int = 0
    agreed: bool = True


def _voters(log):
    """Return the voters of the newest configuration, committed or not."""
    found = (e.voters for e in reversed(log) if e.voters is not None)
    return next(found, frozenset())


def _majority(voters):
    return len(voters) // 2 + 1


def _rank(log):
    return (log[-1].term if log else -1, len(log))


def _shared_length(one, other):
    pairs = enumerate(zip(one, other, strict=False))
    return next(
        (i for i, (a, b) in pairs if a != b), min(len(one), len(other))
    )


@dataclass(frozen=True)
class DiskLoss:
    """Model of the replacement of members.

    Parameters
    ----------
    controls, max_losses, max_elections : int
        Bounds: controls that vote, disks lost, terms.
    new_identity : bool
        A control without its disk comes back as another member.
    one_voter_at_a_time : bool
        The old member leaves before the new one votes.
    changes_wait : bool
        A configuration follows only once the one before and an entry of
        the leader's term are committed.
    """

    controls: int = 3
    max_losses: int = 2
    max_elections: int = 3
    new_identity: bool = True
    one_voter_at_a_time: bool = True
    changes_wait: bool = True

    def initial(self):
        """Return the state just after the cluster was founded."""
        ids = tuple(MemberId(number) for number in range(self.controls))
        log = (Entry(0, voters=frozenset(ids)),)
        members = tuple(Member(member_id, log=log) for member_id in ids)
        return State(members, 0, frozenset(), frozenset(), log)

    def invariants(self):
        """Return the properties of accepted releases."""
        return {
            'accepted releases agree': lambda state: state.agreed,
            'leaders hold accepted releases': _leaders_hold_committed,
            'accepted releases are on a disk': _is_on_a_disk,
            'one leader per term': _one_leader_per_term,
        }

    def transitions(self, state):
        """Yield all steps of all controls."""
        for member in state.members:
            yield from self._elect(state, member)
            if member.leads:
                yield from self._replicate(state, member)
                yield from self._commit(state, member)
                yield from self._change(state, member)
            yield from self._lose_disk(state, member)

    def _put(self, state, *changed):
        members = list(state.members)
        for member in changed:
            members[member.member_id.control] = member
        terms = {member.term for member in members if member.leads}
        acks = frozenset(ack for ack in state.acks if ack.term in terms)
        return state._replace(members=tuple(members), acks=acks)

    def _elect(self, state, candidate):
        voters = _voters(candidate.log)
        if candidate.member_id not in voters:
            return
        present = [
            member
            for member in state.members
            if member.member_id in voters
            and member != candidate
            and _rank(member.log) <= _rank(candidate.log)
        ]
        for others in combinations(present, _majority(voters) - 1):
            term = 1 + max(m.term for m in (candidate, *others))
            if term <= self.max_elections:
                yield self._win(state, candidate, others, term)

    def _win(self, state, candidate, others, term):
        me = candidate.member_id
        log = (*candidate.log, Entry(term, me))
        leader = Member(me, term, log, leads=True)
        followers = [
            other._replace(term=term, leads=False, commit=0)
            for other in others
        ]
        elected = self._put(state, leader, *followers)._replace(
            winners=state.winners | {(term, me)}
        )
        names = ', '.join(str(m.member_id.control) for m in others)
        return f'{me.control} leads term {term} by {names}', elected

    def _replicate(self, state, leader):
        for member in state.members:
            if member == leader or member.term > leader.term:
                continue
            length = _shared_length(leader.log, member.log)
            if length == len(leader.log):
                continue
            taken = Member(
                member.member_id, leader.term, leader.log[: length + 1]
            )
            ack = Ack(leader.term, member.member_id, length + 1)
            replicated = self._put(state, taken)
            yield (
                f'{member.member_id.control} takes entry {length + 1}'
                f' of {leader.member_id.control}',
                replicated._replace(acks=replicated.acks | {ack}),
            )

    def _acked(self, state, leader, length):
        """Return the members that acknowledged a length in this term."""
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
            counted = leader.log[:length]
            shorter, longer = sorted((counted, state.committed), key=len)
            committed = self._put(state, leader._replace(commit=length))
            yield (
                f'{leader.member_id.control} commits {length}',
                committed._replace(
                    committed=longer,
                    committed_term=max(state.committed_term, leader.term),
                    agreed=state.agreed and longer[: len(shorter)] == shorter,
                ),
            )

    def _change(self, state, leader):
        """Append the next configuration that a replacement needs."""
        pending = any(
            entry.voters is not None for entry in leader.log[leader.commit :]
        )
        if self.changes_wait and (pending or not leader.commit):
            return
        voters = _voters(leader.log)
        for member in state.members:
            new = member.member_id
            caught_up = new in self._acked(state, leader, leader.commit)
            if new in voters or not caught_up:
                continue
            old = {v for v in voters if v.control == new.control}
            if not self.one_voter_at_a_time:
                changed = (voters - old) | {new}
            elif old:
                changed = voters - old
            else:
                changed = voters | {new}
            entry = Entry(leader.term, leader.member_id, changed)
            appended = leader._replace(log=(*leader.log, entry))
            names = sorted(f'{v.control}{"*" * v.generation}' for v in changed)
            yield (
                f'{leader.member_id.control} makes voters {" ".join(names)}',
                self._put(state, appended),
            )

    def _lose_disk(self, state, member):
        present = {m.member_id for m in state.members}
        whole = _voters(state.committed) == present
        if state.losses == self.max_losses or not whole:
            return
        old = member.member_id
        generation = old.generation + 1 if self.new_identity else 0
        empty = Member(MemberId(old.control, generation))
        yield (
            f'{old.control} loses its disk',
            self._put(state, empty)._replace(losses=state.losses + 1),
        )


def _leaders_hold_committed(state):
    return all(
        member.log[: len(state.committed)] == state.committed
        for member in state.members
        if member.leads and member.term > state.committed_term
    )


def _is_on_a_disk(state):
    return any(
        member.log[: len(state.committed)] == state.committed
        for member in state.members
    )


def _one_leader_per_term(state):
    return len({term for term, _ in state.winners}) == len(state.winners)
