"""Routes and random generators shared by the parts of a run."""

import random

from snipelead.emulator.platform_operator import RouteSpec

__all__ = [
    'BODY_BYTE',
    'HOST',
    'make_rng',
    'marker_prefix',
    'MARKER_ROUTE',
    'ROUTES',
    'SERVICES',
]

HOST = 'soak.example'
# All bytes of the bodies of requests.
BODY_BYTE = b'x'
SERVICES = ('reads', 'orders')

ROUTES = {
    '/reads/': RouteSpec('/reads/', 'reads'),
    '/orders/': RouteSpec('/orders/', 'orders', repeatable=False),
    # The service of this route varies between releases.
    '/moves/': RouteSpec('/moves/', 'reads', public=True),
}
# Each release has a route of its own whose prefix carries the release number,
# so that a request shows whether a node has applied that release.
MARKER_ROUTE = RouteSpec('/marker/', 'reads', public=True)


def marker_prefix(number):
    """Return the path prefix of the marker route of a release."""
    return f'/marker-{number:x}/'


def make_rng(seed, name):
    """Return the random generator of one part of a run."""
    return random.Random(f'{seed} {name}')
