"""Weighted traffic splitting among the services of a route."""

from math import isclose
import random

from snipelead.releases.document import MAX_TRACKED_ROUTES
from snipelead.utils.bounded_dict import BoundedDict

__all__ = ['TrafficSplitter']


# A new sequence starts at a random one of this many steps of its sequence.
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
    sequences : dict of RouteName to SplitSequence
        Present position of each route in its sequence.
    """

    def __init__(self, rng=None):
        self.rng = rng or random.Random()
        self.sequences = BoundedDict(MAX_TRACKED_ROUTES)

    def choose(self, route):
        """Return the service of the next request of a route.

        A sequence goes on from one release to the next only while the shares
        of the services stay the same.

        Parameters
        ----------
        route : Route
            Route of the request. Without a split, or if all weights are 0,
            its own service is returned.

        Returns
        -------
        ServiceName
        """
        split = route.split
        if not split:
            return route.service
        sequence = self.sequences.get(route.name)
        if sequence is None or sequence.split is not split:
            shares = _compute_shares(split)
            if not shares:
                return route.service
            if sequence is None or not sequence.has_shares(shares):
                sequence = self._start_sequence(shares)
                self.sequences[route.name] = sequence
            sequence.split = split
        return sequence.advance()

    def _start_sequence(self, shares):
        sequence = SplitSequence(shares)
        for _ in range(self.rng.randrange(MAX_PHASE_STEPS)):
            sequence.advance()
        return sequence


class SplitSequence:
    """Sequence of services in which each one has a share.

    Parameters
    ----------
    shares : dict of ServiceName to float
        Share of each service, above 0; they add up to 1.

    Attributes
    ----------
    credits : dict of ServiceName to float
        Number of requests that each service has not been given yet.
    split : tuple of WeightedService or None
        Split that the shares were last compared with.
    """

    __slots__ = ('credits', 'shares', 'split')

    def __init__(self, shares):
        self.shares = shares
        self.credits = dict.fromkeys(shares, 0.0)
        self.split = None

    def has_shares(self, shares):
        """Return whether the services have these shares."""
        return self.shares.keys() == shares.keys() and all(
            isclose(share, self.shares[service])
            for service, share in shares.items()
        )

    def advance(self):
        """Return the next service of the sequence."""
        for service, share in self.shares.items():
            self.credits[service] += share
        chosen = max(self.credits, key=self.credits.get)
        self.credits[chosen] -= 1.0
        return chosen


def _compute_shares(split):
    """Return the shares of the services with a weight above 0."""
    total = sum(part.weight for part in split)
    shares = {}
    for part in split:
        if part.weight > 0:
            share = part.weight / total
            shares[part.service] = shares.get(part.service, 0.0) + share
    return shares
