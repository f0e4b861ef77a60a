"""Checks of whole releases, made before acceptance and before each swap."""

from snipelead.exceptions import InvalidParameterError
from snipelead.releases.exceptions import DanglingReferenceError
from snipelead.releases.exceptions import InvalidNoteError
from snipelead.utils.validation import check_interval
from snipelead.utils.validation import check_name
from snipelead.utils.validation import Interval

__all__ = ['check_release']

_SLOTS = Interval(int, 1, 100_000)
_DEADLINE_MS = Interval(int, 1, 3_600_000)


def _check_service(service):
    check_name('service', 'name', service.name)
    check_interval(service.name, 'slots', service.slots, _SLOTS)
    check_interval(service.name, 'connections', service.connections, _SLOTS)


def _check_route(route, release):
    check_name('route', 'name', route.name)
    check_interval(route.name, 'deadline_ms', route.deadline_ms, _DEADLINE_MS)
    if not route.path_prefix.startswith('/'):
        raise InvalidNoteError(
            f'route {route.name!r}: path_prefix must start with a slash,'
            f' got {route.path_prefix!r}'
        )
    if route.service not in release.services:
        raise DanglingReferenceError(
            f'route {route.name!r} points at service {route.service!r},'
            ' which the release does not hold',
            route=route.name,
            missing=route.service,
        )
    for name in route.settings:
        if name not in release.settings:
            raise DanglingReferenceError(
                f'route {route.name!r} depends on setting {name!r},'
                ' which the release does not hold',
                route=route.name,
                missing=name,
            )


def check_release(release):
    """Check that a release is whole.

    Raises
    ------
    DanglingReferenceError
        If a route points at a service or setting that is not held.
    InvalidNoteError
        If a value is not allowed.
    """
    try:
        for service in release.services.values():
            _check_service(service)
        for setting in release.settings.values():
            check_name('setting', 'name', setting.name)
        for route in release.routes.values():
            _check_route(route, release)
    except InvalidParameterError as error:
        raise InvalidNoteError(error.message, **error.details) from error
