import os
from pathlib import Path
import shutil
import subprocess
import sys

from fixtures import TempDir
from testtools import TestCase

from snipelead.testing.exceptions import KnownRedError
from snipelead.testing.known_red import KNOWN_RED
from snipelead.testing.known_red import load_known_red

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


class KnownRedTest(TestCase):
    def setUp(self):
        super().setUp()
        self.root = Path(self.useFixture(TempDir()).path)

    def run_tests(self, other):
        """Run a failing test that is listed, and another one."""
        shutil.copy(ROOT / 'conftest.py', self.root)
        (self.root / KNOWN_RED).write_text(ENTRY)
        (self.root / 'test_it.py').write_text(TESTS.format(other=other))
        command = [sys.executable, '-m', 'pytest', '-p', 'no:cacheprovider']
        return subprocess.run(
            [*command, f'--rootdir={self.root}', str(self.root)],
            cwd=self.root,
            env=os.environ | {'PYTHONPATH': str(ROOT)},
            capture_output=True,
            text=True,
        )

    def test_listed_failure_is_passed_over_and_printed(self):
        done = self.run_tests(other=2)
        self.assertEqual(0, done.returncode, done.stdout)
        self.assertIn('1 passed, 1 xfailed', done.stdout)
        self.assertIn(
            f'{KNOWN_RED}: test_it.py::ItTest::test_red (9): 2 is not 1',
            done.stdout,
        )

    def test_any_other_failure_fails_the_run(self):
        done = self.run_tests(other=1)
        self.assertEqual(1, done.returncode, done.stdout)
        self.assertIn('1 failed, 1 xfailed', done.stdout)

    def test_entry_without_all_its_lines_is_refused(self):
        (self.root / KNOWN_RED).write_text('test: a\nseen: b\n')
        self.assertRaises(KnownRedError, load_known_red, self.root)

    def test_no_list_is_empty(self):
        self.assertEqual([], load_known_red(self.root))
