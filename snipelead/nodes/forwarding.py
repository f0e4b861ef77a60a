"""Forwarding of requests to the nodes of remote targets."""

from http import HTTPStatus
from math import inf

import msgspec
import trio

from snipelead.callers.exceptions import CallError
from snipelead.callers.exceptions import RateLimitedError
from snipelead.callers.exceptions import ResponseLostError
from snipelead.callers.exceptions import TargetUnreachableError
from snipelead.http.exceptions import ConnectFailedError
from snipelead.http.exceptions import INCOMPLETE_MESSAGE_ERRORS
from snipelead.http.exceptions import SendFailedError
from snipelead.http.pool import ConnectionPool
from snipelead.http.writing import choose_framing
from snipelead.http.writing import encode_head
from snipelead.http.writing import send_message
from snipelead.http.writing import send_remaining_body
from snipelead.nodes.peer_messages import CALL_FIELD
from snipelead.nodes.peer_messages import decode_status
from snipelead.nodes.peer_messages import encode_field
from snipelead.nodes.peer_messages import FENCE_FIELD
from snipelead.nodes.peer_messages import FenceRequest
from snipelead.nodes.peer_messages import HEARTBEAT_TIMEOUT_S
from snipelead.nodes.peer_messages import make_status_message
from snipelead.nodes.peer_messages import STATUS_FIELD
from snipelead.nodes.peer_responses import PeerResponse
from snipelead.nodes.peer_responses import read_fence_reply
from snipelead.nodes.peer_responses import read_rate_limit
from snipelead.nodes.peer_responses import read_refusal
from snipelead.nodes.reachability import PeerFailure
from snipelead.targets.protocol import NO_STATUS
from snipelead.targets.status import StatusSource
from snipelead.targets.status import TargetStatus
from snipelead.targets.status import TargetStatuses
from snipelead.types import Ran

__all__ = ['Forwarder']

# Shorter than the timeout of the serving side, see
# peer_service.IDLE_TIMEOUT_S.
IDLE_TIMEOUT_S = 15.0
MAX_IDLE_CONNECTIONS = 64
# Several round trips between regions. The kernel accepts a connection also if
# the peer's process is busy, and a lost handshake packet is only sent again
# after a second, so waiting longer gains nothing.
CONNECT_TIMEOUT_S = 0.15
FENCE_TIMEOUT_S = 0.4
# A connection ends if sent bytes are not acknowledged within this time, which
# allows for one retransmission.
USER_TIMEOUT_MS = 500
# If two ticks are further apart, this process counts as stalled.
STALL_THRESHOLD_S = 0.5
# Subtracted from the deadline so that the peer's response arrives before it.
DEADLINE_MARGIN_MS = 5


