"""Validation of releases before they are accepted and before they are used."""

from snipelead.exceptions import InvalidParameterError
from snipelead.releases.document import EMPTY_RELEASE
from snipelead.releases.document import MAX_DEADLINE_MS
from snipelead.releases.exceptions import DanglingReferenceError
from snipelead.releases.exceptions import InvalidNoteError
from snipelead.utils.validation import check_interval
from snipelead.utils.validation import check_name
from snipelead.utils.validation import Interval

__all__ = ['check_release']

# Key in the instance dictionary of a release that marks it as validated.
_CHECKED_KEY = '_checked'
_COUNT = Interval(int, 1, 100_000)
_DEADLINE_MS = Interval(int, 1, MAX_DEADLINE_MS)
_TIME_MS = Interval(int, 0, 24 * 60 * 60 * 1_000)
_PRIORITY = Interval(int, 0, 1_000)
_WEIGHT = Interval(float, 0)
_RATE = Interval(float, 0)


def _check_service(service):
    check_name('service', 'name', service.name)
    check_interval(service.name, 'slots', service.slots, _COUNT)
    check_interval(service.name, 'connections', service.connections, _COUNT)


def _check_route(route):
    check_name('route', 'name', route.name)
    check_interval(route.name, 'deadline_ms', route.deadline_ms, _DEADLINE_MS)
    check_interval(route.name, 'timeout_ms', route.timeout_ms, _TIME_MS)
    if route.target_latency_ms is not None:
        check_interval(
            route.name,
            'target_latency_ms',
            route.target_latency_ms,
            _TIME_MS,
        )
    check_interval(route.name, 'priority', route.priority, _PRIORITY)
    check_interval(route.name, 'max_attempts', route.max_attempts, _COUNT)
    for part in route.split:
        check_interval(route.name, 'weight', part.weight, _WEIGHT)
    if not route.path_prefix.startswith('/'):
        raise InvalidNoteError(
            f'route {route.name!r}: path_prefix must start with "/",'
            f' got {route.path_prefix!r}'
        )


def _check_customer(customer):
    check_name('customer', 'name', customer.name)
    if customer.priority is not None:
        check_interval(customer.name, 'priority', customer.priority, _PRIORITY)
    check_interval(customer.name, 'rate_per_s', customer.rate_per_s, _RATE)
    check_interval(customer.name, 'burst', customer.burst, _RATE)
    if '' in customer.api_keys:
        raise InvalidNoteError(
            f'customer {customer.name!r} has an empty API key'
        )


def _check_key_owners(release):
    """Check that each API key belongs to one customer."""
    owners = {}
    for customer in release.customers.values():
        for key in customer.api_keys:
            owner = owners.setdefault(key, customer.name)
            if owner != customer.name:
                # The message must not contain the key.
                raise InvalidNoteError(
                    f'customers {owner!r} and {customer.name!r} share an API'
                    ' key',
                    customer=customer.name,
                )


def _check_references(route, release):
    for service in (route.service, *route.services):
        if service not in release.services:
            raise DanglingReferenceError(
                f'route {route.name!r} refers to service {service!r},'
                ' which the release does not contain',
                route=route.name,
                missing=service,
            )
    for name in route.settings:
        if name not in release.settings:
            raise DanglingReferenceError(
                f'route {route.name!r} depends on setting {name!r},'
                ' which the release does not contain',
                route=route.name,
                missing=name,
            )


def _check_values(release, valid_base):
    for service in _find_unchecked(release.services, valid_base.services):
        _check_service(service)
    for setting in _find_unchecked(release.settings, valid_base.settings):
        check_name('setting', 'name', setting.name)
    for route in _find_unchecked(release.routes, valid_base.routes):
        _check_route(route)
    for customer in _find_unchecked(release.customers, valid_base.customers):
        _check_customer(customer)


def _find_unchecked(table, valid_base):
    """Return the entries that are not identical objects in a valid release."""
    return [v for k, v in table.items() if valid_base.get(k) is not v]


def _is_checked(release):
    return _CHECKED_KEY in release.__dict__


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
    valid_base = EMPTY_RELEASE
    if base is not None and _is_checked(base):
        valid_base = base
    try:
        _check_values(release, valid_base)
    except InvalidParameterError as error:
        raise InvalidNoteError(error.message, **error.details) from error
    for route in release.routes.values():
        _check_references(route, release)
    _check_key_owners(release)
    release.__dict__[_CHECKED_KEY] = True
