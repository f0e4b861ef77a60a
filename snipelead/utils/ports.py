"""Free loopback addresses for processes on one machine."""

import random
import socket

from snipelead.types import Address

__all__ = ['find_free_addresses']

# Values of the second and third octet of the loopback address. With so many
# hosts, concurrent runs rarely select the same one.
LOOPBACK_OCTETS = range(1, 250)
# Below the range of ephemeral ports, so that no outgoing connection takes a
# port before its process binds it.
PORT_RANGE = range(10_000, 32_000)
# Additional ports drawn, because some may be in use.
SPARE_PORTS = 100


def find_free_addresses(count):
    """Return different loopback addresses whose ports are currently free.

    The ports are not reserved, so another process may bind them first.

    Parameters
    ----------
    count : int
        Number of addresses.

    Returns
    -------
    list of Address
    """
    # Not seeded, so that concurrent runs select different addresses.
    rng = random.SystemRandom()
    second_octet, third_octet = rng.choices(LOOPBACK_OCTETS, k=2)
    host = f'127.{second_octet}.{third_octet}.1'
    candidate_ports = rng.sample(PORT_RANGE, count + SPARE_PORTS)
    free_ports = [port for port in candidate_ports if _is_free(host, port)]
    return [Address(f'{host}:{port}') for port in free_ports[:count]]


def _is_free(host, port):
    with socket.socket() as sock:
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True
