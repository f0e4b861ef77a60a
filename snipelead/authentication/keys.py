"""Look-up of customers by API key."""

from hashlib import blake2b
import os

from snipelead.releases.document import AUTHENTICATION_SETTING

__all__ = ['CustomerKeys', 'requires_authentication']

DIGEST_BYTES = 16
# Keys are looked up by digests that are secret to the process, so that the
# time of a look-up tells nothing about the keys in the table.
_DIGEST_SECRET = os.urandom(32)


def requires_authentication(release):
    """Return whether requests of a release need API keys."""
    setting = release.settings.get(AUTHENTICATION_SETTING)
    return setting is not None and setting.value is True


class CustomerKeys:
    """Customers of one release by their API keys.

    Parameters
    ----------
    release : Release
        Release that lists the customers.

    Attributes
    ----------
    is_required : bool
        Whether requests need API keys.
    """

    def __init__(self, release):
        self.release = release
        self.is_required = requires_authentication(release)
        self.customers_by_digest = {}
        if self.is_required:
            self.customers_by_digest = {
                _digest(key.encode('utf-8', 'surrogatepass')): customer
                for customer in release.customers.values()
                for key in customer.api_keys
            }

    def find(self, api_key):
        """Return the customer that a key belongs to, or None.

        Parameters
        ----------
        api_key : bytes
            Key as the caller sent it.

        Returns
        -------
        Customer or None
        """
        return self.customers_by_digest.get(_digest(api_key))


def _digest(api_key):
    return blake2b(
        api_key, digest_size=DIGEST_BYTES, key=_DIGEST_SECRET
    ).digest()
