"""Compares the voters' state machine with the models on random runs."""

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
from specs.claims import Ran
from specs.claims import Register
from specs.release_race import apply_log
from specs.release_race import Note
from specs.release_race import Outcome

NOTES = (
    Note('a', 1),
    Note('b', 1),
    Note('c', 2, needs='a'),
    Note('d', 2, needs='b'),
    Note('e', 3),
    Note('f', 4, needs='c'),
)
CLAIMS = range(3)
SNAPSHOT = 'snapshot'
SETTINGS = settings(derandomize=True, max_examples=300, deadline=None)

runs_of_notes = strategies.lists(
    strategies.sampled_from((*NOTES, SNAPSHOT)), max_size=20
)
runs_of_claims = strategies.lists(
    strategies.one_of(
        strategies.just(SNAPSHOT),
        strategies.tuples(
            strategies.sampled_from(CLAIMS),
            strategies.one_of(strategies.none(), strategies.sampled_from(Ran)),
        ),
    ),
    max_size=20,
)


def make_note(note):
    """Return a real note: the route is valid only with the needed one."""
    changes = [Change('add', service=Service(note.note_id))]
    if note.needs is not None:
        route = Route(f'to-{note.needs}', note.needs, path_prefix='/')
        changes.append(Change('add', route=route))
    return ReleaseNote(note.number, note.note_id, tuple(changes))


class Replica:
    """Applies commands, and goes through a snapshot when asked."""

    def __init__(self):
        self.state = State()
        self.index = 0

    def apply(self, command):
        self.index += 1
        entry = Entry(self.index, 1, self.index, encode_command(command))
        return self.state.apply(entry)

    def pass_snapshot(self):
        self.state = State.decode(self.state.encode())


class ReleaseRefinementTest(TestCase):
    @SETTINGS
    @given(runs_of_notes)
    def test_outcomes_are_those_of_the_model(self, steps):
        replica = Replica()
        log = ()
        first_replies = {}
        for step in steps:
            if step is SNAPSHOT:
                replica.pass_snapshot()
                continue
            log = (*log, step)
            reply = replica.apply(Submit(make_note(step)))
            accepted = apply_log(log)[step] is Outcome.ACCEPTED
            self.assertEqual(
                OutcomeKind.ACCEPTED if accepted else OutcomeKind.REFUSED,
                reply.outcome,
            )
            self.assertEqual(first_replies.setdefault(step, reply), reply)
            self.assertEqual(newest(log), replica.state.current.number)


class ClaimRefinementTest(TestCase):
    @SETTINGS
    @given(runs_of_claims)
    def test_answers_are_those_of_the_model(self, steps):
        replica = Replica()
        register = Register()
        for step in steps:
            if step is SNAPSHOT:
                replica.pass_snapshot()
                continue
            number, ran = step
            if ran is None:
                register = self.claim(replica, register, number)
            else:
                register = register.settle(number, ran)
                settle = SettleRequest(
                    'route', 'key', f'claim-{number}', RealRan[ran.name]
                )
                replica.apply(Settle(settle))

    def claim(self, replica, register, number):
        given_back = number in register.given_back
        register, expected = register.claim(number)
        request = ClaimRequest('route', 'key', f'claim-{number}', 'print')
        reply = replica.apply(Claim(request))
        self.assertEqual(expected.granted, reply.granted)
        if not reply.granted:
            allowed = {RealRan[expected.ran.name]}
            if given_back and register.holder is None:
                # What the claimant itself has reported.
                allowed.add(RealRan.NO)
            self.assertIn(reply.ran, allowed)
        return register


def newest(log):
    """Return the newest release that the model accepts."""
    return max(
        (
            note.number
            for note, outcome in apply_log(log).items()
            if outcome is Outcome.ACCEPTED
        ),
        default=0,
    )
