"""Replacement of the API keys of releases by digests."""

from hashlib import blake2b

from msgspec.structs import replace

from snipelead.releases.document import Customer

__all__ = ['mask_customer', 'mask_note']

DIGEST_BYTES = 16


def _mask_key(key, salt):
    # An empty key stays empty, because it is refused as such.
    if not key:
        return key
    data = key.encode(errors='surrogatepass')
    return blake2b(data, digest_size=DIGEST_BYTES, key=salt).hexdigest()


def mask_customer(customer, salt):
    """Return a customer with digests in place of its API keys.

    Parameters
    ----------
    customer : Customer
        Customer with its keys.
    salt : bytes
        Key of the digests, up to 64 bytes; equal API keys have equal digests
        only for the same salt.

    Returns
    -------
    Customer
    """
    keys = tuple(_mask_key(key, salt) for key in customer.api_keys)
    return replace(customer, api_keys=keys)


def mask_note(note, salt):
    """Return a release note with digests in place of all API keys.

    Parameters
    ----------
    note : ReleaseNote
        Note with the keys.
    salt : bytes
        Key of the digests.

    Returns
    -------
    ReleaseNote
    """
    changes = tuple(
        replace(change, customer=mask_customer(change.customer, salt))
        if isinstance(change.customer, Customer)
        else change
        for change in note.changes
    )
    return replace(note, changes=changes)
