"""Checks the history of operators and nodes against the replicated log."""

from collections import defaultdict

from snipelead.controls.exceptions import NoQuorumError
from snipelead.exceptions import InvariantError
from snipelead.rpc.exceptions import RpcNotSentError
from snipelead.types import OutcomeKind
from snipelead.voters.exceptions import QuorumLostError
from snipelead.voters.messages import decode_command
from snipelead.voters.messages import Submit

__all__ = ['HistoryChecker']

# Codes that promise that a note was never appended to the log.
NEVER_APPENDED_CODES = frozenset(
    error.code for error in (NoQuorumError, QuorumLostError, RpcNotSentError)
)


class HistoryChecker:
    """Records the history of a randomized run and checks it.

    Violations raise :class:`InvariantError`, most as soon as they are observed
    and some at the end of the run.

    Attributes
    ----------
    entries : dict of int to tuple
        Applied entry by index; it must be the same on all voters.
    outcomes : dict of str to tuple
        First outcome of each note that an operator received, by note id.
    attempts, refusals : dict of str to int
        Number of submissions of each note, and of responses which promise that
        it was never appended, by note id.
    claim_holders : dict of str to set of str
        Ids of the claims of each key that were granted and not released.
    newest_accepted : int
        Newest release whose acceptance an operator was told.
    counts : dict of str to int
        Number of observed responses of each kind.
    """

    def __init__(self):
        self.entries = {}
        self.outcomes = {}
        self.attempts = defaultdict(int)
        self.refusals = defaultdict(int)
        self.claim_holders = defaultdict(set)
        self.newest_accepted = 0
        self.counts = defaultdict(int)

    def watch_voter(self, voter):
        """Check each entry that a voter applies against the other voters."""
        forward_result = voter.replica.journal.on_entry_applied

        def record_result(entry, result):
            self.record_entry(entry)
            forward_result(entry, result)

        voter.replica.journal.on_entry_applied = record_result

    def record_entry(self, entry):
        """Record an entry that a voter applied."""
        content = (entry.term, entry.command, entry.configuration)
        if self.entries.setdefault(entry.index, content) != content:
            raise InvariantError(
                f'entry {entry.index} differs between voters: {content}'
            )

    def record_outcome(self, note, reply):
        """Record the outcome of a note that an operator received."""
        self.counts[reply.code or 'accepted'] += 1
        observed = (reply.outcome, reply.held, reply.code)
        if self.outcomes.setdefault(note.note, observed) != observed:
            raise InvariantError(
                f'note {note.note} has the outcomes'
                f' {self.outcomes[note.note]} and {observed}'
            )
        if reply.outcome is OutcomeKind.ACCEPTED:
            self.newest_accepted = max(self.newest_accepted, note.release)

    def record_attempt(self, note):
        """Record that a note is about to be submitted."""
        self.attempts[note.note] += 1

    def record_error(self, note, code):
        """Record that a submission failed without an outcome."""
        self.counts[code] += 1
        self.refusals[note.note] += code in NEVER_APPENDED_CODES

    def record_claim_grant(self, key, claim_id):
        """Record that a claim was granted; a key has at most one holder."""
        self.counts['granted'] += 1
        self.claim_holders[key].add(claim_id)
        if len(self.claim_holders[key]) > 1:
            raise InvariantError(
                f'key {key} was granted to several claims:'
                f' {self.claim_holders[key]}'
            )

    def record_claim_release(self, key, claim_id):
        """Record that a claim is about to be released."""
        self.claim_holders[key].discard(claim_id)

    def record_certified_read(self, floor, number):
        """Record a read that a quorum certified as current.

        Parameters
        ----------
        floor : int
            Value of ``newest_accepted`` when the read began.
        number : int
            Release number that was read.
        """
        self.counts['certified'] += 1
        if number < floor:
            raise InvariantError(
                f'release {number} was certified as current after release'
                f' {floor} was accepted'
            )

    def check_end(self, voters):
        """Check the final states of the voters.

        Raises
        ------
        InvariantError
            If the voters hold different releases, an outcome changed, or a
            note took effect although each submission was refused.
        """
        states = [v.replica.journal.state for v in voters]
        if len({state.current.release_id for state in states}) != 1:
            raise InvariantError('voters hold different releases')
        submitted_notes = self._submitted_notes()
        for note_id, (outcome, held, _) in self.outcomes.items():
            reply = states[0].note_outcomes[note_id].reply
            if (reply.outcome, reply.held) != (outcome, held):
                raise InvariantError(f'the outcome of note {note_id} changed')
        for note_id, attempts in self.attempts.items():
            refused = attempts == self.refusals[note_id]
            if refused and note_id in submitted_notes:
                raise InvariantError(
                    f'note {note_id} was applied although it was refused'
                )

    def _submitted_notes(self):
        commands = (
            decode_command(c) for _, c, _ in self.entries.values() if c
        )
        return {c.note.note for c in commands if isinstance(c, Submit)}
