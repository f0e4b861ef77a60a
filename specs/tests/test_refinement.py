"""Compare the voters' state machine with the models on random commands."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from testtools import TestCase

from snipelead.messages import ClaimRequest
from snipelead.messages import SettleRequest
from snipelead.releases.document import Route
from snipelead.releases.document import Service
from snipelead.releases.note import Change
from snipelead.releases.note import ReleaseNote
from snipelead.types import OutcomeKind
from snipelead.types import Ran as RealRan
from snipelead.voters.messages import Claim
from snipelead.voters.messages import encode_command
from snipelead.voters.messages import Entry
from snipelead.voters.messages import Settle
from snipelead.voters.messages import Submit
from snipelead.voters.state import State
from specs.claims import ClaimRecord
from specs.claims import Ran
from specs.release_race import apply_log
from specs.release_race import Note
from specs.release_race import Outcome

NOTES = (
    Note('a', 1),
    Note('b', 1),
    Note('c', 2, requires='a'),
    Note('d', 2, requires='b'),
    Note('e', 3),
    Note('f', 4, requires='c'),
)
CLAIM_IDS = range(3)
SNAPSHOT = 'snapshot'
SETTINGS = settings(derandomize=True, max_examples=300, deadline=None)

note_sequences = strategies.lists(
    strategies.sampled_from((*NOTES, SNAPSHOT)), max_size=20
)
claim_sequences = strategies.lists(
    strategies.one_of(
        strategies.just(SNAPSHOT),
        strategies.tuples(
            strategies.sampled_from(CLAIM_IDS),
            strategies.one_of(strategies.none(), strategies.sampled_from(Ran)),
        ),
    ),
    max_size=20,
)


def make_note(note):
    """Return the release note for a note of the model.

    Its route is valid only if the required note was accepted.
    """
    changes = [Change('add', service=Service(note.note_id))]
    if note.requires is not None:
        route = Route(f'to-{note.requires}', note.requires, path_prefix='/')
        changes.append(Change('add', route=route))
    return ReleaseNote(note.number, note.note_id, tuple(changes))


class Replica:
    """State machine of a voter that can be restored from its snapshot."""

    def __init__(self):
        self.state = State()
        self.index = 0

    def apply(self, command):
        self.index += 1
        entry = Entry(self.index, 1, self.index, encode_command(command))
        return self.state.apply(entry)

    def restore_from_snapshot(self):
        self.state = State.decode(self.state.encode())


class ReleaseRefinementTest(TestCase):
    @SETTINGS
    @given(note_sequences)
    def test_outcomes_are_those_of_the_model(self, steps):
        replica = Replica()
        log = ()
        replies_by_note = {}
        for step in steps:
            if step is SNAPSHOT:
                replica.restore_from_snapshot()
                continue
            log = (*log, step)
            reply = replica.apply(Submit(make_note(step)))
            accepted = apply_log(log)[step] is Outcome.ACCEPTED
            self.assertEqual(
                OutcomeKind.ACCEPTED if accepted else OutcomeKind.REFUSED,
                reply.outcome,
            )
            self.assertEqual(replies_by_note.setdefault(step, reply), reply)
            self.assertEqual(
                newest_accepted_number(log), replica.state.current.number
            )


class ClaimRefinementTest(TestCase):
    @SETTINGS
    @given(claim_sequences)
    def test_answers_are_those_of_the_model(self, steps):
        replica = Replica()
        claim_record = ClaimRecord()
        for step in steps:
            if step is SNAPSHOT:
                replica.restore_from_snapshot()
                continue
            number, ran = step
            if ran is None:
                claim_record = self.check_claim(replica, claim_record, number)
            else:
                claim_record = claim_record.settle(number, ran)
                settle = SettleRequest(
                    'route', 'key', f'claim-{number}', RealRan[ran.name]
                )
                replica.apply(Settle(settle))

    def check_claim(self, replica, claim_record, number):
        was_released = number in claim_record.released
        claim_record, expected = claim_record.claim(number)
        request = ClaimRequest('route', 'key', f'claim-{number}', 'digest')
        reply = replica.apply(Claim(request))
        self.assertEqual(expected.granted, reply.granted)
        if not reply.granted:
            allowed = {RealRan[expected.ran.name]}
            if was_released and claim_record.holder is None:
                # The outcome that the claimant itself reported.
                allowed.add(RealRan.NO)
            self.assertIn(reply.ran, allowed)
        return claim_record


def newest_accepted_number(log):
    """Return the number of the newest release that the model accepts."""
    return max(
        (
            note.number
            for note, outcome in apply_log(log).items()
            if outcome is Outcome.ACCEPTED
        ),
        default=0,
    )
