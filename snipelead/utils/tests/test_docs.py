import re

from testtools import TestCase

from snipelead.utils.catalogues import DOCS

LINK = re.compile(r'\]\(([^)#\s]+)(#[^)\s]*)?\)')


class DocsTest(TestCase):
    def test_links_between_pages_lead_somewhere(self):
        pages = [*DOCS.parent.glob('*.md'), *DOCS.rglob('*.md')]
        self.assertNotEqual([], pages)
        for page in pages:
            for target, _ in LINK.findall(page.read_text()):
                if '://' not in target:
                    self.assertTrue(
                        (page.parent / target).exists(),
                        f'{page.name} links to {target}',
                    )
