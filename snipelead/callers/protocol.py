"""What callers and nodes tell each other in header fields.

A protocol says which fields are read, what they mean, and how the answers
look that the system makes itself. The call path is the same for all of them.
"""

from msgspec import Struct

from snipelead.callers.error_responses import encode_error_response
from snipelead.callers.exceptions import BadRequestError
from snipelead.http.reading import FieldRules
from snipelead.releases.document import MAX_DEADLINE_MS
from snipelead.types import TenantName

__all__ = ['CallerProtocol', 'CallerTerms', 'DEFAULT_CALLER_PROTOCOL']

MAX_TENANT_CHARS = 120


class CallerTerms(Struct, frozen=True):
    """What a caller says of its request.

    Parameters
    ----------
    deadline_ms : int or None
        Time that the caller waits, in milliseconds; None for that of the
        route.
    tenant : TenantName or None
        Tenant; None for that of the route.
    key : bytes or None
        Idempotency key.
    request_id : str
        The caller's id of this attempt; '' when it has none.
    """

    deadline_ms: int | None = None
    tenant: TenantName | None = None
    key: bytes | None = None
    request_id: str = ''


class CallerProtocol:
    """The project's own protocol with callers.

    Attributes
    ----------
    rules : FieldRules
        Which header fields of requests are read and passed on.
    """

    rules = FieldRules()

    def read_terms(self, request):
        """Return what a caller says of its request.

        Raises
        ------
        BadRequestError
            If a field has a value that is not allowed.
        """
        fields = request.fields
        tenant = fields.get(b'x-tenant')
        if tenant is not None:
            tenant = TenantName(tenant.decode('latin-1')[:MAX_TENANT_CHARS])
        return CallerTerms(
            _parse_deadline_ms(fields.get(b'x-deadline-ms')),
            tenant,
            fields.get(b'idempotency-key'),
        )

    def encode_refusal(self, error, ran, keep_alive, head_only=False):
        """Return an answer that reports a coded error.

        See Also
        --------
        snipelead.callers.answers.encode_refusal : Parameters.
        """
        return encode_error_response(error, ran, keep_alive, head_only)


def _parse_deadline_ms(value):
    if value is None:
        return None
    if not value.isdigit() or int(value) == 0:
        raise BadRequestError(
            'X-Deadline-Ms must be a whole number of milliseconds above 0,'
            f' got {value.decode("latin-1")!r}'
        )
    return min(int(value), MAX_DEADLINE_MS)


DEFAULT_CALLER_PROTOCOL = CallerProtocol()
