"""Requests that other nodes forward to local targets of this node."""

import msgspec

from snipelead.admission.standing import RequestStanding
from snipelead.callers.call import AuthenticatedCallMetadata
from snipelead.callers.call import Call
from snipelead.callers.exceptions import BadRequestError
from snipelead.callers.exceptions import CallError
from snipelead.callers.exceptions import NodeStoppingError
from snipelead.callers.execution import run_call
from snipelead.callers.relay import relay_response
from snipelead.callers.request_log import is_sampled
from snipelead.http.writing import encode_head
from snipelead.nodes.peer_messages import attach_load
from snipelead.nodes.peer_messages import CALL_FIELD
from snipelead.nodes.peer_messages import decode_status
from snipelead.nodes.peer_messages import encode_field
from snipelead.nodes.peer_messages import FENCE_FIELD
from snipelead.nodes.peer_messages import FenceReply
from snipelead.nodes.peer_messages import FenceRequest
from snipelead.nodes.peer_messages import LOAD_FIELD
from snipelead.nodes.peer_messages import STATUS_FIELD
from snipelead.types import Ran
from snipelead.utils.decoding import decode_json

__all__ = ['PeerService']

# Timeout of idle connections. It is longer than that of the forwarding side,
# so that the sender closes first, and shorter than the time for which attempts
# are remembered.
IDLE_TIMEOUT_S = 45.0


class PeerService:
    """Serves the connections of other nodes.

    Parameters
    ----------
    limiters : TargetLimiters
        Concurrency limiters of the local targets.
    authenticator : Authenticator
        Checks that requests of customers may still be run.
    """

    def __init__(self, limiters, authenticator):
        self.limiters = limiters
        self.authenticator = authenticator

    async def handle(self, connection, request):
        """Handle one request on a connection."""
        if FENCE_FIELD in request.fields:
            await self._fence(connection, request)
            return
        try:
            call_info = decode_json(
                request.fields.get(CALL_FIELD, b''),
                type=AuthenticatedCallMetadata,
            )
        except msgspec.DecodeError as error:
            raise BadRequestError(
                f'invalid or missing X-Snipelead-Call header: {error}'
            ) from error
        call = Call(
            call_info.request_class,
            call_info.tenant,
            call_info.at_most_once,
            call_info.deadline_ms,
        )
        call.route = call_info.route
        call.request_id = call_info.request_id
        call.is_sampled = is_sampled(call_info.request_id)
        call.priority = call_info.priority
        call.standing = RequestStanding.decode(call_info.standing)
        call.set_latency_deadline(call_info.latency_remaining_ms)
        call.authorization = self.authenticator.adopt(
            call_info.tenant, call_info.authenticated_in
        )
        await run_call(connection, request, call, self._send, call_info)

    async def _send(self, connection, request, call, call_info):
        if self.limiters.stopping:
            raise NodeStoppingError('the node is stopping')
        call.check_authorization()
        limiter = self.limiters.find(call_info.target_id)
        status = decode_status(request)
        if status is not None:
            limiter.status.adopt(status)
        try:
            response = await limiter.send(
                call, request, call_info.attempt_id, call_info.incarnation
            )
        except CallError as error:
            if error.load is not None:
                attach_load(error)
            raise
        try:
            lines = [encode_field(LOAD_FIELD, response.load)]
            status = limiter.status.make_message()
            if status is not None:
                lines.append(encode_field(STATUS_FIELD, status))
            await relay_response(connection, request, call, response, lines)
        finally:
            response.close()

    async def _fence(self, connection, request):
        try:
            fence_request = decode_json(
                request.fields[FENCE_FIELD], type=FenceRequest
            )
        except msgspec.DecodeError as error:
            raise BadRequestError(
                f'invalid X-Snipelead-Fence header: {error}'
            ) from error
        ran = Ran.UNKNOWN
        if (
            fence_request.incarnation
            == self.limiters.local_targets.incarnation
        ):
            ran = self.limiters.attempts.fence(fence_request.attempt_id)
        body = msgspec.json.encode(FenceReply(ran))
        field_lines = (b'Content-Length: %d' % len(body),)
        await connection.send(
            encode_head(b'HTTP/1.1 200 OK', field_lines) + body
        )
