"""HTTP header fields that the platform's clients and targets use."""

from http import HTTPStatus
import json
import re

from snipelead.callers.exceptions import BadRequestError
from snipelead.callers.protocol import CallerOptions
from snipelead.callers.protocol import CallerProtocol
from snipelead.http.reading import FieldRules
from snipelead.http.writing import encode_head
from snipelead.http.writing import status_line
from snipelead.releases.document import MAX_DEADLINE_MS
from snipelead.targets.protocol import NO_STATUS
from snipelead.targets.protocol import ResponseKind
from snipelead.targets.protocol import TargetProtocol
from snipelead.targets.status import TargetStatus
from snipelead.types import Ran

__all__ = [
    'PlatformCallerProtocol',
    'PlatformTargetProtocol',
    'STATUS_FIELDS',
    'read_target_status',
]

_CALLER_SERVICE = b'caller-service'
_DEADLINE_MS = b'deadline-ms'
# API key of the caller's customer.
_CREDENTIAL = b'credential'
# Name of the customer, which the target gets.
_TENANT = b'tenant'
# Id of one attempt of a client; each retry has a new one.
_ATTEMPT_ID = b'attempt-id'
# Id of the target that the request is intended for.
_EXPECT_INSTANCE = b'expect-instance'
# Present if the target did not execute the request, whatever the status.
_NOT_EXECUTED = b'not-executed'
# Proves the origin and completeness of a target's response.
_RESPONSE_SEAL = b'response-seal'
_CONTENT_ENCODING = b'content-encoding'
# Requests per second that the target accepts from all nodes together.
_SERVER_LIMIT = b'server-limit'
# Present with this value if the target is leaving.
_SERVER_LEAVING = b'server-leaving'
_LEAVING = b'1'
# Fields in which a target states its status.
STATUS_FIELDS = frozenset((_SERVER_LIMIT, _SERVER_LEAVING))
_DECIMAL_NUMBER = re.compile(rb'\d{1,9}(\.\d{1,32})?')

# Statuses that guarantee that a request was not and will not be executed.
_NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
_MISDIRECTED = 421
_UNAVAILABLE = 503
_BAD_GATEWAY = 502
_FIRST_SERVER_ERROR = 500
# A connection is given up this long before the target would close it.
_KEEP_ALIVE_MARGIN_S = 0.5
# The first digits of a longer number are a longer time than any is kept.
_MAX_KEEP_ALIVE_DIGITS = 9


class PlatformCallerProtocol(CallerProtocol):
    """Protocol between clients and nodes.

    Parameters
    ----------
    get_local_service : callable
        Returns the service of the node's local target.
    """

    rules = FieldRules(
        inspected=frozenset((b'host', _ATTEMPT_ID, _CREDENTIAL, _TENANT)),
        removed=frozenset((_CALLER_SERVICE, _DEADLINE_MS, _EXPECT_INSTANCE)),
    )

    api_key_field = _CREDENTIAL
    tenant_field = _TENANT

    def __init__(self, get_local_service):
        self.get_local_service = get_local_service

    def read_options(self, request):
        """Read a client's header fields and set Caller-Service for the target.

        Parameters
        ----------
        request : Message
            Request of the client; the field is added to it.

        Returns
        -------
        CallerOptions

        Raises
        ------
        BadRequestError
            If Deadline-Ms is not a number.
        """
        fields = request.fields
        service = self.get_local_service().encode()
        request.field_lines.append(b'Caller-Service: ' + service)
        return CallerOptions(
            _read_deadline_ms(fields.get(_DEADLINE_MS)),
            request_id=fields.get(_ATTEMPT_ID, b'').decode('latin-1'),
            api_key=fields.get(_CREDENTIAL),
        )

    def encode_error_response(self, error, ran, keep_alive, head_only=False):
        """Encode an error response.

        A status that guarantees that the request was not executed is used only
        if that is certain; server errors then become 503.

        Parameters
        ----------
        error : CallError
            Reason for the refusal.
        ran : Ran
            Whether the request was executed.
        keep_alive : bool
            Whether the connection is kept open.
        head_only : bool
            Whether to omit the body, as for a HEAD request.

        Returns
        -------
        bytes
        """
        status = _choose_status(error.status, ran)
        body = json.dumps(
            {'code': error.code, 'message': error.message}
        ).encode()
        field_lines = [
            b'Content-Type: application/json',
            b'Content-Length: %d' % len(body),
        ]
        if (
            status in _NOT_EXECUTED_STATUSES
            and error.retry_after_ms is not None
        ):
            seconds = error.retry_after_ms / 1_000
            field_lines.append(b'Retry-After: %.3f' % seconds)
        if status == HTTPStatus.UNAUTHORIZED:
            # RFC 9110, section 15.5.2, requires a challenge.
            field_lines.append(b'WWW-Authenticate: Credential')
        if not keep_alive:
            field_lines.append(b'Connection: close')
        head = encode_head(status_line(status), field_lines)
        return head if head_only else head + body


