import pytest
from testtools import ExpectedException
from testtools import TestCase

from snipelead.bench.hotpath import run
from snipelead.exceptions import InvalidParameterError


class HotPathTest(TestCase):
    @pytest.mark.processes
    def test_each_network_path_is_measured(self):
        rows = run({'connections': '2', 'calls': '6', 'rounds': '1'})
        measured_paths = [
            (row.network_path, row.connections, row.calls) for row in rows
        ]
        self.assertEqual(
            [('direct', 2, 6), ('one hop', 2, 6), ('two hops', 2, 6)],
            measured_paths,
        )
        self.assertEqual(0, rows[0].added_p50_us)

    def test_options_are_checked(self):
        with ExpectedException(InvalidParameterError):
            run({'rounds': '0'})
