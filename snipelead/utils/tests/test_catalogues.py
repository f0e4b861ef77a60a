from testtools import TestCase

from snipelead.utils.catalogues import DOCS
from snipelead.utils.catalogues import render_errors
from snipelead.utils.catalogues import render_events


class CataloguesTest(TestCase):
    def test_events_match_the_code(self):
        self.assertEqual(render_events(), (DOCS / 'EVENTS.md').read_text())

    def test_errors_match_the_code(self):
        self.assertEqual(render_errors(), (DOCS / 'ERRORS.md').read_text())
