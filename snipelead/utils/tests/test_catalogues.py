from testtools import TestCase

from snipelead.settings.reference import render_settings
from snipelead.utils.catalogues import DOCS_DIR
from snipelead.utils.catalogues import INDEX_FILE_NAME
from snipelead.utils.catalogues import INDEXED_DIRECTORIES
from snipelead.utils.catalogues import render_errors
from snipelead.utils.catalogues import render_events
from snipelead.utils.catalogues import render_index


class CataloguesTest(TestCase):
    def test_events_match_the_code(self):
        self.assertEqual(render_events(), (DOCS_DIR / 'EVENTS.md').read_text())

    def test_errors_match_the_code(self):
        self.assertEqual(render_errors(), (DOCS_DIR / 'ERRORS.md').read_text())

    def test_settings_match_the_code(self):
        self.assertEqual(
            render_settings(), (DOCS_DIR / 'SETTINGS.md').read_text()
        )

    def test_each_setting_has_a_description(self):
        self.assertNotIn('|  |', render_settings())

    def test_indexes_match_the_pages(self):
        for directory in INDEXED_DIRECTORIES:
            written = (DOCS_DIR / directory / INDEX_FILE_NAME).read_text()
            self.assertEqual(render_index(directory), written)
