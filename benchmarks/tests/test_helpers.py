import os

from testtools import ExpectedException
from testtools import TestCase

from benchmarks.fit import fit_line
from benchmarks.pages import replace_section
from benchmarks.process_usage import read_cpu_s
from benchmarks.process_usage import read_rss_mb
from benchmarks.requirements import REQUIREMENTS


class FitLineTest(TestCase):
    def test_exact_line(self):
        line = fit_line([(1, 5), (2, 7), (4, 11)])
        self.assertAlmostEqual(2.0, line.slope)
        self.assertAlmostEqual(3.0, line.intercept)
        self.assertAlmostEqual(1.0, line.r_squared)
        self.assertAlmostEqual(23.0, line.predict(10))

    def test_scatter_lowers_r_squared(self):
        line = fit_line([(0, 0), (1, 3), (2, 0), (3, 3)])
        self.assertLess(line.r_squared, 0.5)


class ReplaceSectionTest(TestCase):
    def test_replaces_between_markers(self):
        page = 'a\n<!-- t begin -->\nold\n<!-- t end -->\nb\n'
        new = replace_section(page, 't', ['x', r'\1'])
        self.assertEqual(
            'a\n<!-- t begin -->\nx\n\\1\n<!-- t end -->\nb\n', new
        )
        self.assertEqual(new, replace_section(new, 't', ['x', r'\1']))

    def test_missing_section(self):
        with ExpectedException(LookupError):
            replace_section('a', 't', [])


class RequirementsTest(TestCase):
    def test_rates(self):
        self.assertAlmostEqual(323.5, REQUIREMENTS.node_calls_per_s, places=1)
        self.assertAlmostEqual(309.1, REQUIREMENTS.nodes_per_control, places=1)


class ProcessUsageTest(TestCase):
    def test_reads_own_process(self):
        self.assertGreater(read_cpu_s(os.getpid()), 0)
        self.assertGreater(read_rss_mb(os.getpid()), 1)
