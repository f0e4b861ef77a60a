"""Validation of releases before they are accepted and before they are used."""

from msgspec import Struct

from snipelead.exceptions import InvalidParameterError
from snipelead.exceptions import SnipeleadError
from snipelead.releases.document import EMPTY_RELEASE
from snipelead.releases.document import MAX_DEADLINE_MS
from snipelead.releases.exceptions import DanglingReferenceError
from snipelead.releases.exceptions import InvalidNoteError
from snipelead.utils.validation import check_interval
from snipelead.utils.validation import check_name
from snipelead.utils.validation import Interval

__all__ = ['Refusal', 'check_release', 'find_errors']

# Key in the instance dictionary of a release that marks it as validated.
_CHECKED_KEY = '_checked'
_COUNT = Interval(int, 1, 100_000)
_DEADLINE_MS = Interval(int, 1, MAX_DEADLINE_MS)
_TIME_MS = Interval(int, 0, 24 * 60 * 60 * 1_000)
_PRIORITY = Interval(int, 0, 1_000)
_WEIGHT = Interval(float, 0)
_RATE = Interval(float, 0)
# Intervals of the numbers of each kind of entry; None is allowed as well where
# the type of the field allows it.
_INTERVALS = {
    'service': {'slots': _COUNT, 'connections': _COUNT},
    'setting': {},
    'route': {
        'deadline_ms': _DEADLINE_MS,
        'timeout_ms': _TIME_MS,
        'target_latency_ms': _TIME_MS,
        'priority': _PRIORITY,
        'max_attempts': _COUNT,
    },
    'customer': {
        'priority': _PRIORITY,
        'rate_per_s': _RATE,
        'burst': _RATE,
    },
}


class Refusal(Struct, frozen=True):
    """Reason to refuse a release.

    Parameters
    ----------
    entries : tuple of str
        Entries that it is about, such as ``route 'levels'``.
    error : SnipeleadError
        Error that is raised for it.
    """

    entries: tuple[str, ...]
    error: SnipeleadError


def _list_bounds(kind, entry):
    """Yield the field, value and interval of all numbers of an entry."""
    for field, interval in _INTERVALS[kind].items():
        yield field, getattr(entry, field), interval
    if kind == 'route':
        for part in entry.split:
            yield 'weight', part.weight, _WEIGHT


def _find_invalid_numbers(kind, entry):
    for field, value, interval in _list_bounds(kind, entry):
        # Most numbers are valid; check_interval only makes the error.
        if value is None or interval.allows(value):
            continue
        try:
            check_interval(entry.name, field, value, interval)
        except InvalidParameterError as error:
            yield InvalidNoteError(error.message, **error.details)


def _find_entry_errors(kind, entry):
    try:
        check_name(kind, 'name', entry.name)
    except InvalidParameterError as error:
        yield InvalidNoteError(error.message, **error.details)
    yield from _find_invalid_numbers(kind, entry)
    if kind == 'route' and not entry.path_prefix.startswith('/'):
        yield InvalidNoteError(
            f'route {entry.name!r}: path_prefix must start with "/",'
            f' got {entry.path_prefix!r}'
        )
    if kind == 'customer' and '' in entry.api_keys:
        yield InvalidNoteError(f'customer {entry.name!r} has an empty API key')


def _find_value_errors(release, valid_base):
    for kind, table, valid_table in (
        ('service', release.services, valid_base.services),
        ('setting', release.settings, valid_base.settings),
        ('route', release.routes, valid_base.routes),
        ('customer', release.customers, valid_base.customers),
    ):
        for entry in _find_unchecked(table, valid_table):
            for error in _find_entry_errors(kind, entry):
                yield Refusal((f'{kind} {entry.name!r}',), error)


def _find_unchecked(table, valid_base):
    """Return the entries that are not identical objects in a valid release."""
    return [v for k, v in table.items() if valid_base.get(k) is not v]


def _find_reference_errors(route, release):
    for service in dict.fromkeys((route.service, *route.services)):
        if service not in release.services:
            yield DanglingReferenceError(
                f'route {route.name!r} refers to service {service!r},'
                ' which the release does not contain',
                route=route.name,
                missing=service,
            )
    for name in route.settings:
        if name not in release.settings:
            yield DanglingReferenceError(
                f'route {route.name!r} depends on setting {name!r},'
                ' which the release does not contain',
                route=route.name,
                missing=name,
            )


def _find_shared_key_errors(release):
    """Yield an error for each API key that belongs to two customers."""
    owners = {}
    for customer in release.customers.values():
        for key in customer.api_keys:
            owner = owners.setdefault(key, customer.name)
            if owner != customer.name:
                # The message must not contain the key.
                error = InvalidNoteError(
                    f'customers {owner!r} and {customer.name!r} share an API'
                    ' key',
                    customer=customer.name,
                )
                entries = (
                    f'customer {owner!r}',
                    f'customer {customer.name!r}',
                )
                yield Refusal(entries, error)


def _is_checked(release):
    return _CHECKED_KEY in release.__dict__


def find_errors(release, base=None):
    """Yield everything in a release that is not allowed.

    The references of all routes are checked, but values only for entries that
    are not shared with a validated ``base``.

    Parameters
    ----------
    release : Release
        Release to validate.
    base : Release or None
        Release that it was derived from.

    Yields
    ------
    Refusal
        With an InvalidNoteError or a DanglingReferenceError.
    """
    valid_base = EMPTY_RELEASE
    if base is not None and _is_checked(base):
        valid_base = base
    yield from _find_value_errors(release, valid_base)
    for route in release.routes.values():
        for error in _find_reference_errors(route, release):
            yield Refusal((f'route {route.name!r}',), error)
    yield from _find_shared_key_errors(release)


def check_release(release, base=None):
    """Validate the values and references of a release.

    A release that passed is not validated again. The references of all routes
    are checked, but values only for entries that are not shared with a
    validated ``base``.

    Parameters
    ----------
    release : Release
        Release to validate.
    base : Release or None
        Release that it was derived from.

    Raises
    ------
    DanglingReferenceError
        If a route refers to a service or setting that the release lacks.
    InvalidNoteError
        If a value is not allowed, or two customers share an API key.
    """
    if _is_checked(release):
        return
    for refusal in find_errors(release, base):
        raise refusal.error
    release.__dict__[_CHECKED_KEY] = True
