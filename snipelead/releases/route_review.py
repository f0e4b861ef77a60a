"""Review of the routes of a release."""

from snipelead.releases.document import DEFAULT_DEADLINE_MS
from snipelead.releases.document import MAX_DEADLINE_MS
from snipelead.releases.findings import FindingKind
from snipelead.releases.findings import make_warning
from snipelead.routing.table import RouteTable
from snipelead.routing.table import strip_port
from snipelead.types import RequestClass

__all__ = ['review_routes']


def _find_covering(route, earlier):
    """Return the routes that together take all requests of a route."""
    for other in earlier:
        if not other.methods:
            return [other]
    covering = [o for o in earlier if set(o.methods) & set(route.methods)]
    covered = {method for other in covering for method in other.methods}
    is_covered = route.methods and covered.issuperset(route.methods)
    return covering if is_covered else []


def _review_order(release):
    for routes in RouteTable(release).by_host.values():
        routes_by_prefix = {}
        for route in routes:
            earlier = routes_by_prefix.setdefault(route.path_prefix, [])
            covering = _find_covering(route, earlier)
            earlier.append(route)
            if not covering:
                continue
            names = [f'route {other.name!r}' for other in covering]
            yield make_warning(
                FindingKind.SHADOWED_ROUTE,
                f'never matches, because {" and ".join(names)} with the same'
                ' host and prefix goes first',
                f'route {route.name!r}',
                *names,
            )


def _review_match(route, entry):
    # The port of the request's host is removed before the look-up.
    if route.host and strip_port(route.host) != route.host:
        yield make_warning(
            FindingKind.UNMATCHABLE_HOST,
            f'host {route.host!r} never matches, because it has a port',
            entry,
        )
    if '?' in route.path_prefix or '#' in route.path_prefix:
        yield make_warning(
            FindingKind.UNMATCHABLE_PREFIX,
            f'path_prefix {route.path_prefix!r} never matches, because paths'
            ' are compared without query and fragment',
            entry,
        )
    methods = [m for m in route.methods if m != m.upper()]
    if methods:
        yield make_warning(
            FindingKind.UNMATCHABLE_METHOD,
            'methods are compared in upper case, got '
            + ', '.join(repr(method) for method in methods),
            entry,
        )


def _review_split(route, entry):
    if not route.split:
        return
    if all(part.weight == 0 for part in route.split):
        yield make_warning(
            FindingKind.ZERO_WEIGHTS,
            'all weights are 0, so all requests go to service'
            f' {route.service!r}',
            entry,
        )
    elif route.service not in route.services:
        yield make_warning(
            FindingKind.SERVICE_OUTSIDE_SPLIT,
            f'service {route.service!r} gets no requests, because it is not'
            ' in the split',
            entry,
            f'service {route.service!r}',
        )


def _review_times(route, entry):
    limit, limit_name = route.timeout_ms, 'timeout_ms'
    if not limit:
        limit, limit_name = route.deadline_ms, 'deadline_ms'
    latency = route.target_latency_ms
    if latency is not None and latency >= limit:
        yield make_warning(
            FindingKind.LATENCY_ABOVE_LIMIT,
            f'target_latency_ms {latency} is not below {limit_name} {limit}',
            entry,
        )
    # The default deadline may be above the timeout without being stated.
    if (
        route.timeout_ms
        and route.deadline_ms > route.timeout_ms
        and route.deadline_ms != DEFAULT_DEADLINE_MS
    ):
        yield make_warning(
            FindingKind.DEADLINE_ABOVE_TIMEOUT,
            f'deadline_ms {route.deadline_ms} is cut to timeout_ms'
            f' {route.timeout_ms}',
            entry,
        )
    if route.timeout_ms > MAX_DEADLINE_MS:
        yield make_warning(
            FindingKind.TIMEOUT_ABOVE_MAXIMUM,
            f'timeout_ms {route.timeout_ms} is never reached, because'
            f' deadlines are cut to {MAX_DEADLINE_MS}',
            entry,
        )


def review_routes(release):
    """Yield the findings about the routes of a release.

    ``max_attempts`` above 1 on a route that is not repeatable is none: a
    request that certainly did not run is sent to another target there too.

    Parameters
    ----------
    release : Release
        Release to review.

    Yields
    ------
    Finding
    """
    yield from _review_order(release)
    for route in release.routes.values():
        entry = f'route {route.name!r}'
        yield from _review_match(route, entry)
        yield from _review_split(route, entry)
        yield from _review_times(route, entry)
        if route.repeatable and route.request_class is RequestClass.ONCE:
            yield make_warning(
                FindingKind.REPEATABLE_ONCE,
                'is repeatable, but its request_class is once',
                entry,
            )
