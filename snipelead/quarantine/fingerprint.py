"""Fingerprints that are equal for all copies of a request."""

from hashlib import blake2b

from snipelead.types import Fingerprint

__all__ = [
    'FINGERPRINT_BODY_BYTES',
    'fingerprint_request',
    'identify_request',
    'summarize_request',
]

FINGERPRINT_BYTES = 16
# Bodies that are equal up to here count as equal, so that a long one need not
# be held back.
FINGERPRINT_BODY_BYTES = 64 * 1024
MAX_SUMMARY_CHARS = 96
_LENGTH_BYTES = 4


def identify_request(request, tenant):
    """Return what all copies of a request have in common.

    Attempt ids, deadlines, framing and other header fields may differ.

    Parameters
    ----------
    request : Request
        The request; the start of its body must have been received.
    tenant : TenantName
        Tenant of the request.

    Returns
    -------
    tuple of bytes
        Method, host, URL, tenant and start of the body.
    """
    return (
        request.method,
        request.fields.get(b'host', b'').lower(),
        request.url,
        tenant.encode('utf-8', 'surrogatepass'),
        request.get_body_start(FINGERPRINT_BODY_BYTES),
    )


def fingerprint_request(request, tenant):
    """Return the fingerprint of a request.

    Parameters
    ----------
    request, tenant : Request, TenantName
        See :func:`identify_request`.

    Returns
    -------
    Fingerprint
    """
    # Callers must not be able to find a request with the fingerprint of
    # another one, so the digest is a cryptographic one.
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in identify_request(request, tenant):
        digest.update(len(part).to_bytes(_LENGTH_BYTES, 'big'))
        digest.update(part)
    return Fingerprint(digest.digest())


def summarize_request(request, tenant):
    """Return a short description of a request for operators."""
    host = request.fields.get(b'host', b'').decode('latin-1')
    url = request.url.decode('latin-1')
    text = f'{tenant}: {request.method.decode("latin-1")} {host}{url}'
    return text[:MAX_SUMMARY_CHARS]
