"""Plain text tables of measurements."""

import math

__all__ = ['print_table', 'summarize_ms']


def _quantile(ordered, share):
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def summarize_ms(delays_s):
    """Return p50, p99 and the largest delay in milliseconds.

    Parameters
    ----------
    delays_s : sequence of float
        Delays in seconds.
    """
    ordered = sorted(delays_s)
    values = (_quantile(ordered, 0.5), _quantile(ordered, 0.99), ordered[-1])
    return tuple(round(1_000 * value, 1) for value in values)


def print_table(rows):
    """Print rows with equal keys as a Markdown table."""
    columns = list(rows[0])
    print('| ' + ' | '.join(columns) + ' |')
    print('|' + ' --- |' * len(columns))
    for row in rows:
        print('| ' + ' | '.join(str(row[name]) for name in columns) + ' |')