def _read_deadline_ms(value):
    if value is None:
        return None
    try:
        deadline_ms = int(float(value))
    except (ValueError, OverflowError) as error:
        raise BadRequestError(
            'Deadline-Ms must be a number of milliseconds, got'
            f' {value.decode("latin-1")!r}'
        ) from error
    return max(1, min(deadline_ms, MAX_DEADLINE_MS))


def _choose_status(status, ran):
    if ran is not Ran.NO and status in _NOT_EXECUTED_STATUSES:
        return _BAD_GATEWAY
    if ran is Ran.NO and status >= _FIRST_SERVER_ERROR:
        return _UNAVAILABLE
    return status


def read_target_status(response):
    """Return what a response states about its target.

    Parameters
    ----------
    response : Message
        Response of the target to a request or a health check.

    Returns
    -------
    TargetStatus
    """
    fields = response.fields
    limit = fields.get(_SERVER_LIMIT)
    is_leaving = fields.get(_SERVER_LEAVING, b'').strip() == _LEAVING
    if limit is None:
        return TargetStatus(is_leaving=True) if is_leaving else NO_STATUS
    limit = limit.strip()
    if _is_repeated(response, _SERVER_LIMIT) or (
        _DECIMAL_NUMBER.fullmatch(limit) is None
    ):
        return TargetStatus(None, is_leaving, limit.decode('latin-1') or '?')
    return TargetStatus(float(limit), is_leaving)


def _is_repeated(response, name):
    lines = [line.lower() for line in response.field_lines]
    return sum(line.startswith(name + b':') for line in lines) > 1


class PlatformTargetProtocol(TargetProtocol):
    """Protocol between nodes and their local targets."""

    rules = FieldRules(
        inspected=STATUS_FIELDS
        | {_ATTEMPT_ID, _RESPONSE_SEAL, _CONTENT_ENCODING},
        removed=frozenset((_NOT_EXECUTED,)),
    )
    max_buffered_bytes = 1024 * 1024
    tenant_field = b'Tenant'

    def request_field_lines(self, request, call, target_id):
        """Return the field lines of a request to a target."""
        return [
            *request.field_lines,
            b'Deadline-Ms: %d' % max(1, call.remaining_ms()),
            b'Expect-Instance: ' + target_id.encode(),
            *self.customer_field_lines(call),
        ]

    def classify_response(self, response, call):
        """Classify a response received for a call."""
        fields = response.fields
        attempt_id = fields.get(_ATTEMPT_ID)
        expected_id = call.request_id.encode('latin-1')
        if attempt_id is not None and attempt_id != expected_id:
            return ResponseKind.STRAY
        if response.status == _MISDIRECTED:
            return ResponseKind.MISDIRECTED
        if _NOT_EXECUTED in fields:
            return ResponseKind.BUSY
        if attempt_id is None or response.status in _NOT_EXECUTED_STATUSES:
            return ResponseKind.BROKEN
        if _CONTENT_ENCODING in fields:
            return ResponseKind.BROKEN
        if response.status < 300 and _RESPONSE_SEAL not in fields:  # noqa: PLR2004
            return ResponseKind.BROKEN
        return ResponseKind.ANSWER

    def read_status(self, response):
        """Return what a response states about its target."""
        return read_target_status(response)

    def keep_alive_s(self, response):
        """Return the keep-alive timeout of a connection, less a margin."""
        header = response.fields.get(b'keep-alive', b'')
        for part in header.split(b','):
            name, _, value = part.strip().partition(b'=')
            if name.lower() == b'timeout' and value.isdigit():
                timeout_s = int(value[:_MAX_KEEP_ALIVE_DIGITS])
                return max(0.0, timeout_s - _KEEP_ALIVE_MARGIN_S)
        return None
