"""Idle connections kept for reuse, by address."""

import trio

from snipelead.http.connection import connect
from snipelead.http.reading import ResponseReader

__all__ = ['ConnectionPool']


class ConnectionPool:
    """Connections to other processes; closes them all on exit.

    Parameters
    ----------
    idle_s : float
        An idle connection is not used again after this time in seconds; it
        is shorter than the other end's limit, so that the other end does
        not close just when a request is sent.
    max_idle : int
        Idle connections kept for each address.
    """

    def __init__(self, idle_s, max_idle):
        self.idle_s = idle_s
        self.max_idle = max_idle
        self.idle = {}

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        for address in tuple(self.idle):
            self.drop(address)

    def take(self, address):
        """Return a reader of a pooled connection, or None."""
        readers = self.idle.get(address)
        if not readers:
            return None
        oldest = trio.current_time() - self.idle_s
        while readers:
            reader = readers.pop()
            connection = reader.connection
            if connection.used_at > oldest and connection.is_silent():
                return reader
            connection.close()
        return None

    async def open(self, address):
        """Return a reader of a fresh connection.

        Raises
        ------
        ConnectFailedError
            If the address refuses.
        """
        return ResponseReader(await connect(address))

    def release(self, address, reader):
        """Take back a connection whose last response has been read whole."""
        readers = self.idle.setdefault(address, [])
        usable = reader.error is None and not reader.ready
        if not usable or len(readers) >= self.max_idle:
            reader.connection.close()
            return
        reader.connection.used_at = trio.current_time()
        readers.append(reader)

    def drop(self, address):
        """Close the idle connections to an address."""
        for reader in self.idle.pop(address, ()):
            reader.connection.close()

    def close_expired(self):
        """Close the connections that have been idle for too long."""
        oldest = trio.current_time() - self.idle_s
        for address, readers in tuple(self.idle.items()):
            kept = [r for r in readers if r.connection.used_at > oldest]
            for reader in readers:
                if reader.connection.used_at <= oldest:
                    reader.connection.close()
            self.idle[address] = kept
            if not kept:
                del self.idle[address]
