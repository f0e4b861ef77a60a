"""Parsing and validation of benchmark options."""

from snipelead.exceptions import InvalidParameterError
from snipelead.utils.validation import check_parameters
from snipelead.utils.validation import Options

__all__ = ['parse_choices', 'parse_number', 'with_defaults']


def with_defaults(known, options):
    """Return the options of a benchmark, with defaults for missing ones.

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
    """Parse the numeric value of an option.

    Parameters
    ----------
    bench, name : str
        Names of the benchmark and the option, for the error message.
    text : str
        Value to parse.
    interval : Interval
        Allowed range.

    Returns
    -------
    int or float

    Raises
    ------
    InvalidParameterError
        If the text is not a number within the interval.
    """
    try:
        value = interval.number_type(text)
    except ValueError as error:
        raise InvalidParameterError(
            f'{bench}: parameter {name!r} must be {interval}, got {text!r}',
            parameter=name,
            got=repr(text),
            allowed=str(interval),
        ) from error
    check_parameters(bench, {name: value}, {name: [interval]})
    return value


def parse_choices(bench, name, text, allowed):
    """Parse a comma-separated list of choices.

    Parameters
    ----------
    bench, name : str
        Names of the benchmark and the option, for the error message.
    text : str
        Value to parse.
    allowed : iterable of str
        Allowed choices.

    Returns
    -------
    list of str

    Raises
    ------
    InvalidParameterError
        If a choice is not allowed.
    """
    parts = text.split(',')
    constraints = {name: [Options(tuple(allowed))]}
    for part in parts:
        check_parameters(bench, {name: part}, constraints)
    return parts
