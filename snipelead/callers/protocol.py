"""Header field conventions between callers and nodes.

A protocol defines which header fields are read, what they mean and how error
responses are encoded. The rest of the call path is independent of it.
"""

from msgspec import Struct

from snipelead.callers.error_responses import encode_error_response
from snipelead.callers.exceptions import BadRequestError
from snipelead.http.reading import FieldRules
from snipelead.http.reading import INSPECTED_FIELDS
from snipelead.releases.document import MAX_DEADLINE_MS
from snipelead.types import TenantName

__all__ = ['CallerOptions', 'CallerProtocol', 'DEFAULT_CALLER_PROTOCOL']

MAX_TENANT_CHARS = 120
API_KEY_FIELD = b'x-api-key'
TENANT_FIELD = b'x-tenant'


class CallerOptions(Struct, frozen=True):
    """Options that a caller sends in the header fields of a request.

    Parameters
    ----------
    deadline_ms : int or None
        Time until the deadline, in milliseconds; None for the deadline of the
        route.
    tenant : TenantName or None
        Tenant of the request; None for the tenant of the route.
    key : bytes or None
        Idempotency key.
    request_id : str
        Id that the caller gave this request; '' if it gave none.
    api_key : bytes or None
        API key; None if the request has none.
    """

    deadline_ms: int | None = None
    tenant: TenantName | None = None
    key: bytes | None = None
    request_id: str = ''
    api_key: bytes | None = None

    def __repr__(self):
        # Keys must not appear in logs or error messages.
        return f'CallerOptions(request_id={self.request_id!r})'


class CallerProtocol:
    """Default protocol between callers and nodes.

    Attributes
    ----------
    rules : FieldRules
        Header fields of requests that are read and forwarded.
    api_key_field, tenant_field : bytes
        Lower-case names of the fields that carry the caller's API key, and
        the customer's name to the target. Both are inspected, and removed
        from every request.
    """

    rules = FieldRules(INSPECTED_FIELDS | {API_KEY_FIELD})
    api_key_field = API_KEY_FIELD
    tenant_field = TENANT_FIELD

    def read_options(self, request):
        """Return the options in the header fields of a request.

        Parameters
        ----------
        request : Request
            Request to interpret.

        Returns
        -------
        CallerOptions

        Raises
        ------
        BadRequestError
            If a header field has an invalid value.
        """
        fields = request.fields
        tenant = fields.get(TENANT_FIELD)
        if tenant is not None:
            tenant = TenantName(tenant.decode('latin-1')[:MAX_TENANT_CHARS])
        return CallerOptions(
            _parse_deadline_ms(fields.get(b'x-deadline-ms')),
            tenant,
            fields.get(b'idempotency-key'),
            api_key=fields.get(API_KEY_FIELD),
        )

    def remove_identity(self, request):
        """Remove the API key and the customer's name that a caller sent.

        Parameters
        ----------
        request : Message
            Request of the caller; its header fields are changed.

        Returns
        -------
        int
            Number of API keys that were removed.
        """
        if (
            self.api_key_field not in request.fields
            and self.tenant_field not in request.fields
        ):
            return 0
        key_prefix = self.api_key_field + b':'
        tenant_prefix = self.tenant_field + b':'
        kept_lines = []
        key_count = 0
        for line in request.field_lines:
            lower_line = line.lower()
            if lower_line.startswith(key_prefix):
                key_count += 1
            elif not lower_line.startswith(tenant_prefix):
                kept_lines.append(line)
        request.field_lines = kept_lines
        request.fields.pop(self.api_key_field, None)
        request.fields.pop(self.tenant_field, None)
        return key_count

    def encode_error_response(self, error, ran, keep_alive, head_only=False):
        """Return the HTTP response that reports an error.

        See Also
        --------
        snipelead.callers.error_responses.encode_error_response : Parameters.
        """
        return encode_error_response(error, ran, keep_alive, head_only)


def _parse_deadline_ms(value):
    if value is None:
        return None
    if not value.isdigit() or int(value) == 0:
        raise BadRequestError(
            'X-Deadline-Ms must be a positive integer of milliseconds,'
            f' got {value.decode("latin-1")!r}'
        )
    return min(int(value), MAX_DEADLINE_MS)


DEFAULT_CALLER_PROTOCOL = CallerProtocol()
