"""Validation of parameters and settings.

A constraint is a type, an :class:`Interval`, an :class:`Options`, ``None``
(the value may be None) or a callable that returns True for allowed values,
whose doc string describes these values in error messages.
"""

from dataclasses import dataclass
import ipaddress
from math import inf

from snipelead.exceptions import InvalidParameterError

__all__ = [
    'Interval',
    'Options',
    'check_address',
    'check_interval',
    'check_name',
    'check_parameters',
    'describe_constraint',
    'is_address',
    'is_name',
]

MAX_NAME_CHARS = 120
MAX_PORT = 65_535
_NAME_PUNCTUATION = frozenset('-_.:/')


@dataclass(frozen=True)
class Interval:
    """Closed interval of numbers.

    Parameters
    ----------
    number_type : type
        ``int``, or ``float`` to allow integers as well.
    low, high : float
        Bounds, which are allowed values.
    """

    number_type: type
    low: float = -inf
    high: float = inf

    def allows(self, value):
        """Return whether the value is a number in the interval."""
        if isinstance(value, bool):
            return False
        number_types = (int, float) if self.number_type is float else (int,)
        return (
            isinstance(value, number_types) and self.low <= value <= self.high
        )

    def __str__(self):
        return f'{self.number_type.__name__} in [{self.low}, {self.high}]'


@dataclass(frozen=True)
class Options:
    """Set of allowed values.

    Parameters
    ----------
    values : tuple
        Allowed values.
    """

    values: tuple

    def allows(self, value):
        """Return whether the value is one of the allowed values."""
        return value in self.values

    def __str__(self):
        return 'one of ' + ', '.join(repr(v) for v in self.values)


def _is_allowed(constraint, value):
    match constraint:
        case None:
            return value is None
        case Interval() | Options():
            return constraint.allows(value)
        case type():
            return isinstance(value, constraint)
        case _:
            return constraint(value)


def describe_constraint(constraint):
    """Return a description of the values that a constraint allows."""
    match constraint:
        case type() | None:
            return getattr(constraint, '__name__', 'None')
        case Interval() | Options():
            return str(constraint)
        case _:
            description = getattr(constraint, '__doc__', None) or repr(
                constraint
            )
            return description.rstrip('.')


def check_parameters(owner, values, constraints):
    """Check parameter values against constraints.

    Parameters
    ----------
    owner : str
        Name shown in the error message, usually of a class.
    values : dict of str to object
        Value by parameter name.
    constraints : dict of str to list
        Constraints by parameter name, of which one must be met.

    Raises
    ------
    InvalidParameterError
        If a value meets none of its constraints. The message names the
        parameter, its value and the allowed values.
    """
    for name, alternatives in constraints.items():
        value = values[name]
        if any(_is_allowed(c, value) for c in alternatives):
            continue
        allowed = ' or '.join(describe_constraint(c) for c in alternatives)
        raise InvalidParameterError(
            f'{owner}: parameter {name!r} must be {allowed}, got {value!r}',
            parameter=name,
            got=repr(value),
            allowed=allowed,
        )


def check_interval(owner, name, value, interval):
    """Check that a number is in an interval and return it.

    Raises
    ------
    InvalidParameterError
        If the value is not a number in the interval.
    """
    check_parameters(owner, {name: value}, {name: [interval]})
    return value


def is_address(value):
    """IP:port with an IP number and a port from 0 to 65535."""
    host, _, port = str(value).rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
        return port.isdecimal() and 0 <= int(port) <= MAX_PORT
    except ValueError:
        return False


def is_name(value):
    """1 to 120 letters, digits or any of -_.:/."""
    return (
        isinstance(value, str)
        and 0 < len(value) <= MAX_NAME_CHARS
        and all(c.isalnum() or c in _NAME_PUNCTUATION for c in value)
    )


def check_address(owner, name, value):
    """Check that a value is ``IP:port`` and return it.

    Raises
    ------
    InvalidParameterError
        If the host is not an IP address or the port is out of range.
    """
    check_parameters(owner, {name: value}, {name: [is_address]})
    return value


def check_name(owner, name, value):
    """Check that a value is a valid identifier and return it.

    Identifiers are used in releases and settings.

    Raises
    ------
    InvalidParameterError
        If the identifier is empty or too long, or contains other characters
        than letters, digits and ``-_.:/``.
    """
    check_parameters(owner, {name: value}, {name: [is_name]})
    return value
