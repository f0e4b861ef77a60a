"""What operators and nodes were told, checked against the replicated log."""

from collections import defaultdict

from snipelead.controls.exceptions import NoQuorumError
from snipelead.exceptions import InvariantError
from snipelead.rpc.exceptions import RpcNotSentError
from snipelead.types import OutcomeKind
from snipelead.voters.exceptions import QuorumLostError
from snipelead.voters.messages import decode_command
from snipelead.voters.messages import Submit

__all__ = ['Ledger']

# Codes after which a note must never take effect.
TRUE_REFUSALS = frozenset(
    error.code for error in (NoQuorumError, QuorumLostError, RpcNotSentError)
)


class Ledger:
    """Record of a randomised run; any contradiction raises at once.

    Attributes
    ----------
    entries : dict of int to tuple
        Applied entry by index; all voters must agree.
    outcomes : dict of str to tuple
        First outcome of each note that an operator was told.
    attempts, refusals : dict of str to int
        How often each note was sent, and refused as never appended.
    holders : dict of str to set of str
        Claims of each key that were granted and not given back.
    newest : int
        Highest release number that an operator was told is accepted.
    counts : dict of str to int
        How often each kind of answer was seen.
    """

    def __init__(self):
        self.entries = {}
        self.outcomes = {}
        self.attempts = defaultdict(int)
        self.refusals = defaultdict(int)
        self.holders = defaultdict(set)
        self.newest = 0
        self.counts = defaultdict(int)

    def watch(self, voter):
        """Compare each entry that a voter applies with the others'."""
        pass_on = voter.replica.journal.on_result

        def note_result(entry, result):
            self.note_entry(entry)
            pass_on(entry, result)

        voter.replica.journal.on_result = note_result

    def note_entry(self, entry):
        """Record an applied entry."""
        facts = (entry.term, entry.command, entry.configuration)
        if self.entries.setdefault(entry.index, facts) != facts:
            raise InvariantError(f'entry {entry.index} differs: {facts}')

    def note_reply(self, note, reply):
        """Record the outcome that an operator was told."""
        self.counts[reply.code or 'accepted'] += 1
        told = (reply.outcome, reply.held, reply.code)
        if self.outcomes.setdefault(note.note, told) != told:
            raise InvariantError(
                f'note {note.note} got {self.outcomes[note.note]} and {told}'
            )
        if reply.outcome is OutcomeKind.ACCEPTED:
            self.newest = max(self.newest, note.release)

    def note_attempt(self, note):
        """Record that a note is about to be sent."""
        self.attempts[note.note] += 1

    def note_error(self, note, code):
        """Record that a submission ended without an outcome."""
        self.counts[code] += 1
        self.refusals[note.note] += code in TRUE_REFUSALS

    def note_grant(self, key, claim_id):
        """Record that a claimant may run a request."""
        self.counts['granted'] += 1
        self.holders[key].add(claim_id)
        if len(self.holders[key]) > 1:
            raise InvariantError(f'{key} was granted to {self.holders[key]}')

    def note_return(self, key, claim_id):
        """Record that a claimant is about to give a claim back."""
        self.holders[key].discard(claim_id)

    def note_certified(self, floor, number):
        """Record a read that was proved current.

        Parameters
        ----------
        floor : int
            ``newest`` when the read began.
        number : int
            Release number that was read.
        """
        self.counts['certified'] += 1
        if number < floor:
            raise InvariantError(
                f'release {number} was certified after {floor} was accepted'
            )

    def check_end(self, voters):
        """Check the voters' final states.

        Raises
        ------
        InvariantError
            If something accepted is lost, a refused note took effect or
            the voters differ.
        """
        states = [v.replica.journal.state for v in voters]
        if len({state.current.held for state in states}) != 1:
            raise InvariantError('voters hold different releases')
        submitted = self._submitted()
        for note_id, (outcome, held, _) in self.outcomes.items():
            reply = states[0].notes[note_id].reply
            if (reply.outcome, reply.held) != (outcome, held):
                raise InvariantError(f'the outcome of {note_id} changed')
        for note_id, attempts in self.attempts.items():
            refused = attempts == self.refusals[note_id]
            if refused and note_id in submitted:
                raise InvariantError(f'{note_id} was not refused truly')

    def _submitted(self):
        commands = (
            decode_command(c) for _, c, _ in self.entries.values() if c
        )
        return {c.note.note for c in commands if isinstance(c, Submit)}
