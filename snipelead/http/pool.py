"""Pool of idle connections for reuse."""

import trio

from snipelead.http.connection import connect
from snipelead.http.reading import DEFAULT_FIELD_RULES
from snipelead.http.reading import DEFAULT_MAX_HEAD_BYTES
from snipelead.http.reading import ResponseReader

__all__ = ['ConnectionPool']


class ConnectionPool:
    """Pool of connections by address; closes the idle ones on exit.

    Parameters
    ----------
    idle_timeout_s : float
        Time in seconds after which an idle connection is not reused. It has
        to be shorter than the peer's idle timeout; otherwise the peer may
        close the connection while a request is being sent.
    max_idle_per_address : int
        Maximum number of idle connections kept for each address.
    rules : FieldRules
        Header fields of responses that are inspected or removed.
    user_timeout_ms : int or None
        ``TCP_USER_TIMEOUT`` of the connections in milliseconds; None keeps
        the default of the system.

    Attributes
    ----------
    idle_readers : dict of Address to list of ResponseReader
        Readers of the idle connections.
    """

    def __init__(
        self,
        idle_timeout_s,
        max_idle_per_address,
        rules=DEFAULT_FIELD_RULES,
        user_timeout_ms=None,
    ):
        self.idle_timeout_s = idle_timeout_s
        self.max_idle_per_address = max_idle_per_address
        self.rules = rules
        self.user_timeout_ms = user_timeout_ms
        self.idle_readers = {}

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        for address in tuple(self.idle_readers):
            self.close_idle(address)

    def acquire(self, address):
        """Remove an idle connection from the pool.

        Connections that expired or that the peer closed are closed on the
        way.

        Returns
        -------
        ResponseReader or None
            Reader of the connection, None if there is no idle one.
        """
        readers = self.idle_readers.get(address)
        if not readers:
            return None
        now = trio.current_time()
        while readers:
            reader = readers.pop()
            connection = reader.connection
            if self._is_unexpired(reader, now) and connection.is_idle():
                return reader
            connection.close()
        return None

    def _is_unexpired(self, reader, now):
        """Return whether an idle connection is within its idle timeout."""
        idle_timeout_s = min(self.idle_timeout_s, reader.idle_timeout_s)
        return now - reader.connection.last_used_at < idle_timeout_s

    async def open(self, address):
        """Open a new connection and return its reader.

        Raises
        ------
        ConnectFailedError
            If the connection could not be opened.
        """
        connection = await connect(address)
        if self.user_timeout_ms is not None:
            connection.set_user_timeout(self.user_timeout_ms)
        return ResponseReader(connection, DEFAULT_MAX_HEAD_BYTES, self.rules)

    def release(self, address, reader):
        """Return a connection to the pool after a complete response.

        The connection is closed instead if it cannot be reused or if the
        pool already keeps the maximum for the address.
        """
        readers = self.idle_readers.setdefault(address, [])
        # Data after the response belongs to no request.
        unread_data = (
            reader.ready_messages or reader.current_message is not None
        )
        is_reusable = (
            reader.error is None
            and not unread_data
            and not reader.request_incomplete
        )
        if not is_reusable or len(readers) >= self.max_idle_per_address:
            reader.connection.close()
            return
        reader.connection.last_used_at = trio.current_time()
        readers.append(reader)

    def close_idle(self, address):
        """Close all idle connections to an address."""
        for reader in self.idle_readers.pop(address, ()):
            reader.connection.close()

    def close_expired(self):
        """Close the connections that exceeded their idle timeout."""
        now = trio.current_time()
        for address, readers in tuple(self.idle_readers.items()):
            kept = [r for r in readers if self._is_unexpired(r, now)]
            for reader in readers:
                if reader not in kept:
                    reader.connection.close()
            self.idle_readers[address] = kept
            if not kept:
                del self.idle_readers[address]
