"""Concurrent submission of release notes, with resends after lost replies.

Operators may submit different notes for the same release number. The log of
the voters is abstract: committed entries are permanent, and any prefix of the
uncommitted entries may survive an election. Notes and replies stay in sets
that only grow: each may arrive late, more than once or never, so a note that
arrives twice also stands for a resend.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

__all__ = ['CONCURRENT_NOTES', 'Note', 'Outcome', 'ReleaseRace', 'apply_log']


class Outcome(IntEnum):
    """Final outcome of a note."""

    ACCEPTED = 0
    REFUSED = 1


class Note(NamedTuple):
    """A release note.

    Parameters
    ----------
    note_id : str
        Id that the operator gave to the submission.
    number : int
        Number of the release that it creates.
    requires : str or None
        Note that must be accepted first, otherwise this one is invalid.
    """

    note_id: str
    number: int
    requires: str | None = None


CONCURRENT_NOTES = (Note('a', 1), Note('b', 1), Note('c', 2, requires='a'))


class Reply(NamedTuple):
    """Reply to the operator of a note."""

    note: Note
    outcome: Outcome


class State(NamedTuple):
    """State of the log, the leader and the sent messages.

    Parameters
    ----------
    elections : int
        Elections so far.
    committed, appended : tuple of Note
        Committed entries, and the uncommitted ones that follow in the
        leader's log.
    submitted : frozenset of Note
        Notes sent by operators.
    replies : frozenset of Reply
        Replies sent to operators.
    leader_memory : frozenset of Reply
        Replies that the leader holds in memory only.
    """

    elections: int = 0
    committed: tuple[Note, ...] = ()
    appended: tuple[Note, ...] = ()
    submitted: frozenset[Note] = frozenset()
    replies: frozenset[Reply] = frozenset()
    leader_memory: frozenset[Reply] = frozenset()


def apply_log(log, records_refusals=True):
    """Apply the notes of a log in order, each once.

    Parameters
    ----------
    log : tuple of Note
        Committed notes.
    records_refusals : bool
        Whether a refusal is recorded as the final outcome of its note.

    Returns
    -------
    dict of Note to Outcome
    """
    outcomes = {}
    for note in log:
        if note in outcomes:
            continue
        outcome = _decide(note, outcomes)
        if records_refusals or outcome is Outcome.ACCEPTED:
            outcomes[note] = outcome
    return outcomes


def _decide(note, outcomes):
    """Return the outcome of a note as if it was applied for the first time."""
    accepted = [
        known
        for known, outcome in outcomes.items()
        if outcome is Outcome.ACCEPTED
    ]
    is_valid = note.requires in {
        None,
        *(known.note_id for known in accepted),
    }
    is_newest = all(note.number > known.number for known in accepted)
    return Outcome.ACCEPTED if is_valid and is_newest else Outcome.REFUSED


@dataclass(frozen=True)
class ReleaseRace:
    """Model of the submission of release notes.

    Parameters
    ----------
    notes : tuple of Note
        Notes that operators submit.
    max_elections, max_log : int
        Bounds on the elections and the entries in the log.
    identifies_by_note : bool
        A resend is identified by its note, otherwise by its release number.
    derives_outcome_from_log : bool
        Outcomes are derived from the log; otherwise they are only in the
        memory of the leader.
    records_refusals : bool
        A refusal is recorded in the log as final, like an acceptance.
    replies_after_commit : bool
        The reply to a note is sent only once the note is committed.
    """

    notes: tuple[Note, ...] = CONCURRENT_NOTES
    max_elections: int = 2
    max_log: int = 4
    identifies_by_note: bool = True
    derives_outcome_from_log: bool = True
    records_refusals: bool = True
    replies_after_commit: bool = True

    def initial(self):
        """Return the state before any note is submitted."""
        return State()

    def invariants(self):
        """Return the safety properties by name."""
        return {
            'at most one accepted note per number': _one_accepted_per_number,
            'all replies to a note agree': _replies_are_consistent,
            'every reply matches the log': self._replies_are_true,
        }

    def transitions(self, state):
        """Yield all transitions of operators and voters."""
        for note in self.notes:
            if note not in state.submitted:
                submitted = state.submitted | {note}
                yield (
                    f'note {note.note_id} is submitted',
                    state._replace(submitted=submitted),
                )
        for note in state.submitted:
            yield from self._handle_submission(state, note)
        if state.appended:
            yield self._commit(state)
        if state.elections < self.max_elections:
            yield from self._elect(state)

    def _find_outcome(self, log, note):
        """Return the recorded outcome of a note, or None for a new note."""
        outcomes = apply_log(log, self.records_refusals)
        if self.identifies_by_note:
            return outcomes.get(note)
        same_number = [
            outcome
            for other, outcome in outcomes.items()
            if other.number == note.number
        ]
        return min(same_number, default=None)

    def _handle_submission(self, state, note):
        known_outcomes = [
            outcome
            for length in range(len(state.committed) + 1)
            if (outcome := self._find_outcome(state.committed[:length], note))
            is not None
        ]
        if not self.derives_outcome_from_log:
            known_outcomes = [
                reply.outcome
                for reply in state.leader_memory
                if reply[0] == note
            ]
        # Any control may reply, also one that has not applied the whole log.
        for outcome in known_outcomes:
            yield _send_reply(state, note, outcome)
        if (
            not known_outcomes
            and len(state.committed + state.appended) < self.max_log
        ):
            yield from self._append(state, note)

    def _append(self, state, note):
        log = state.committed + state.appended
        outcome = apply_log((*log, note))[note]
        if outcome is Outcome.REFUSED and not self.replies_after_commit:
            yield _send_reply(state, note, outcome)
            return
        appended = state._replace(appended=(*state.appended, note))
        yield f'the leader appends note {note.note_id}', appended

    def _commit(self, state):
        note, *rest = state.appended
        if self.derives_outcome_from_log:
            outcome = apply_log((*state.committed, note))[note]
        else:
            outcome = self._recall_outcome(state, note)
        reply = Reply(note, outcome)
        committed = state._replace(
            committed=(*state.committed, note),
            appended=tuple(rest),
            replies=state.replies | {reply},
        )
        if not self.derives_outcome_from_log:
            committed = committed._replace(
                leader_memory=state.leader_memory | {reply}
            )
        return f'note {note.note_id} is committed', committed

    def _recall_outcome(self, state, note):
        outcome_by_note = {
            reply.note: reply.outcome for reply in state.leader_memory
        }
        outcome = _decide(note, apply_log(state.committed))
        return outcome_by_note.get(note, outcome)

    def _elect(self, state):
        for kept in range(len(state.appended) + 1):
            with_new_leader = state._replace(
                elections=state.elections + 1,
                appended=state.appended[:kept],
                leader_memory=frozenset(),
            )
            yield (
                f'a leader with {kept} uncommitted entries is elected',
                with_new_leader,
            )

    def _replies_are_true(self, state):
        outcomes = apply_log(state.committed, self.records_refusals)
        return all(
            (reply.outcome is Outcome.ACCEPTED)
            == (outcomes.get(reply.note) is Outcome.ACCEPTED)
            for reply in state.replies
        )


def _send_reply(state, note, outcome):
    replies = state.replies | {Reply(note, outcome)}
    return (
        f'note {note.note_id} gets the reply {outcome.name}',
        state._replace(replies=replies),
    )


def _one_accepted_per_number(state):
    accepted_numbers = [
        reply.note.number
        for reply in state.replies
        if reply.outcome is Outcome.ACCEPTED
    ]
    return len(accepted_numbers) == len(set(accepted_numbers))


def _replies_are_consistent(state):
    return len({reply.note for reply in state.replies}) == len(state.replies)
