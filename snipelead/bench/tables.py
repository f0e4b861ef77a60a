"""Markdown tables of measurements."""

import math

__all__ = ['print_header', 'print_row', 'summarize_ms']


def _quantile(sorted_values, fraction):
    return sorted_values[max(0, math.ceil(fraction * len(sorted_values)) - 1)]


def summarize_ms(delays_s):
    """Return the median, 99th percentile and maximum in milliseconds.

    Parameters
    ----------
    delays_s : sequence of float
        Delays in seconds.
    """
    sorted_values = sorted(delays_s)
    values = (
        _quantile(sorted_values, 0.5),
        _quantile(sorted_values, 0.99),
        sorted_values[-1],
    )
    return tuple(round(1_000 * value, 1) for value in values)


def print_header(columns):
    """Print the header of a Markdown table."""
    print('| ' + ' | '.join(columns) + ' |')
    print('|' + ' --- |' * len(columns), flush=True)


def print_row(values):
    """Print a row of a Markdown table."""
    print('| ' + ' | '.join(str(value) for value in values) + ' |', flush=True)
