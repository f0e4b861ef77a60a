import os
from pathlib import Path
import signal
import subprocess
import sys

from fixtures import TempDir
import pytest
from testtools import TestCase

TIMEOUT_S = 90


@pytest.mark.processes
class QuickstartTest(TestCase):
    def setUp(self):
        super().setUp()
        self.temporary_dir = self.useFixture(TempDir()).path

    def start(self, *options):
        process = subprocess.Popen(
            [sys.executable, '-u', '-m', 'snipelead', 'quickstart', *options],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            env=os.environ | {'TMPDIR': self.temporary_dir},
        )
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def check_no_files_left(self):
        self.assertEqual([], list(Path(self.temporary_dir).iterdir()))

    def test_quickstart_runs_the_refill_once(self):
        process = self.start()
        output, _ = process.communicate(timeout=TIMEOUT_S)
        self.assertEqual(0, process.returncode, output)
        self.assertIn('Release 1 is in force on all nodes', output)
        self.assertIn('the targets ran the refill 1 time(s)', output)
        self.check_no_files_left()

    def test_kept_quickstart_stops_on_signals(self):
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            process = self.start('--keep')
            lines = iter(process.stdout.readline, '')
            self.assertTrue(any('Running until' in line for line in lines))
            process.send_signal(signal_number)
            self.assertEqual(0, process.wait(TIMEOUT_S))
            self.check_no_files_left()
