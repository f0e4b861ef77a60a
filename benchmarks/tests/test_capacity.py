import os

from fixtures import TempDir
from msgspec.structs import replace
from testtools import TestCase

from benchmarks.capacity import render_roles
from benchmarks.capacity import render_slopes
from benchmarks.deployment import make_changes
from benchmarks.plots import plot_lines
from benchmarks.points import CallPoint
from benchmarks.points import ClaimPoint
from benchmarks.points import FleetPoint
from benchmarks.roles import compute_rows
from benchmarks.sizes import measure_sizes
from benchmarks.slopes import fit_slopes
from benchmarks.slopes import load_results
from benchmarks.slopes import Results
from benchmarks.slopes import save_results


def make_results():
    """Return measurements of a system that is exactly linear."""
    return Results(
        date='today',
        machine='none',
        services=230,
        node_mb=50.0,
        calls=[
            CallPoint(size, size * 1e-3, size * 2e-3, size * 3e-3)
            for size in (10, 20)
        ],
        claims=[
            ClaimPoint(size, size * 1e-3, size * 2e-3, size * 50)
            for size in (10, 20)
        ],
        fleet=[
            FleetPoint(
                nodes=size,
                idle_bytes_per_s=size * 10.0,
                idle_control_cpu=size * 1e-4,
                idle_node_cpu=size * 1e-3,
                control_mb=60 + size * 0.1,
                change_bytes=size * 100.0,
                change_control_s=size * 1e-4,
                change_node_s=size * 1e-3,
                convergence_s=0.1 + size * 1e-3,
                change_disk_bytes=200.0,
            )
            for size in (10, 20)
        ],
        sizes=measure_sizes((10, 20)),
    )


class CapacityTest(TestCase):
    def setUp(self):
        super().setUp()
        self.results = make_results()
        self.slopes = fit_slopes(self.results)
        self.rows = {
            (row.role, row.quantity): row
            for row in compute_rows(self.results, self.slopes)
        }

    def test_poor_fit_is_not_extrapolated(self):
        poor_fit = replace(self.slopes.read_control, r_squared=0.5)
        rows = compute_rows(
            self.results, replace(self.slopes, read_control=poor_fit)
        )
        line = next(r for r in render_roles(rows) if 'for a read' in r)
        self.assertIn('| not known |', line)

    def test_node_bytes(self):
        row = self.rows['node, control', 'bytes']
        self.assertAlmostEqual(10 + 100 * 8_400 / 86_400, row.value)
        self.assertTrue(row.within_limit)

    def test_exceeded_limit_is_marked(self):
        row = self.rows['node, calls', 'most calls of one process']
        self.assertAlmostEqual(200.0, row.value)
        self.assertFalse(row.within_limit)
        self.assertIn('**no**', '\n'.join(render_roles([row])))

    def test_convergence_counts_the_nodes_of_one_control(self):
        row = self.rows['fleet', 'convergence of a change']
        self.assertAlmostEqual(0.1 + 3 * 3_400 / 11 * 1e-3, row.value)

    def test_every_slope_is_shown(self):
        text = '\n'.join(render_slopes(self.results, self.slopes))
        for name in self.slopes.__struct_fields__:
            self.assertIn(f'`{name}`', text)

    def test_results_round_trip(self):
        path = os.path.join(self.useFixture(TempDir()).path, 'r.json')
        save_results(self.results, path)
        self.assertEqual(self.results, load_results(path))

    def test_plot_is_written(self):
        path = os.path.join(self.useFixture(TempDir()).path, 'p.png')
        plot_lines(path, 't', 'x', 'y', {'a': self.slopes.convergence})
        self.assertGreater(os.path.getsize(path), 1_000)

    def test_changes_have_two_routes_for_each_service(self):
        self.assertEqual(1 + 3 * 3, len(make_changes(3)))
