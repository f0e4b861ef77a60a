"""Periodic checks of the calls in progress.

One task checks all long-running calls, since a task per call would cost more
than the call itself.
"""

import select

from snipelead.http.exceptions import ConnectionLostError
from snipelead.http.writing import encode_head
from snipelead.nodes.peer_messages import HEARTBEAT_INTERVAL_S

__all__ = ['CallWatcher']

TICK_INTERVAL_S = 0.05
PROCESSING_RESPONSE = encode_head(b'HTTP/1.1 102 Processing', ())
_HANGUP_FLAGS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class CallWatcher:
    """Monitors calls that have been running for longer than a tick.

    It cancels calls whose connection was closed, sets the deadlines of the
    others and sends heartbeats to peers that wait for a response.

    Parameters
    ----------
    caller_requests : dict of Connection to Request
        Requests of callers in progress.
    peer_requests : dict of Connection to Request
        Requests forwarded by other nodes in progress.
    """

    def __init__(self, caller_requests, peer_requests):
        self.caller_requests = caller_requests
        self.peer_requests = peer_requests
        self.last_heartbeat_at = 0.0

    def tick(self, now):
        """Check all calls that have been running for at least a tick.

        Parameters
        ----------
        now : float
            Time in seconds of trio's clock.
        """
        started_before = now - TICK_INTERVAL_S
        is_heartbeat_due = now - self.last_heartbeat_at >= HEARTBEAT_INTERVAL_S
        if is_heartbeat_due:
            self.last_heartbeat_at = now
        for requests in (self.caller_requests, self.peer_requests):
            calls = _find_long_running(requests, started_before)
            self._abandon_disconnected(calls)
            self._apply_deadlines(calls)
            if is_heartbeat_due and requests is self.peer_requests:
                self._send_heartbeats(calls)

    def _apply_deadlines(self, calls):
        for _, call in calls:
            if not call.response_received:
                call.apply_deadline()

    def _abandon_disconnected(self, calls):
        poll = select.poll()
        calls_by_descriptor = {}
        for connection, call in calls:
            descriptor = connection.sock.fileno()
            calls_by_descriptor.setdefault(descriptor, []).append(call)
            poll.register(descriptor, select.POLLRDHUP)
        if not calls_by_descriptor:
            return
        for descriptor, flags in poll.poll(0):
            if flags & _HANGUP_FLAGS:
                for call in calls_by_descriptor[descriptor]:
                    call.abandon()

    def _send_heartbeats(self, calls):
        for connection, call in calls:
            if call.response_started or call.caller_disconnected:
                continue
            try:
                sent = connection.send_nowait(PROCESSING_RESPONSE)
            except ConnectionLostError:
                sent = 0
            if sent < len(PROCESSING_RESPONSE):
                call.abandon()


def _find_long_running(requests, started_before):
    """Return connections and calls that started before a point in time."""
    return [
        (connection, request.call)
        for connection, request in requests.items()
        if request.call is not None
        and request.call.started_at <= started_before
        and not connection.closed
    ]
