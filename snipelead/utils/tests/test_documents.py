from testtools import TestCase

from snipelead.utils.documents import parse_yaml
from snipelead.utils.exceptions import DocumentError


class LoadYamlTest(TestCase):
    def test_valid_documents_are_parsed(self):
        self.assertEqual({'a': [1, 'x']}, parse_yaml('a: [1, x]'))
        self.assertEqual({'a': 'ž'}, parse_yaml('a: ž'.encode()))

    def test_invalid_documents_are_rejected(self):
        documents = {
            'duplicate key': 'a: 1\nb: 2\na: 3\n',
            'duplicate nested key': 'a:\n  - {b: 1, b: 2}\n',
            'not YAML': 'a: [',
            'two documents': 'a: 1\n---\nb: 2\n',
            'invalid date': 'a: 2026-13-45\n',
            'list as key': '? [a]\n: 1\n',
            'control character': 'a: "\x00"',
            'not UTF-8': b'a: \xff\xfe\xfd',
            'nested too deeply': '[' * 20_000,
            'Python object': '!!python/object/apply:os.getcwd []',
        }
        for case, text in documents.items():
            error = self.assertRaises(DocumentError, parse_yaml, text)
            self.assertEqual('SL5005', error.code, case)

    def test_errors_do_not_quote_the_document(self):
        """Guards against API keys of a malformed note in error messages."""
        for text in (
            'keys: [k-9f, \n',
            'keys: k-9f: b',
            b'a: [k-9f}',
            'keys: [*k-9f]',
            'keys: [!k-9f x]',
            'keys: [!k-9f!x y]',
            'keys: [&k-9f x, &k-9f y]',
        ):
            error = self.assertRaises(DocumentError, parse_yaml, text)
            self.assertNotIn('k-9f', str(error))
            self.assertIn('line ', str(error))
