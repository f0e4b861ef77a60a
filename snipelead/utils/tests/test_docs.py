import re

from testtools import TestCase

from snipelead.utils.catalogues import DOCS_DIR

LINK = re.compile(r'\]\(([^)#\s]+)(?:#([^)\s]*))?\)')
HEADING = re.compile(r'^#+ (.*)$', re.MULTILINE)


def find_anchors(page):
    """Return the anchors of the headings of a page, as web pages have them."""
    headings = HEADING.findall(page.read_text())
    return {
        re.sub(r'[^\w\- ]', '', heading.lower()).replace(' ', '-')
        for heading in headings
    }


class DocsTest(TestCase):
    def test_links_between_pages_resolve(self):
        pages = [*DOCS_DIR.parent.glob('*.md'), *DOCS_DIR.rglob('*.md')]
        self.assertNotEqual([], pages)
        for page in pages:
            for target, anchor in LINK.findall(page.read_text()):
                if '://' not in target:
                    self.check_link(page, target, anchor)

    def check_link(self, page, target, anchor):
        linked_page = page.parent / target
        description = f'{page.name} links to {target}#{anchor}'
        self.assertTrue(linked_page.exists(), description)
        if anchor:
            self.assertIn(anchor, find_anchors(linked_page), description)
