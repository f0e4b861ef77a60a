"""Routes and random choices that the parts of a run share."""

import random

from snipelead.emulator.platform_operator import RouteSpec

__all__ = [
    'HOST',
    'make_chooser',
    'only_prefix',
    'ONLY_ROUTE',
    'ROUTES',
    'SERVICES',
]

HOST = 'soak.example'
SERVICES = ('reads', 'orders')

ROUTES = {
    '/reads/': RouteSpec('/reads/', 'reads'),
    '/orders/': RouteSpec('/orders/', 'orders', repeatable=False),
    '/moves/': RouteSpec('/moves/', 'reads'),
}
# Its prefix names the only release that has it.
ONLY_ROUTE = RouteSpec('/only/', 'reads')


def only_prefix(number):
    """Return the path prefix that only one release has."""
    return f'/only-{number:x}/'


def make_chooser(seed, name):
    """Return a source of random choices of one part of a run."""
    return random.Random(f'{seed} {name}')
