"""Handling of one call up to the end of its answer, whatever happens."""

from snipelead.callers.events import CALL_ABANDONED
from snipelead.callers.events import CALL_EXPIRED
from snipelead.callers.events import CALL_REFUSED
from snipelead.callers.exceptions import CallError
from snipelead.callers.exceptions import DeadlineExceededError
from snipelead.callers.exceptions import InternalCallError
from snipelead.callers.request_log import log_failure
from snipelead.http.exceptions import LOST_ERRORS
from snipelead.types import Ran

__all__ = [
    'finish_cancelled_call',
    'finish_failed_call',
    'run_call',
    'send_error_response',
]


async def run_call(connection, request, call, handle, *args):
    """Run the work of a call; its connection gets one answer or is reset.

    The call runs in the cancel scope of its connection. When that is
    cancelled, :func:`end_cancelled` has to follow.

    Parameters
    ----------
    connection : Connection
        Where the request came from.
    request : Request
        The request.
    call : Call
        The call.
    work : callable
        Coroutine function of connection, request, call and ``args`` that
        sends the answer.
    """
    request.call = call
    call.use_scope(connection.scope)
    try:
        await handle(connection, request, call, *args)
    except CallError as error:
        if call.response_started:
            connection.abort()
        else:
            call.status = error.status
            _log_refused_call(call, error)
            await send_error_response(connection, request, error, call.outcome)
    except LOST_ERRORS:
        # Either end was lost in the middle of the answer.
        connection.abort()
    except Exception:
        # The connection answers, see end_failed.
        call.status = call.status or InternalCallError.status
        raise


async def finish_cancelled_call(connection, request):
    """End a call that was cancelled: its caller left or time is up."""
    call = request.call
    if call is None or call.gone or call.response_started:
        if call is not None:
            log_failure(CALL_ABANDONED, call, **_summarize_call(call))
        connection.abort()
        return
    log_failure(CALL_EXPIRED, call, **_summarize_call(call))
    error = DeadlineExceededError('the deadline has passed')
    call.status = error.status
    await send_error_response(connection, request, error, call.outcome)


def _summarize_call(call):
    """Return what is known of a call at its end."""
    return {
        'ran': call.outcome.value,
        'attempts': call.attempts,
        'sends': call.sent_attempts,
        'after_ms': call.age_ms(),
    }


def _log_refused_call(call, error):
    log_failure(
        CALL_REFUSED,
        call,
        code=error.code,
        error=error.message,
        retry_after_ms=error.retry_after_ms,
        **_summarize_call(call),
    )


async def finish_failed_call(connection, request):
    """End a call that failed in an unforeseen way."""
    call = request.call
    if call is not None and call.response_started:
        connection.abort()
        return
    error = InternalCallError('the node failed while it handled the call')
    ran = call.outcome if call is not None else Ran.NO
    await send_error_response(connection, request, error, ran)


async def send_error_response(connection, request, error, ran):
    """Answer a request with a coded error.

    A connection with an unread body cannot take another request.
    """
    if not request.complete:
        request.keep_alive = False
    head_only = request.method == b'HEAD'
    encode = request.reader.protocol.encode_refusal
    try:
        await connection.begin_answer(request)
        await connection.send(
            encode(error, ran, request.keep_alive, head_only)
        )
    except LOST_ERRORS:
        connection.close()
