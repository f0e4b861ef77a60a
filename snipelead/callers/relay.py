"""Relaying of a target's response to the connection of the request."""

from math import inf

import trio

from snipelead.http.writing import choose_framing
from snipelead.http.writing import CLOSE_DELIMITED
from snipelead.http.writing import encode_chunk
from snipelead.http.writing import encode_head
from snipelead.http.writing import LAST_CHUNK
from snipelead.http.writing import status_line

__all__ = ['relay_response']

# Longest time without progress while a response body is relayed.
STALL_TIMEOUT_S = 30.0


async def relay_response(connection, request, call, response, extra_lines=()):
    """Relay a response, streaming its body.

    Parameters
    ----------
    connection : Connection or Exchange
        Connection that the request was received on.
    request : Request
        Request that is responded to.
    call : Call
        State of the call. Its deadline applies until the head of the response
        has been received; while the body is streamed, a stall timeout
        applies instead.
    response : LocalResponse or PeerResponse
        Response of the target and the resources it holds.
    extra_lines : tuple of bytes
        Header fields to add.

    Raises
    ------
    ConnectionLostError
        If the caller or the target was lost; the connection must then be
        aborted.
    """
    message = response.response
    call.response_received = True
    if message.complete:
        # A complete response is delivered even after the deadline. The slot
        # and the connection to the target are released before it waits for
        # earlier responses on the connection.
        call.scope.deadline = inf
        response.close()
        if message.buffered_bytes:
            request.hold_response(message.buffered_bytes)
    await connection.wait_for_response_turn(request)
    framing = choose_framing(message, request.version == '1.1')
    field_lines = [*message.field_lines, *extra_lines]
    if framing is CLOSE_DELIMITED:
        request.keep_alive = False
    elif framing.field_line and not _is_length_synthesized(request, message):
        field_lines.append(framing.field_line)
    if not request.keep_alive:
        field_lines.append(CLOSE_DELIMITED.field_line)
    call.response_started = True
    call.status = message.status
    data = message.take_buffered_body()
    if framing.chunked and data:
        data = encode_chunk(data)
    head = encode_head(
        status_line(message.status, message.reason), field_lines
    )
    await connection.send(head + data if data else head)
    if not message.complete:
        await _relay_remaining_body(connection, call, message, framing.chunked)


def _is_length_synthesized(request, response):
    """Return whether a HEAD response came without a Content-Length field."""
    has_length = b'content-length' in response.fields
    return request.method == b'HEAD' and not has_length


async def _relay_remaining_body(connection, call, response, chunked):
    # A body without a length may never end.
    latest = inf
    if response.content_length is None:
        latest = call.scope.deadline + STALL_TIMEOUT_S
    call.scope.deadline = min(latest, trio.current_time() + STALL_TIMEOUT_S)
    while data := await response.read():
        await connection.send(encode_chunk(data) if chunked else data)
        call.scope.deadline = min(
            latest, trio.current_time() + STALL_TIMEOUT_S
        )
    if chunked:
        await connection.send(LAST_CHUNK)
