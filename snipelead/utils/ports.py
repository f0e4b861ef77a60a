"""Addresses for processes that are started together on one machine."""

from contextlib import ExitStack
import socket

from snipelead.types import Address

__all__ = ['find_free_addresses']

LOOPBACK = '127.0.0.1'


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
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in sockets:
            sock.bind((LOOPBACK, 0))
        return [
            Address(f'{LOOPBACK}:{sock.getsockname()[1]}') for sock in sockets
        ]
