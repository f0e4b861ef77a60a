"""Run the capacity benchmarks and rewrite the tables of docs/CAPACITY.md.

Run as ``python -m benchmarks.capacity``, or with ``--tables-only`` to
rewrite the tables from the saved measurements of the last run.
"""

import argparse
from datetime import datetime
from datetime import UTC
import os
from pathlib import Path
import platform

from benchmarks.calls import measure_calls
from benchmarks.claims import measure_claims
from benchmarks.fleet import measure_fleet
from benchmarks.pages import replace_section
from benchmarks.plots import plot_lines
from benchmarks.requirements import REQUIREMENTS
from benchmarks.roles import compute_rows
from benchmarks.sizes import measure_sizes
from benchmarks.slopes import fit_slopes
from benchmarks.slopes import load_results
from benchmarks.slopes import Results
from benchmarks.slopes import save_results
from snipelead.logs import configure_logs

__all__ = ['main', 'render_roles', 'render_slopes']

DOCS_DIR = Path(__file__).resolve().parents[1] / 'docs'
PAGE_PATH = DOCS_DIR / 'CAPACITY.md'
RESULTS_PATH = DOCS_DIR / 'capacity.json'
CALL_COUNTS = (800, 1_600, 3_200, 6_400)
CLAIM_COUNTS = (320, 640, 1_280, 2_560)
NODE_COUNTS = (20, 40, 80, 120)
SIZE_COUNTS = (60, 115, 230, 460)


def measure_all(print_progress=print):
    """Run all benchmarks, which takes several minutes.

    Parameters
    ----------
    print_progress : callable
        Called with a message before each benchmark.

    Returns
    -------
    Results
    """
    print_progress('sizes')
    sizes = measure_sizes(SIZE_COUNTS)
    print_progress('calls')
    calls, node_mb = measure_calls(CALL_COUNTS)
    print_progress('claims')
    claims = measure_claims(CLAIM_COUNTS)
    fleet = []
    for count in NODE_COUNTS:
        print_progress(f'{count} nodes')
        fleet.append(measure_fleet(count, REQUIREMENTS.services))
    return Results(
        date=datetime.now(UTC).strftime('%Y-%m-%d %H:%M UTC'),
        machine=f'{os.cpu_count()} cores, Python {platform.python_version()}',
        services=REQUIREMENTS.services,
        node_mb=node_mb,
        calls=calls,
        claims=claims,
        fleet=fleet,
        sizes=sizes,
    )


def render_slopes(results, slopes):
    """Return the table of fitted lines as lines of Markdown."""
    lines = [
        f'Measured {results.date} on one machine, {results.machine}, shared'
        ' with other work.',
        '',
        '| Slope | Each | Intercept | R² | Points (x: y) |',
        '| --- | --- | --- | --- | --- |',
    ]
    for name in slopes.__struct_fields__:
        line = getattr(slopes, name)
        points = ', '.join(f'{x:g}: {y:.4g}' for x, y in line.points)
        lines.append(
            f'| `{name}` | {line.slope:.4g} | {line.intercept:.4g}'
            f' | {line.r_squared:.3f} | {points} |'
        )
    return lines


def _format_value(row):
    if row.value is None:
        return 'not known'
    return f'{row.value:.3g} {row.unit}'


def render_roles(rows):
    """Return the table of roles as lines of Markdown."""
    lines = [
        '| Role | Quantity | Worked out | Limit | Fits | Working |',
        '| --- | --- | --- | --- | --- | --- |',
    ]
    verdicts = {None: 'no limit set', True: 'yes', False: '**no**'}
    for row in rows:
        limit_type = 'at least' if row.limit_is_minimum else 'at most'
        limit = '' if row.limit is None else f'{limit_type} {row.limit:.4g}'
        lines.append(
            f'| {row.role} | {row.quantity} | {_format_value(row)}'
            f' | {limit} | {verdicts[row.within_limit]} | {row.derivation} |'
        )
    return lines


def write_page(results):
    """Rewrite the tables and plots of the page from measurements."""
    slopes = fit_slopes(results)
    text = PAGE_PATH.read_text()
    text = replace_section(text, 'slopes', render_slopes(results, slopes))
    rows = compute_rows(results, slopes)
    text = replace_section(text, 'roles', render_roles(rows))
    PAGE_PATH.write_text(text)
    plot_lines(
        DOCS_DIR / 'capacity-convergence.png',
        'Convergence of one change',
        'nodes',
        'seconds',
        {'slowest of 10 changes': slopes.convergence},
    )
    plot_lines(
        DOCS_DIR / 'capacity-bytes.png',
        'Control bytes on all links',
        'nodes',
        'bytes',
        {
            'idle, each second': slopes.idle_bytes,
            'one change': slopes.change_bytes,
        },
    )
    plot_lines(
        DOCS_DIR / 'capacity-calls.png',
        'Processor time of calls',
        'calls',
        'seconds',
        {
            'own target': slopes.call_local,
            'forwarded, first node': slopes.call_origin,
            'forwarded, second node': slopes.call_owner,
        },
    )


def main():
    """Run the benchmarks, unless ``--tables-only``, and rewrite the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--tables-only',
        action='store_true',
        help='rewrite the tables and plots from the saved measurements',
    )
    arguments = parser.parse_args()
    configure_logs(level='error')
    if not arguments.tables_only:
        save_results(measure_all(), RESULTS_PATH)
    write_page(load_results(RESULTS_PATH))


if __name__ == '__main__':
    main()
