import os
from pathlib import Path
import shutil
import subprocess
import sys

from fixtures import TempDir
from testtools import TestCase

from snipelead.testing.exceptions import KnownFailuresError
from snipelead.testing.known_failures import KNOWN_FAILURES_FILE
from snipelead.testing.known_failures import load_known_failures

ROOT = Path(__file__).resolve().parents[3]
ENTRY = """
# A comment.
test: test_it.py::ItTest::test_red
command: python -m pytest test_it.py, seed 3
seen: 2 is not 1
issue: 9
"""
TESTS = """
from testtools import TestCase

class ItTest(TestCase):
    def test_red(self):
        self.assertEqual(1, 2)

    def test_other(self):
        self.assertEqual({other}, 2)
"""


class KnownFailuresTest(TestCase):
    def setUp(self):
        super().setUp()
        self.root = Path(self.useFixture(TempDir()).path)

    def run_tests(self, other):
        """Run pytest on a listed failing test and an unlisted test."""
        shutil.copy(ROOT / 'conftest.py', self.root)
        (self.root / KNOWN_FAILURES_FILE).write_text(ENTRY)
        (self.root / 'test_it.py').write_text(TESTS.format(other=other))
        command = [sys.executable, '-m', 'pytest', '-p', 'no:cacheprovider']
        return subprocess.run(
            [*command, f'--rootdir={self.root}', str(self.root)],
            cwd=self.root,
            env=os.environ | {'PYTHONPATH': str(ROOT)},
            capture_output=True,
            text=True,
        )

    def test_listed_failure_does_not_fail_run_and_is_printed(self):
        completed = self.run_tests(other=2)
        self.assertEqual(0, completed.returncode, completed.stdout)
        self.assertIn('1 passed, 1 xfailed', completed.stdout)
        self.assertIn(
            f'{KNOWN_FAILURES_FILE}: test_it.py::ItTest::test_red (9):'
            ' 2 is not 1',
            completed.stdout,
        )

    def test_unlisted_failure_fails_run(self):
        completed = self.run_tests(other=1)
        self.assertEqual(1, completed.returncode, completed.stdout)
        self.assertIn('1 failed, 1 xfailed', completed.stdout)

    def test_incomplete_entry_is_refused(self):
        (self.root / KNOWN_FAILURES_FILE).write_text('test: a\nseen: b\n')
        self.assertRaises(KnownFailuresError, load_known_failures, self.root)

    def test_missing_list_is_empty(self):
        self.assertEqual([], load_known_failures(self.root))
