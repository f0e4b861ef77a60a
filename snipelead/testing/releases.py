"""Releases of any size for tests and benchmarks."""

from snipelead.releases.document import Release
from snipelead.releases.document import Route
from snipelead.releases.document import Service
from snipelead.releases.document import Setting
from snipelead.types import ReleaseNumber

__all__ = ['change_route', 'make_release']

FIRST_DEADLINE_MS = 1_000


def make_release(number=1, services=3):
    """Return a release with some services.

    Each service has one route and one setting.
    """
    names = [f'service-{index}' for index in range(services)]
    return Release(
        ReleaseNumber(number),
        {name: Service(name) for name in names},
        {
            f'route-{name}': Route(
                f'route-{name}',
                name,
                path_prefix=f'/{name}',
                settings=(f'setting-{name}',),
            )
            for name in names
        },
        {f'setting-{name}': Setting(f'setting-{name}', 1) for name in names},
    )


def change_route(release, index=0, number=None):
    """Return a release that differs in the deadline of one route.

    Parameters
    ----------
    release : Release
        Release to derive from.
    index : int
        Index of the route, taken modulo the number of services.
    number : int or None
        Number of the new release; None for the next number.
    """
    number = number or release.number + 1
    name = f'route-service-{index % len(release.services)}'
    route = release.routes[name]
    changed = Route(
        route.name,
        route.service,
        path_prefix=route.path_prefix,
        deadline_ms=FIRST_DEADLINE_MS + number,
        settings=route.settings,
    )
    return Release(
        ReleaseNumber(number),
        release.services,
        release.routes | {name: changed},
        release.settings,
    )
