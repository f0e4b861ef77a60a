"""Routes of a release, arranged for matching."""

from snipelead.releases.document import Route

__all__ = ['RouteTable']


def _strip_port(host):
    if host.endswith(']'):
        return host
    name, colon, port = host.rpartition(':')
    return name if colon and port.isdigit() else host


class RouteTable:
    """Routes by host, longest path prefix first.

    Parameters
    ----------
    release : Release
        Release whose routes are matched.
    """

    def __init__(self, release):
        self.release = release
        self.by_host = {}
        for route in release.routes.values():
            host = route.host.lower() if route.host else None
            self.by_host.setdefault(host, []).append(route)
        for routes in self.by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))

    def match(self, host, path, method) -> Route | None:
        """Return the route of a request, or None.

        A route of the named host goes before one of any host; then the
        longest prefix wins.

        Parameters
        ----------
        host : str
            Host field, with or without a port.
        path : str
            Path without the query.
        method : str
            Request method.
        """
        named = self.by_host.get(_strip_port(host.lower()), ())
        return self._find(named, path, method) or self._find(
            self.by_host.get(None, ()), path, method
        )

    def _find(self, routes, path, method):
        for route in routes:
            if not path.startswith(route.path_prefix):
                continue
            if not route.methods or method in route.methods:
                return route
        return None
