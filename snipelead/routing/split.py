"""Weighted traffic splitting among the services of a route."""

from snipelead.releases.document import MAX_TRACKED_ROUTES
from snipelead.utils.bounded_dict import BoundedDict

__all__ = ['TrafficSplitter']


class TrafficSplitter:
    """Smooth weighted round robin for each route.

    After any number of requests, the count of each service deviates from its
    share by less than one request, so the shares hold over short periods too.

    Attributes
    ----------
    credits : dict of RouteName to dict of ServiceName to float
        Accumulated weight of each service that it has not been given yet.
    """

    def __init__(self):
        self.credits = BoundedDict(MAX_TRACKED_ROUTES)

    def choose(self, route):
        """Return the service of the next request of a route.

        Parameters
        ----------
        route : Route
            Route of the request. Without a split, or if all weights are 0,
            its own service is returned.

        Returns
        -------
        ServiceName
        """
        if not route.split:
            return route.service
        total = sum(part.weight for part in route.split)
        if total <= 0:
            return route.service
        services = {part.service for part in route.split}
        route_credits = self.credits.get(route.name)
        if route_credits is None or route_credits.keys() != services:
            route_credits = self.credits[route.name] = dict.fromkeys(
                services, 0.0
            )
        for part in route.split:
            route_credits[part.service] += part.weight
        chosen = max(route.split, key=lambda part: route_credits[part.service])
        route_credits[chosen.service] -= total
        return chosen.service
