from testtools import TestCase

from snipelead.releases.document import Release
from snipelead.releases.document import Route
from snipelead.releases.document import Service
from snipelead.releases.exceptions import InvalidNoteError
from snipelead.releases.note import load_note
from snipelead.releases.note_application import apply_note
from snipelead.releases.note_application import validate_note

NOTE = """
release: 2
note: n2
changes:
  - {action: withdraw, route: levels}
  - {action: add, service: {name: stand-in}}
"""


class PlaceholderServiceTest(TestCase):
    """A note may add a service named like the placeholder of validation.

    Validation applies the note to a release with a placeholder service, whose
    name conflicts with a service of that name in the note.
    """

    def test_note_that_adds_a_service_named_stand_in_is_valid(self):
        note = load_note(NOTE)
        current = Release(
            1,
            {'stock': Service('stock')},
            {'levels': Route('levels', 'stock')},
        )
        self.assertIn('stand-in', apply_note(current, note).services)
        try:
            prerequisites = validate_note(note)
        except InvalidNoteError as error:
            self.fail(f'a note that can be applied was refused: {error}')
        self.assertEqual(("route 'levels'",), prerequisites)
