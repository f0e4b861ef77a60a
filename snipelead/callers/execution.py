"""Handling of one call, including its failure and cancellation."""

from snipelead.callers.events import CALL_ABANDONED
from snipelead.callers.events import CALL_EXPIRED
from snipelead.callers.events import CALL_REFUSED
from snipelead.callers.exceptions import CallError
from snipelead.callers.exceptions import DeadlineExceededError
from snipelead.callers.exceptions import InternalCallError
from snipelead.callers.request_log import log_failure
from snipelead.http.exceptions import INCOMPLETE_MESSAGE_ERRORS
from snipelead.types import Ran

__all__ = [
    'finish_cancelled_call',
    'finish_failed_call',
    'run_call',
    'send_error_response',
]


async def run_call(connection, request, call, handle, *args):
    """Handle a call; send exactly one response or reset the connection.

    The call runs in the cancel scope of its connection. If the scope is
    cancelled, :func:`finish_cancelled_call` must be called.

    Parameters
    ----------
    connection : Connection or Exchange
        Connection that the request was received on.
    request : Request
        Request to handle.
    call : Call
        State of the call.
    handle : callable
        Coroutine function of connection, request, call and ``args`` that
        sends the response.
    *args : object
        Further arguments of ``handle``.
    """
    request.call = call
    call.use_scope(connection.cancel_scope)
    try:
        await handle(connection, request, call, *args)
    except CallError as error:
        if call.response_started:
            connection.abort()
        else:
            call.status = error.status
            _log_refused_call(call, error)
            await send_error_response(connection, request, error, call.outcome)
        _drop_tracebacks(error)
    except INCOMPLETE_MESSAGE_ERRORS:
        # The caller or the target was lost during the response.
        connection.abort()
    except Exception:
        # The connection server responds, see finish_failed_call().
        call.status = call.status or InternalCallError.status
        raise


def _drop_tracebacks(error):
    """Drop the tracebacks of a handled error and of its causes.

    They refer to frames whose variables refer to the error. Under a flood of
    refused requests, such cycles take memory faster than the garbage
    collector, which rarely runs in full, returns it.
    """
    while error is not None:
        error.__traceback__ = None
        error = error.__cause__ or error.__context__


async def finish_cancelled_call(connection, request):
    """Finish a call cancelled by a disconnect or its deadline."""
    call = request.call
    if call is None or call.caller_disconnected or call.response_started:
        if call is not None:
            log_failure(CALL_ABANDONED, call, **_summarize_call(call))
        connection.abort()
        return
    log_failure(CALL_EXPIRED, call, **_summarize_call(call))
    error = DeadlineExceededError('the deadline of the request has passed')
    call.status = error.status
    await send_error_response(connection, request, error, call.outcome)


def _summarize_call(call):
    """Return the fields that log lines about the end of a call share."""
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
    """Finish a call that failed with an unexpected error."""
    call = request.call
    if call is not None and call.response_started:
        connection.abort()
        return
    error = InternalCallError(
        'an unexpected error occurred while the request was handled'
    )
    ran = call.outcome if call is not None else Ran.NO
    await send_error_response(connection, request, error, ran)


async def send_error_response(connection, request, error, ran):
    """Send an error response.

    The connection is closed if the body of the request has not been read,
    since the next request could not be found in the stream.

    Parameters
    ----------
    connection : Connection or Exchange
        Connection that the request was received on.
    request : Request
        Request to respond to.
    error : CallError
        Error to report.
    ran : Ran
        Whether a target executed the request.
    """
    if not request.complete:
        request.keep_alive = False
    head_only = request.method == b'HEAD'
    encode = request.reader.protocol.encode_error_response
    try:
        await connection.wait_for_response_turn(request)
        if request.call is not None:
            # Nothing else may be sent if this response is sent in parts.
            request.call.response_started = True
        await connection.send(
            encode(error, ran, request.keep_alive, head_only)
        )
    except INCOMPLETE_MESSAGE_ERRORS:
        connection.close()
