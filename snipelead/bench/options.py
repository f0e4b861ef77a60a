"""Reading of the options of benchmarks, which are given as text."""

from snipelead.exceptions import InvalidParameterError
from snipelead.utils.validation import check_parameters
from snipelead.utils.validation import Options

__all__ = ['choose', 'parse_number', 'with_defaults']


def with_defaults(known, options):
    """Return the options of a benchmark, with defaults for those not given.

    Parameters
    ----------
    known : dict of str to (str, str)
        Default and help text by option name.
    options : dict of str to str
        Values that differ from the defaults.

    Returns
    -------
    dict of str to str
    """
    return {name: default for name, (default, _) in known.items()} | options


def parse_number(bench, name, text, interval):
    """Return the number that an option gives.

    Parameters
    ----------
    bench, name : str
        Benchmark and option, shown in the error.
    text : str
        Value.
    interval : Interval
        Numbers allowed.

    Returns
    -------
    int or float

    Raises
    ------
    InvalidParameterError
        If the text is not a number of the interval.
    """
    try:
        value = interval.kind(text)
    except ValueError as error:
        raise InvalidParameterError(
            f'{bench}: parameter {name!r} must be {interval}, got {text!r}',
            parameter=name,
            got=repr(text),
            allowed=str(interval),
        ) from error
    check_parameters(bench, {name: value}, {name: [interval]})
    return value


def choose(bench, name, text, allowed):
    """Return the parts of a list separated by commas.

    Parameters
    ----------
    bench, name : str
        Benchmark and option, shown in the error.
    text : str
        Value.
    allowed : iterable of str
        Parts allowed.

    Returns
    -------
    list of str

    Raises
    ------
    InvalidParameterError
        If a part is not allowed.
    """
    parts = text.split(',')
    constraints = {name: [Options(tuple(allowed))]}
    for part in parts:
        check_parameters(bench, {name: part}, constraints)
    return parts
