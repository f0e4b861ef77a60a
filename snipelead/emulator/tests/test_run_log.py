from pathlib import Path
import tempfile

import msgspec
from testtools import TestCase

from snipelead.emulator.run_log import read_runs
from snipelead.emulator.run_log import Run


class ReadRunsTest(TestCase):
    def test_incomplete_last_line_is_ignored(self):
        line = msgspec.json.encode(Run(1, 'target-1', '/reads/1'))
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / 'runs'
            path.write_bytes(line + b'\n' + line[:-5])
            self.assertEqual(1, len(read_runs(path)))
            path.write_bytes(line + b'\n')
            self.assertEqual(1, len(read_runs(path)))
