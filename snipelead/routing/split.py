"""Weighted traffic splitting among the services of a route."""

import random

from snipelead.releases.document import MAX_TRACKED_ROUTES
from snipelead.utils.bounded_dict import BoundedDict

__all__ = ['TrafficSplitter']


# A new route starts at a random one of this many steps of its sequence.
MAX_PHASE_STEPS = 128


class TrafficSplitter:
    """Smooth weighted round robin for each route, from a random phase.

    After any number of requests, the count of each service deviates from its
    share by about one request, so the shares hold over short periods too. In
    a large fleet each node sees only a few requests of a route. The random
    phase keeps the nodes from giving all of these to the same service.

    Parameters
    ----------
    rng : random.Random or None
        Source of the phases.

    Attributes
    ----------
    credits : dict of RouteName to dict of ServiceName to float
        Accumulated weight of each service that it has not been given yet.
    """

    def __init__(self, rng=None):
        self.rng = rng or random.Random()
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
            for _ in range(self.rng.randrange(MAX_PHASE_STEPS)):
                _advance(route_credits, route.split, total)
        return _advance(route_credits, route.split, total)


def _advance(route_credits, split, total):
    """Return the service that is next in the sequence of a route."""
    for part in split:
        route_credits[part.service] += part.weight
    chosen = max(split, key=lambda part: route_credits[part.service])
    route_credits[chosen.service] -= total
    return chosen.service
