"""Limits on the buffers and connections of all callers of a process."""

from enum import Enum
import resource

import trio

__all__ = [
    'BufferAccount',
    'CallerBudget',
    'DEFAULT_BUFFER_BYTES',
    'DEFAULT_DESCRIPTOR_SHARE',
    'LimitKind',
]

DEFAULT_BUFFER_BYTES = 32 * 1024 * 1024
DEFAULT_DESCRIPTOR_SHARE = 0.8
# Connections are closed until this share of the limit is in use, so that the
# search for them is not repeated for each buffer that is added.
TARGET_SHARE = 0.9
# From this share on, pipelined requests are read one at a time.
TIGHT_SHARE = 0.5
# Connections closed at a time, as a share of the limit of connections.
CLOSED_CONNECTIONS_SHARE = 0.02
# Connections that use less are not closed to free buffers.
MIN_CLOSED_BYTES = 4 * 1024


class LimitKind(Enum):
    """Limit, or other reason, that caused a connection to be closed."""

    BUFFERS = 'buffers'
    CONNECTIONS = 'connections'
    HEAD_TIMEOUT = 'head-timeout'
    # What was received is not a valid request.
    MALFORMED = 'malformed'
    RESPONSE_TIMEOUT = 'response-timeout'


class BufferAccount:
    """Buffers that one accepted connection uses.

    Parameters
    ----------
    budget : CallerBudget
        Budget that the account belongs to.
    connection : Connection
        Connection that is closed when the budget is exceeded.
    server : object or None
        Has ``find_protected(only_passed_on)``, which returns the connections
        that must not be closed, and ``abandon(connection)``, which cancels
        the calls of a connection.

    Attributes
    ----------
    used_bytes : int
        Estimated size of the buffers.
    discard_buffers : callable or None
        Frees the buffers of the connection. Its task would free them only
        when it runs next, and other tasks may fill theirs before.
    is_open : bool
        Whether the buffers still count.
    """

    __slots__ = (
        'budget',
        'connection',
        'discard_buffers',
        'is_open',
        'server',
        'used_bytes',
    )

    def __init__(self, budget, connection, server):
        self.budget = budget
        self.connection = connection
        self.server = server
        self.discard_buffers = None
        self.used_bytes = 0
        self.is_open = True

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.close()

    def charge(self, size):
        """Add to the size of the buffers, or subtract if negative."""
        if not self.is_open or not size:
            return
        self.used_bytes += size
        budget = self.budget
        budget.used_bytes += size
        if size > 0 and budget.used_bytes > budget.buffer_bytes:
            budget.free_buffers()

    def close(self):
        """Release all buffers; does nothing if already closed."""
        if self.is_open:
            self.is_open = False
            self.budget.used_bytes -= self.used_bytes
            self.budget.accounts.discard(self)


class CallerBudget:
    """Limits on what all accepted connections of a process use together.

    Parameters
    ----------
    buffer_bytes : int
        Limit of the buffers of all connections, in bytes.
    descriptor_share : float
        Share of the descriptors of the process that accepted connections may
        use.

    Attributes
    ----------
    used_bytes : int
        Estimated size of all buffers.
    accounts : set of BufferAccount
        Accounts of the open connections.
    closed_counts : dict of LimitKind to int
        Connections that were closed by each limit.
    on_limit : callable or None
        Called with the limit when it has closed connections.
    """

    def __init__(
        self,
        buffer_bytes=DEFAULT_BUFFER_BYTES,
        descriptor_share=DEFAULT_DESCRIPTOR_SHARE,
    ):
        self.buffer_bytes = buffer_bytes
        self.descriptor_share = descriptor_share
        self.used_bytes = 0
        self.accounts = set()
        self.closed_counts = dict.fromkeys(LimitKind, 0)
        self.on_limit = None
        soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self.max_connections = max(1, int(descriptor_share * soft_limit))

    @property
    def is_tight(self):
        """Whether connections should use as few buffers as possible."""
        return self.used_bytes > TIGHT_SHARE * self.buffer_bytes

    def open_account(self, connection, server=None):
        """Return the account of a connection that was accepted."""
        account = BufferAccount(self, connection, server)
        self.accounts.add(account)
        return account

    def count_closed(self, kind, count=1):
        """Count connections that a limit has closed."""
        self.closed_counts[kind] += count
        if self.on_limit is not None:
            self.on_limit(kind)

    def free_buffers(self):
        """Close the connections that use most until the limit is kept.

        Connections with a request that was passed on to a target and whose
        caller behaves are spared.
        """
        protected = self._find_protected()
        candidates = [
            account
            for account in self.accounts
            if account.used_bytes >= MIN_CLOSED_BYTES
            and account.connection not in protected
        ]
        candidates.sort(key=lambda a: a.used_bytes)
        closed_count = 0
        target = TARGET_SHARE * self.buffer_bytes
        while candidates and self.used_bytes > target:
            self._close_connection(candidates.pop())
            closed_count += 1
        if closed_count:
            self.count_closed(LimitKind.BUFFERS, closed_count)

    def make_room(self):
        """Make room for a connection that is about to be accepted.

        Closes the connections without a request in progress that have been
        idle for the longest time.

        Returns
        -------
        bool
            Whether there is room for another connection.
        """
        if len(self.accounts) < self.max_connections:
            return True
        count = max(1, int(CLOSED_CONNECTIONS_SHARE * self.max_connections))
        return self.close_idle(count)

    def close_idle(self, count, server=None, min_idle_s=0.0):
        """Close connections that are idle or whose callers are stalled.

        Parameters
        ----------
        count : int
            Number of connections to close.
        server : object or None
            Server whose connections are closed; None for any.
        min_idle_s : float
            Time in seconds for which they must have been idle.

        Returns
        -------
        bool
            Whether a connection was closed.
        """
        busy = self._find_protected(only_passed_on=False)
        used_before = trio.current_time() - min_idle_s
        candidates = [
            account
            for account in self.accounts
            if account.connection not in busy
            and (server is None or account.server is server)
            and account.connection.last_used_at <= used_before
        ]
        candidates.sort(key=lambda a: a.connection.last_used_at)
        for account in candidates[:count]:
            self._close_connection(account)
        if candidates:
            self.count_closed(
                LimitKind.CONNECTIONS, min(count, len(candidates))
            )
        return bool(candidates)

    def _find_protected(self, only_passed_on=True):
        servers = {a.server for a in self.accounts if a.server is not None}
        protected = set()
        for server in servers:
            protected |= server.find_protected(only_passed_on)
        return protected

    @staticmethod
    def _close_connection(account):
        account.close()
        account.connection.abort()
        if account.server is not None:
            account.server.abandon(account.connection)
        if account.discard_buffers is not None:
            account.discard_buffers()