class Forwarder:
    """Connections to other nodes; closes them on exit.

    Parameters
    ----------
    reachability : ReachabilityMonitor or None
        Notified of nodes that are unreachable.
    statuses : TargetStatuses or None
        Statuses that targets have stated.

    Attributes
    ----------
    last_received_at : dict of ResponseReader to float
        When the peer last sent a heartbeat or other bytes, for each request
        that waits for a response, in seconds of trio's clock.
    last_tick_at : float
        Time of the last :meth:`tick`, in seconds of trio's clock.
    """

    def __init__(self, reachability=None, statuses=None):
        self.reachability = reachability
        self.statuses = statuses or TargetStatuses()
        self.pool = ConnectionPool(
            IDLE_TIMEOUT_S,
            MAX_IDLE_CONNECTIONS,
            user_timeout_ms=USER_TIMEOUT_MS,
        )
        self.last_received_at = {}
        self.last_tick_at = 0.0

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.pool.__exit__(*exc_info)

    async def send(self, entry, call, request, attempt_id):
        """Forward a request and return its response.

        Parameters
        ----------
        entry : TargetEntry
            Target chosen for the request.
        call : Call
            Call that the request belongs to; its ``ran`` is kept up to date.
        request : Request
            Request to forward.
        attempt_id : AttemptId
            Unique id of this attempt.

        Returns
        -------
        PeerResponse
            Must be closed.

        Raises
        ------
        CallError
            If the request was refused or its response was lost.
        """
        reader = self.pool.acquire(entry.address)
        if reader is None:
            reader = await self._connect(entry)
        try:
            call.check_sendable()
        except CallError:
            self.pool.release(entry.address, reader)
            raise
        call.ran = Ran.UNKNOWN
        sent_at = trio.current_time()
        try:
            response = await self._exchange(
                reader, entry, call, request, attempt_id
            )
            refusal = await read_refusal(response)
            self._record_status(entry, response, refusal, sent_at)
        except INCOMPLETE_MESSAGE_ERRORS as error:
            # A reset discards request bytes that the kernel has not sent yet.
            reader.connection.abort()
            self._report_failure(entry, PeerFailure.NO_RESPONSE)
            await self._resolve_lost_request(entry, call, attempt_id)
            raise ResponseLostError(
                f'the connection to {entry.address} was lost: {error.message}',
                ran=call.ran,
            ) from error
        except BaseException:
            reader.connection.close()
            raise
        peer_response = PeerResponse(
            self.pool, entry.address, reader, response
        )
        if refusal is not None:
            peer_response.close()
            call.ran = refusal.ran
            raise refusal
        call.ran = Ran.YES
        return peer_response

    def _record_status(self, entry, response, refusal, sent_at):
        """Record what the target has stated according to its node."""
        message = decode_status(response)
        incarnation = entry.target_incarnation
        match refusal:
            case RateLimitedError() if 'rate_limit' in refusal.details:
                rate_limit = read_rate_limit(refusal)
                if rate_limit is None:
                    return
                status = TargetStatus(rate_limit)
            case None if message is None:
                status = NO_STATUS
            case None:
                incarnation = message.target_incarnation
                status = TargetStatus(message.rate_limit, message.is_leaving)
            case _:
                # A refusal of the node for a reason of its own.
                return
        self.statuses.record(
            entry.target_id,
            incarnation,
            status,
            sent_at,
            StatusSource.TARGET_NODE,
        )

    async def _connect(self, entry):
        address = entry.address
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            try:
                return await self.pool.open(address)
            except ConnectFailedError as error:
                self._report_failure(entry, PeerFailure.REFUSED)
                raise TargetUnreachableError(error.message) from error
        self._report_failure(entry, PeerFailure.NO_RESPONSE)
        raise TargetUnreachableError(
            f'{address} accepted no connection within {CONNECT_TIMEOUT_S} s'
        )

    def _report_failure(self, entry, failure):
        if self.reachability is not None:
            self.reachability.report_failure(entry, failure)

    async def _exchange(self, reader, entry, call, request, attempt_id):
        info = call.make_metadata(entry, attempt_id, DEADLINE_MARGIN_MS)
        field_lines = [*request.field_lines, encode_field(CALL_FIELD, info)]
        status = make_status_message(
            self.statuses.find(entry.target_id, entry.target_incarnation)
        )
        if status is not None:
            field_lines.append(encode_field(STATUS_FIELD, status))
        request_line = b'%b %b HTTP/1.1' % (request.method, request.url)
        self.last_received_at[reader] = trio.current_time()
        try:
            if request.complete:
                await send_message(
                    reader.connection, request_line, field_lines, request
                )
            else:
                await self._send_body_when_admitted(
                    reader, request_line, field_lines, request
                )
            return await self._read_final_response(reader, request)
        finally:
            del self.last_received_at[reader]

    async def _send_body_when_admitted(
        self, reader, request_line, field_lines, request
    ):
        """Send a body that is still arriving after the peer admits it."""
        framing = choose_framing(request)
        field_lines = [
            *field_lines,
            framing.field_line,
            b'Expect: 100-continue',
        ]
        reader.request_incomplete = True
        await reader.connection.send(encode_head(request_line, field_lines))
        if not await self._wait_for_continue(reader):
            return
        # The peer may send nothing until it has received the whole body.
        self.last_received_at[reader] = inf
        try:
            await send_remaining_body(
                reader.connection, request, framing.chunked
            )
            reader.request_incomplete = False
        except SendFailedError:
            # The peer may respond early and close; use its response.
            return
        finally:
            self.last_received_at[reader] = trio.current_time()

    async def _wait_for_continue(self, reader):
        """Wait until the peer requests the body or responds without it."""
        while True:
            while not reader.ready_messages:
                await reader.receive()
                self.last_received_at[reader] = trio.current_time()
            response = reader.ready_messages[0]
            if response.status == HTTPStatus.CONTINUE:
                return True
            if not response.is_interim:
                return False
            reader.ready_messages.popleft()

    async def _read_final_response(self, reader, request):
        while True:
            response = await reader.next_response(request.method == b'HEAD')
            if not response.is_interim:
                return response
            self.last_received_at[reader] = trio.current_time()

    def tick(self, now):
        """Abort connections whose peer has stopped sending heartbeats."""
        since_tick_s = now - self.last_tick_at
        self.last_tick_at = now
        if since_tick_s > STALL_THRESHOLD_S:
            # This process was stalled; unread responses or heartbeats may be
            # in its socket buffers.
            for reader in self.last_received_at:
                self.last_received_at[reader] = max(
                    now, self.last_received_at[reader]
                )
        for reader, last_received_at in tuple(self.last_received_at.items()):
            if now - last_received_at > HEARTBEAT_TIMEOUT_S:
                reader.connection.abort()

    async def _resolve_lost_request(self, entry, call, attempt_id):
        """Find out whether a request ran after its connection was lost.

        Other pooled connections to the peer use the same network path and
        may be lost as well, so they are dropped.
        """
        self.pool.close_idle(entry.address)
        # After the deadline, for example because this process was stalled, the
        # peer may have forgotten the attempt and would report it as not run.
        if call.at_most_once and call.remaining_ms() > 0:
            call.ran = await self.fence(entry, attempt_id)

    async def fence(self, entry, attempt_id):
        """Fence an attempt over a new connection.

        Parameters
        ----------
        entry : TargetEntry
            Target that the attempt was sent to.
        attempt_id : AttemptId
            Attempt to fence.

        Returns
        -------
        Ran
            NO if the attempt has not run and never will, YES if its target
            has responded. UNKNOWN otherwise, or if the peer does not reply.
        """
        request = FenceRequest(attempt_id, entry.incarnation)
        field_lines = (
            b'Host: ' + entry.address.encode(),
            b'Content-Length: 0',
            encode_field(FENCE_FIELD, request),
        )
        with trio.move_on_after(FENCE_TIMEOUT_S):
            try:
                reader = await self._connect(entry)
                with reader.connection as connection:
                    head = encode_head(b'POST /fence HTTP/1.1', field_lines)
                    await connection.send(head)
                    response = await reader.next_response()
                    return await read_fence_reply(response)
            except (
                CallError,
                *INCOMPLETE_MESSAGE_ERRORS,
                msgspec.DecodeError,
            ):
                return Ran.UNKNOWN
        return Ran.UNKNOWN
