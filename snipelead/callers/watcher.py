"""Detection of callers that go away while their call is handled.

One task looks at all calls that take long; a task for each call would cost
more than the call itself.
"""

import select

from snipelead.http.exceptions import ConnectionLostError
from snipelead.http.writing import encode_head
from snipelead.nodes.peer_messages import HEARTBEAT_S

__all__ = ['CallWatcher']

TICK_INTERVAL_S = 0.05
PROCESSING_RESPONSE = encode_head(b'HTTP/1.1 102 Processing', ())
_HANGUP_FLAGS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class CallWatcher:
    """Looks after calls that take long.

    It cancels those whose connection hung up or whose deadline is near, and
    sends heartbeats to peers.

    Parameters
    ----------
    callers, peers : dict of Connection to Request
        Requests in progress, of callers and of other nodes.
    """

    def __init__(self, caller_requests, peer_requests):
        self.caller_requests = caller_requests
        self.peer_requests = peer_requests
        self.last_heartbeat_at = 0.0

    def tick(self, now):
        """Look at all calls that have been in progress for a tick."""
        started_before = now - TICK_INTERVAL_S
        is_heartbeat_due = now - self.last_heartbeat_at >= HEARTBEAT_S
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
            if call.response_started or call.gone:
                continue
            try:
                sent = connection.send_now(PROCESSING_RESPONSE)
            except ConnectionLostError:
                sent = 0
            if sent < len(PROCESSING_RESPONSE):
                call.abandon()


def _find_long_running(requests, started_before):
    """Return connections and calls that began before a time."""
    return [
        (connection, request.call)
        for connection, request in requests.items()
        if request.call is not None
        and request.call.started_at <= started_before
        and not connection.closed
    ]
