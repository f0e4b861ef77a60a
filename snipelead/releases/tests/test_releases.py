from testtools import ExpectedException
from testtools import TestCase

from snipelead.releases.changes import apply_note
from snipelead.releases.delta import apply_delta
from snipelead.releases.delta import make_delta
from snipelead.releases.document import EMPTY_RELEASE
from snipelead.releases.exceptions import DanglingReferenceError
from snipelead.releases.exceptions import DigestMismatchError
from snipelead.releases.exceptions import InvalidNoteError
from snipelead.releases.exceptions import NumberNotAboveCurrentError
from snipelead.releases.note import load_note

FIRST = """
release: 1
note: n1
changes:
  - {action: add, service: {name: stock}}
  - {action: add, route: {name: levels, service: stock, path_prefix: /levels}}
"""
SECOND = """
release: 2
note: n2
changes:
  - {action: change, service: {name: stock, slots: 6}}
  - {action: add, setting: {name: unit, value: litre}}
"""


class ReleaseTest(TestCase):
    def setUp(self):
        super().setUp()
        self.first = apply_note(EMPTY_RELEASE, load_note(FIRST))
        self.second = apply_note(self.first, load_note(SECOND))

    def test_delta_leads_to_target(self):
        delta = make_delta(self.first, self.second)
        self.assertEqual(
            self.second.digest, apply_delta(self.first, delta).digest
        )

    def test_delta_for_another_base_is_refused(self):
        delta = make_delta(self.first, self.second)
        with ExpectedException(DigestMismatchError):
            apply_delta(EMPTY_RELEASE, delta)

    def test_dangling_route_is_refused(self):
        note = load_note(
            'release: 3\nnote: n3\nchanges:\n'
            '  - {action: withdraw, service: stock}'
        )
        with ExpectedException(DanglingReferenceError):
            apply_note(self.second, note)

    def test_number_not_above_current_is_refused(self):
        with ExpectedException(NumberNotAboveCurrentError):
            apply_note(self.second, load_note(SECOND))

    def test_unknown_key_is_refused(self):
        with ExpectedException(InvalidNoteError):
            load_note('release: 1\nnote: n\nchanges: []\nextra: 1')
