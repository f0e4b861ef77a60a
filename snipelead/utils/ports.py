"""Addresses for processes that are started together on one machine."""

import random
import socket

from snipelead.types import Address

__all__ = ['find_free_addresses']

LOOPBACK = '127.0.0.1'
# Below the range that systems take the ports of outgoing connections from,
# so that none of those takes a port before its process binds it.
PORTS = range(10_000, 32_000)
SPARE_PORTS = 100


def find_free_addresses(count):
    """Return loopback addresses whose ports were free a moment ago.

    Parameters
    ----------
    count : int
        How many addresses; they all differ.

    Returns
    -------
    list of Address
    """
    # The choice is not seeded, so that runs side by side differ in it.
    ports = random.SystemRandom().sample(PORTS, count + SPARE_PORTS)
    free = [port for port in ports if _is_free(port)]
    return [Address(f'{LOOPBACK}:{port}') for port in free[:count]]


def _is_free(port):
    with socket.socket() as sock:
        try:
            sock.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
