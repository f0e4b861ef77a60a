"""Operators race with equal numbers and resend notes whose answer was lost.

The log of the voters is abstract: what is committed stays, and of what a
leader has appended besides, any first part may survive the next election.
Notes and answers are sets that only grow: each may arrive late, more than
once or never, so a note that arrives twice stands for a resend as well.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

__all__ = ['RACING_NOTES', 'Note', 'Outcome', 'ReleaseRace', 'apply_log']


class Outcome(IntEnum):
    """Final answer to a note."""

    ACCEPTED = 0
    REFUSED = 1


class Note(NamedTuple):
    """A release note.

    Parameters
    ----------
    note_id : str
        The operator's id of the submission.
    number : int
        Release that it creates.
    needs : str or None
        Note without which this one is invalid.
    """

    note_id: str
    number: int
    needs: str | None = None


RACING_NOTES = (Note('a', 1), Note('b', 1), Note('c', 2, needs='a'))


class Reply(NamedTuple):
    """Answer to a note."""

    note: Note
    outcome: Outcome


class State(NamedTuple):
    """State of the log and of what was sent.

    Parameters
    ----------
    elections : int
        Changes of leader so far.
    committed, appended : tuple of Note
        Committed entries, and those that the leader has appended after.
    submitted : frozenset of Note
        Notes sent by operators.
    replies : frozenset of Reply
        Answers sent to operators.
    memory : frozenset of Reply
        Outcomes that only the leader's memory holds.
    """

    elections: int = 0
    committed: tuple[Note, ...] = ()
    appended: tuple[Note, ...] = ()
    submitted: frozenset[Note] = frozenset()
    replies: frozenset[Reply] = frozenset()
    memory: frozenset[Reply] = frozenset()


def apply_log(log, keep_refusals=True):
    """Apply notes in order, each once.

    Parameters
    ----------
    log : tuple of Note
        Committed notes.
    keep_refusals : bool
        Whether a refused note stays refused.

    Returns
    -------
    dict of Note to Outcome
    """
    outcomes = {}
    for note in log:
        if note in outcomes:
            continue
        outcome = _judge(note, outcomes)
        if keep_refusals or outcome is Outcome.ACCEPTED:
            outcomes[note] = outcome
    return outcomes


def _judge(note, outcomes):
    """Return the outcome of a note as a new one, whatever it got before."""
    accepted = [k for k, v in outcomes.items() if v is Outcome.ACCEPTED]
    valid = note.needs in {None, *(known.note_id for known in accepted)}
    above = all(note.number > known.number for known in accepted)
    return Outcome.ACCEPTED if valid and above else Outcome.REFUSED


@dataclass(frozen=True)
class ReleaseRace:
    """Model of submission.

    Parameters
    ----------
    notes : tuple of Note
        Notes that operators submit.
    max_elections, max_log : int
        Bounds: changes of leader, entries in the log.
    outcome_by_note : bool
        A resend is recognised by its note id; otherwise by its number.
    outcome_in_log : bool
        Outcomes follow from the log; otherwise they are only in the
        memory of the leader.
    refusals_in_log : bool
        A refusal is an outcome in the log like an acceptance.
    answers_after_commit : bool
        A note is answered only once it is committed.
    """

    notes: tuple[Note, ...] = RACING_NOTES
    max_elections: int = 2
    max_log: int = 4
    outcome_by_note: bool = True
    outcome_in_log: bool = True
    refusals_in_log: bool = True
    answers_after_commit: bool = True

    def initial(self):
        """Return the state before any note."""
        return State()

    def invariants(self):
        """Return what operators rely on."""
        return {
            'one winner for each number': _one_winner,
            'every answer to a note is the same': _same_answers,
            'every answer is true': self._answers_are_true,
        }

    def transitions(self, state):
        """Yield all steps of operators and voters."""
        for note in self.notes:
            if note not in state.submitted:
                submitted = state.submitted | {note}
                yield (
                    f'{note.note_id} is submitted',
                    state._replace(submitted=submitted),
                )
        for note in state.submitted:
            yield from self._receive(state, note)
        if state.appended:
            yield self._commit(state)
        if state.elections < self.max_elections:
            yield from self._elect(state)

    def _known(self, log, note):
        """Return the outcome by which a resend is answered, or None."""
        outcomes = apply_log(log, self.refusals_in_log)
        if self.outcome_by_note:
            return outcomes.get(note)
        of_number = [v for k, v in outcomes.items() if k.number == note.number]
        return min(of_number, default=None)

    def _receive(self, state, note):
        known = [
            outcome
            for length in range(len(state.committed) + 1)
            if (outcome := self._known(state.committed[:length], note))
            is not None
        ]
        if not self.outcome_in_log:
            known = [
                reply.outcome for reply in state.memory if reply[0] == note
            ]
        # Any control may answer, also one that has not applied all yet.
        for outcome in known:
            yield _reply(state, note, outcome)
        if not known and len(state.committed + state.appended) < self.max_log:
            yield from self._append(state, note)

    def _append(self, state, note):
        log = state.committed + state.appended
        outcome = apply_log((*log, note))[note]
        if outcome is Outcome.REFUSED and not self.answers_after_commit:
            yield _reply(state, note, outcome)
            return
        appended = state._replace(appended=(*state.appended, note))
        yield f'the leader appends {note.note_id}', appended

    def _commit(self, state):
        note, *rest = state.appended
        if self.outcome_in_log:
            outcome = apply_log((*state.committed, note))[note]
        else:
            outcome = self._remember(state, note)
        reply = Reply(note, outcome)
        committed = state._replace(
            committed=(*state.committed, note),
            appended=tuple(rest),
            replies=state.replies | {reply},
        )
        if not self.outcome_in_log:
            committed = committed._replace(memory=state.memory | {reply})
        return f'{note.note_id} is committed', committed

    def _remember(self, state, note):
        known = {reply.note: reply.outcome for reply in state.memory}
        outcome = _judge(note, apply_log(state.committed))
        return known.get(note, outcome)

    def _elect(self, state):
        for kept in range(len(state.appended) + 1):
            elected = state._replace(
                elections=state.elections + 1,
                appended=state.appended[:kept],
                memory=frozenset(),
            )
            yield f'a leader that holds {kept} of them', elected

    def _answers_are_true(self, state):
        outcomes = apply_log(state.committed, self.refusals_in_log)
        return all(
            (reply.outcome is Outcome.ACCEPTED)
            == (outcomes.get(reply.note) is Outcome.ACCEPTED)
            for reply in state.replies
        )


def _reply(state, note, outcome):
    replies = state.replies | {Reply(note, outcome)}
    return (
        f'{note.note_id} is answered {outcome.name}',
        state._replace(replies=replies),
    )


def _one_winner(state):
    winners = [
        reply.note.number
        for reply in state.replies
        if reply.outcome is Outcome.ACCEPTED
    ]
    return len(winners) == len(set(winners))


def _same_answers(state):
    return len({reply.note for reply in state.replies}) == len(state.replies)
