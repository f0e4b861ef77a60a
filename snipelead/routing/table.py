"""Index of the routes of a release for matching requests."""

from snipelead.releases.document import Route

__all__ = ['RouteTable', 'strip_port']


def strip_port(host):
    """Return a host without its port, if it has one.

    Parameters
    ----------
    host : str
        Value of a Host field.

    Returns
    -------
    str
    """
    if host.endswith(']'):
        return host
    name, colon, port = host.rpartition(':')
    return name if colon and port.isdigit() else host


class RouteTable:
    """Routes by host, sorted by descending length of the path prefix.

    Parameters
    ----------
    release : Release
        Release that defines the routes.

    Attributes
    ----------
    by_host : dict of str or None to list of Route
        Routes of each host in lower case; None holds those for any host.
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
        """Return the route that matches a request, or None.

        Routes of the given host take precedence over those for any host;
        among either, the longest matching path prefix wins.

        Parameters
        ----------
        host : str
            Value of the Host field, with or without a port.
        path : str
            Request path without the query string.
        method : str
            HTTP method of the request.
        """
        host_routes = self.by_host.get(strip_port(host.lower()), ())
        return self._find_first(host_routes, path, method) or self._find_first(
            self.by_host.get(None, ()), path, method
        )

    def _find_first(self, routes, path, method):
        for route in routes:
            if not path.startswith(route.path_prefix):
                continue
            if not route.methods or method in route.methods:
                return route
        return None
