"""Answers that the system makes itself."""

import math

import msgspec

from snipelead.callers.exceptions import DEFAULT_RETRY_AFTER_MS
from snipelead.http.writing import encode_head
from snipelead.http.writing import status_line

__all__ = ['encode_refusal']

_COME_BACK_STATUS = frozenset((409, 502, 503, 504))


def _retry_lines(error):
    delay_ms = error.retry_after_ms
    if delay_ms is None:
        if error.status not in _COME_BACK_STATUS:
            return ()
        delay_ms = DEFAULT_RETRY_AFTER_MS
    return (
        b'Retry-After: %d' % math.ceil(delay_ms / 1_000),
        b'X-Retry-After-Ms: %d' % delay_ms,
    )


def encode_refusal(error, ran, keep_alive, head_only=False):
    """Return an answer that reports a coded error.

    Parameters
    ----------
    error : CallError
        What went wrong.
    ran : Ran
        Whether the request ran on a target.
    keep_alive : bool
        Whether the connection stays open.
    head_only : bool
        Whether the request was a HEAD.
    """
    body = msgspec.json.encode(
        {
            'code': error.code,
            'message': error.message,
            'ran': ran,
            'details': error.details,
        }
    )
    lines = [
        b'Content-Type: application/json',
        b'Content-Length: %d' % len(body),
        b'X-Snipelead-Code: ' + error.code.encode(),
        b'X-Snipelead-Ran: ' + ran.value.encode(),
        *_retry_lines(error),
    ]
    if not keep_alive:
        lines.append(b'Connection: close')
    head = encode_head(status_line(error.status), lines)
    return head if head_only else head + body
