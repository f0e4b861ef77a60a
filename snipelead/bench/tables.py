"""Plain text tables of measurements."""

import math

__all__ = ['print_header', 'print_row', 'summarize_ms']


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


def print_header(columns):
    """Print the head of a Markdown table."""
    print('| ' + ' | '.join(columns) + ' |')
    print('|' + ' --- |' * len(columns), flush=True)


def print_row(values):
    """Print a row of a Markdown table."""
    print('| ' + ' | '.join(str(value) for value in values) + ' |', flush=True)
