from testtools import TestCase

from snipelead.utils.documents import load_yaml
from snipelead.utils.exceptions import DocumentError


class LoadYamlTest(TestCase):
    def test_plain_document(self):
        self.assertEqual({'a': [1, 'x']}, load_yaml('a: [1, x]'))
        self.assertEqual({'a': 'ž'}, load_yaml('a: ž'.encode()))

    def test_unreadable_documents_are_refused(self):
        documents = {
            'key given twice': 'a: 1\nb: 2\na: 3\n',
            'key given twice inside': 'a:\n  - {b: 1, b: 2}\n',
            'not YAML': 'a: [',
            'two documents': 'a: 1\n---\nb: 2\n',
            'no such day': 'a: 2026-13-45\n',
            'list as key': '? [a]\n: 1\n',
            'control character': 'a: "\x00"',
            'not UTF-8': b'a: \xff\xfe\xfd',
            'too deep': '[' * 20_000,
            'object': '!!python/object/apply:os.getcwd []',
        }
        for case, text in documents.items():
            error = self.assertRaises(DocumentError, load_yaml, text)
            self.assertEqual('SL5005', error.code, case)
