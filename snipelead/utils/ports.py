"""Addresses for processes that are started together on one machine."""

import random
import socket

from snipelead.types import Address

__all__ = ['find_free_addresses']

# Addresses of the loopback network that processes started together use; the
# choice among many hosts keeps runs side by side from meeting.
LOOPBACK_BYTES = range(1, 250)
# Below the range that systems take the ports of outgoing connections from,
# so that none of those takes a port before its process binds it.
PORTS = range(10_000, 32_000)
# Drawn besides those asked for, in case some are in use.
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
    chooser = random.SystemRandom()
    network, subnet = chooser.choices(LOOPBACK_BYTES, k=2)
    host = f'127.{network}.{subnet}.1'
    ports = chooser.sample(PORTS, count + SPARE_PORTS)
    free = [port for port in ports if _is_free(host, port)]
    return [Address(f'{host}:{port}') for port in free[:count]]


def _is_free(host, port):
    with socket.socket() as sock:
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True
