"""Detection of callers that go away while their call is handled.

One task looks at all calls that take long; a task for each call would cost
more than the call itself.
"""

import select

import trio

from snipelead.http.exceptions import ConnectionLostError
from snipelead.http.writing import encode_head
from snipelead.nodes.peer_messages import SIGN_OF_LIFE_S

__all__ = ['CallWatcher']

TICK_S = 0.05
PROCESSING = encode_head(b'HTTP/1.1 102 Processing', ())
_HANGUP = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class _Watch:
    """Registers a call for the time that it is handled."""

    __slots__ = ('call', 'calls', 'connection')

    def __init__(self, calls, connection, call):
        self.calls = calls
        self.connection = connection
        self.call = call

    def __enter__(self):
        self.calls[self.connection] = self.call

    def __exit__(self, *exc_info):
        del self.calls[self.connection]


class CallWatcher:
    """Cancels calls whose connection hung up; gives peers signs of life.

    Attributes
    ----------
    calls : dict of Connection to Call
        Calls of callers in progress.
    peer_calls : dict of Connection to Call
        Calls of other nodes in progress.
    """

    def __init__(self):
        self.calls = {}
        self.peer_calls = {}
        self.signed_at = 0.0

    def watch(self, connection, call):
        """Return a context manager around the handling of a call."""
        return _Watch(self.calls, connection, call)

    def watch_peer(self, connection, call):
        """Return a context manager around a call of another node."""
        return _Watch(self.peer_calls, connection, call)

    def tick(self):
        """Look at all calls that have been in progress for a tick."""
        now = trio.current_time()
        for calls in (self.calls, self.peer_calls):
            self._abandon_hung_up(calls, now - TICK_S)
        if now - self.signed_at >= SIGN_OF_LIFE_S:
            self.signed_at = now
            self._give_signs(now - TICK_S)

    def _abandon_hung_up(self, calls, started_before):
        poll = select.poll()
        by_descriptor = {}
        for connection, call in calls.items():
            if call.started_at <= started_before and not connection.closed:
                descriptor = connection.sock.fileno()
                by_descriptor[descriptor] = call
                poll.register(descriptor, select.POLLRDHUP)
        if not by_descriptor:
            return
        for descriptor, flags in poll.poll(0):
            if flags & _HANGUP:
                by_descriptor[descriptor].abandon()

    def _give_signs(self, started_before):
        for connection, call in tuple(self.peer_calls.items()):
            if call.answering or call.started_at > started_before:
                continue
            try:
                sent = connection.send_now(PROCESSING)
            except ConnectionLostError:
                sent = 0
            if sent < len(PROCESSING):
                call.abandon()
