"""Handling of one call up to the end of its answer, whatever happens."""

from snipelead.callers.answers import encode_refusal
from snipelead.callers.exceptions import CallError
from snipelead.callers.exceptions import DeadlineError
from snipelead.callers.relay import LOST_ERRORS

__all__ = ['run_call', 'send_refusal']


async def run_call(connection, request, call, watch, work, *args):
    """Run the work of a call; its connection gets one answer or is reset.

    Parameters
    ----------
    connection : Connection
        Where the request came from.
    request : Request
        The request.
    call : Call
        The call; its scope bounds the work.
    watch : context manager
        Notices when the caller goes away.
    work : callable
        Coroutine function of connection, request, call and ``args`` that
        sends the answer.
    """
    refusal = None
    try:
        with watch, call.scope:
            await work(connection, request, call, *args)
            return
    except CallError as error:
        refusal = error
    except LOST_ERRORS:
        # Either end was lost in the middle of the answer.
        connection.abort()
        return
    if call.gone or call.answering:
        connection.abort()
        return
    if refusal is None:
        refusal = DeadlineError('the deadline has passed')
    await send_refusal(connection, request, refusal, call.outcome)


async def send_refusal(connection, request, error, ran):
    """Answer a request with a coded error.

    A connection with an unread body cannot take another request.
    """
    if not request.complete:
        request.keep_alive = False
    head_only = request.method == b'HEAD'
    answer = encode_refusal(error, ran, request.keep_alive, head_only)
    try:
        await connection.send(answer)
    except LOST_ERRORS:
        connection.close()
