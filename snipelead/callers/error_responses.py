"""Error responses that a node generates itself."""

from http import HTTPStatus
import math

import msgspec

from snipelead.callers.exceptions import DEFAULT_RETRY_AFTER_MS
from snipelead.http.writing import encode_head
from snipelead.http.writing import status_line

__all__ = ['encode_error_response']

_RETRYABLE_STATUSES = frozenset((409, 502, 503, 504))


def _retry_after_lines(error):
    delay_ms = error.retry_after_ms
    if delay_ms is None:
        if error.status not in _RETRYABLE_STATUSES:
            return ()
        delay_ms = DEFAULT_RETRY_AFTER_MS
    return (
        b'Retry-After: %d' % math.ceil(delay_ms / 1_000),
        b'X-Retry-After-Ms: %d' % delay_ms,
    )


def encode_error_response(error, ran, keep_alive, head_only=False):
    """Return the HTTP response that reports an error.

    Parameters
    ----------
    error : CallError
        Error to report.
    ran : Ran
        Whether a target executed the request.
    keep_alive : bool
        Whether the connection stays open after the response.
    head_only : bool
        Whether the request method is HEAD, so that the body is left out.

    Returns
    -------
    bytes
        Encoded response.
    """
    body = msgspec.json.encode(
        {
            'code': error.code,
            'message': error.message,
            'ran': ran,
            'details': error.details,
        }
    )
    field_lines = [
        b'Content-Type: application/json',
        b'Content-Length: %d' % len(body),
        b'X-Snipelead-Code: ' + error.code.encode(),
        b'X-Snipelead-Ran: ' + ran.value.encode(),
        *_retry_after_lines(error),
    ]
    if error.status == HTTPStatus.UNAUTHORIZED:
        # RFC 9110, section 15.5.2, requires a challenge.
        field_lines.append(b'WWW-Authenticate: ApiKey')
    if not keep_alive:
        field_lines.append(b'Connection: close')
    head = encode_head(status_line(error.status), field_lines)
    return head if head_only else head + body
