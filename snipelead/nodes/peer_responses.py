"""Responses to requests that were forwarded to another node."""

from math import inf

import msgspec
from msgspec import Struct

from snipelead.callers.exceptions import CallError
from snipelead.exceptions import error_from_info
from snipelead.exceptions import ErrorInfo
from snipelead.http.exceptions import MalformedMessageError
from snipelead.nodes.peer_messages import detach_load
from snipelead.nodes.peer_messages import FenceReply
from snipelead.nodes.peer_messages import Load
from snipelead.nodes.peer_messages import LOAD_FIELD
from snipelead.types import Ran
from snipelead.utils.decoding import decode_json

__all__ = [
    'PeerResponse',
    'read_fence_reply',
    'read_rate_limit',
    'read_refusal',
]


# Error responses and replies to fences are small.
MAX_BODY_BYTES = 64 * 1024
MAX_RETRY_AFTER_DIGITS = 10
CODE_FIELD = b'x-snipelead-code'
RAN_FIELD = b'x-snipelead-ran'
RETRY_AFTER_FIELD = b'x-retry-after-ms'


class _Refusal(Struct, frozen=True):
    message: str = ''
    details: dict[str, str] = {}


class PeerResponse:
    """Response of a remote target, received from its node.

    Attributes
    ----------
    response : Message
        HTTP response whose body is read as it arrives.
    load : Load or None
        Load of the target reported with the response.
    """

    __slots__ = ('address', 'closed', 'load', 'pool', 'reader', 'response')

    def __init__(self, pool, address, reader, response):
        self.pool = pool
        self.address = address
        self.reader = reader
        self.response = response
        self.load = _decode_load(response)
        self.closed = False

    def close(self):
        """Return the connection to the pool, or close it if unusable."""
        if self.closed:
            return
        self.closed = True
        if self.response.complete and self.response.keep_alive:
            self.pool.release(self.address, self.reader)
        else:
            self.reader.connection.close()


def _decode_load(response):
    field = response.fields.get(LOAD_FIELD)
    if field is None:
        return None
    try:
        return decode_json(field, type=Load)
    except msgspec.DecodeError:
        return None


async def _read_body(response):
    """Return the body of a response.

    Raises
    ------
    MalformedMessageError
        If it exceeds ``MAX_BODY_BYTES``.
    """
    body = b''
    while data := await response.read():
        body += data
        if len(body) > MAX_BODY_BYTES:
            raise MalformedMessageError(
                f'the response of a node exceeds {MAX_BODY_BYTES} bytes'
            )
    return body


async def read_fence_reply(response):
    """Return whether a fenced attempt ran, as reported by its node."""
    body = await _read_body(response)
    return decode_json(body, type=FenceReply).ran


async def read_refusal(response):
    """Return the error that the peer responded with.

    Parameters
    ----------
    response : Message
        Response of the peer; its body must not have been read.

    Returns
    -------
    CallError or None
        None if the response comes from the target.

    Raises
    ------
    ConnectionLostError
        If the response ends before it is complete.
    MalformedMessageError
        If the response is marked as one of the peer, but is not a valid error.
    """
    fields = response.fields
    if CODE_FIELD not in fields:
        return None
    body = await _read_body(response)
    try:
        # The response to a HEAD request has no body.
        content = decode_json(body, type=_Refusal) if body else _Refusal()
        info = ErrorInfo(
            fields[CODE_FIELD].decode(),
            content.message or response.reason.decode(),
            _read_retry_after_ms(fields.get(RETRY_AFTER_FIELD)),
            content.details,
        )
        ran = Ran(fields.get(RAN_FIELD, b'').decode())
    except (msgspec.DecodeError, ValueError) as error:
        raise MalformedMessageError(
            f'the error response of a node is malformed: {error}'
        ) from error
    error = error_from_info(info)
    if not isinstance(error, CallError):
        # The code of a later version.
        error = CallError(info.message, retry_after_ms=info.retry_after_ms)
        error.code, error.details = info.code, dict(info.details)
    error.ran = ran
    detach_load(error)
    return error


def read_rate_limit(refusal):
    """Return the rate limit that a refusal tells of.

    Parameters
    ----------
    refusal : RateLimitedError
        Error of a node, with the limit among its details.

    Returns
    -------
    float or None
        Requests per second; None if the detail is not a valid limit.
    """
    try:
        rate_limit = float(refusal.details['rate_limit'])
    except ValueError:
        return None
    return rate_limit if 0.0 <= rate_limit < inf else None


def _read_retry_after_ms(value):
    """Return the value of the field; raises ValueError if it is no number."""
    if not value:
        return None
    if not value.isdigit() or len(value) > MAX_RETRY_AFTER_DIGITS:
        raise ValueError('the time after which to retry is not a number')
    return int(value)
