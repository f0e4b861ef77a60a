"""Passing a target's answer on to the connection that asked."""

from math import inf

import trio

from snipelead.http.writing import encode_chunk
from snipelead.http.writing import encode_head
from snipelead.http.writing import frame_body
from snipelead.http.writing import LAST_CHUNK
from snipelead.http.writing import status_line
from snipelead.http.writing import UNTIL_CLOSE

__all__ = ['relay_answer']

# Longest time without progress while the body of an answer is passed on.
STALL_TIMEOUT_S = 30.0


async def relay_answer(connection, request, call, answer, extra_lines=()):
    """Send a whole answer, its body as it arrives.

    Parameters
    ----------
    connection : Connection
        Where the request came from.
    request : Request
        The request.
    call : Call
        The call; its deadline ends the wait for the head of the answer and
        a stall limit takes its place.
    answer : GateAnswer or PeerAnswer
        The answer.
    extra : tuple of bytes
        Header fields to add.

    Raises
    ------
    ConnectionLostError
        If either end was lost; the connection must then be aborted.
    """
    response = answer.response
    call.response_received = True
    if response.complete:
        # The answer is delivered also after the deadline, and what it took
        # to get it is free while it waits for its turn.
        call.scope.deadline = inf
        answer.close()
    await connection.begin_answer(request)
    framing = frame_body(response, request.version == '1.1')
    lines = [*response.lines, *extra_lines]
    if framing is UNTIL_CLOSE:
        request.keep_alive = False
    elif framing.field and not _is_length_synthesized(request, response):
        lines.append(framing.field)
    if not request.keep_alive:
        lines.append(UNTIL_CLOSE.field)
    call.response_started = True
    call.status = response.status
    data = response.take_received()
    if framing.chunked and data:
        data = encode_chunk(data)
    head = encode_head(status_line(response.status, response.reason), lines)
    await connection.send(head + data if data else head)
    if not response.complete:
        await _relay_remaining_body(
            connection, call, response, framing.chunked
        )


def _is_length_synthesized(request, response):
    """Tell whether a HEAD answer did not state the length itself."""
    has_length = b'content-length' in response.fields
    return request.method == b'HEAD' and not has_length


async def _relay_remaining_body(connection, call, response, chunked):
    call.scope.deadline = trio.current_time() + STALL_TIMEOUT_S
    while data := await response.read():
        await connection.send(encode_chunk(data) if chunked else data)
        call.scope.deadline = trio.current_time() + STALL_TIMEOUT_S
    if chunked:
        await connection.send(LAST_CHUNK)
