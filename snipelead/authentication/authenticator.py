"""Authentication of requests at the node where they enter the system."""

from collections import Counter

import trio

from snipelead.authentication.exceptions import AuthenticationOutdatedError
from snipelead.authentication.exceptions import MissingApiKeyError
from snipelead.authentication.exceptions import NoLeaseError
from snipelead.authentication.exceptions import UnexpectedApiKeyError
from snipelead.authentication.exceptions import UnknownApiKeyError
from snipelead.authentication.history import ReleaseHistory
from snipelead.authentication.keys import CustomerKeys
from snipelead.authentication.leases import RevocationLeases

__all__ = ['Authenticator', 'Authorization']

# A node without a lease asks for one again within this time.
NO_LEASE_RETRY_AFTER_MS = 500
# Nodes that can reach the controls hold the newest release within this time.
OUTDATED_RETRY_AFTER_MS = 500


class Authorization:
    """Permission of one request to be run for a customer.

    Parameters
    ----------
    authenticator : Authenticator
        Authenticator of this node.
    customer : TenantName
        Name of the customer.
    release : ReleaseNumber
        Release in which the request's API key belongs to the customer.
    """

    __slots__ = ('authenticator', 'customer', 'release')

    def __init__(self, authenticator, customer, release):
        self.authenticator = authenticator
        self.customer = customer
        self.release = release

    def check(self):
        """Check that the request may still be sent on.

        Raises
        ------
        CallError
            If the customer's key may have been revoked.
        """
        self.authenticator.check(self)


class Authenticator:
    """Identifies the customers of requests by their API keys.

    Parameters
    ----------
    holder : ReleaseHolder
        Holds the release with the customers.
    revocation_ms : int
        Bound on the revocation of keys, in milliseconds; 0 if it is not
        bounded, so that no leases are needed.

    Attributes
    ----------
    keys : CustomerKeys
        Customers of the current release.
    leases : RevocationLeases or None
        Leases under which keys are accepted; None if none are needed.
    history : ReleaseHistory
        Releases that the node has held.
    refusals : Counter
        Number of refusals by error code.
    """

    def __init__(self, holder, revocation_ms=0):
        self.holder = holder
        self.keys = CustomerKeys(holder.current)
        self.leases = (
            RevocationLeases(revocation_ms) if revocation_ms else None
        )
        self.history = ReleaseHistory(holder.current)
        self.refusals = Counter()
        if revocation_ms:
            holder.observers.append(self.history.observe)

    @property
    def is_required(self):
        """Whether the current release requires API keys."""
        if self.keys.release is not self.holder.current:
            self.keys = CustomerKeys(self.holder.current)
        return self.keys.is_required

    def authenticate(self, route, options, key_count, is_newest):
        """Identify the customer of a request that has just been read.

        Parameters
        ----------
        route : Route
            Route of the request in the current release.
        options : CallerOptions
            Options of the request.
        key_count : int
            Number of API keys that the request carried.
        is_newest : bool
            Whether the current release is proved to be the newest one, by a
            proof that began after the request was read.

        Returns
        -------
        Customer or None
            None if the release or the route requires no API key.

        Raises
        ------
        MissingApiKeyError, UnknownApiKeyError
            If the request does not identify a customer.
        UnexpectedApiKeyError
            If the request carries a key that may belong to a customer of a
            newer release.
        NoLeaseError
            If the node cannot tell.
        """
        if not self.is_required:
            has_key = key_count or options.api_key is not None
            if has_key and not is_newest:
                raise UnexpectedApiKeyError(
                    'the request has an API key, and the release of the node'
                    ' has no customers'
                )
            return None
        if route.public:
            return None
        if options.api_key is None or key_count != 1:
            raise self._count(
                MissingApiKeyError('the request must carry one API key'),
                is_newest,
            )
        number = self.holder.current.number
        # Without a lease, the key may have been added meanwhile.
        self._check_lease(number)
        customer = self.keys.find(options.api_key)
        if customer is not None:
            return customer
        if self.leases is not None and self.leases.newest_release > number:
            raise self._count(_make_outdated_error())
        raise self._count(
            UnknownApiKeyError('the API key belongs to no customer'),
            is_newest,
        )

    def authorize(self, customer):
        """Return the authorization of a request of a customer.

        Parameters
        ----------
        customer : Customer or None
            Customer of the current release; None if none was identified.

        Returns
        -------
        Authorization or None
        """
        if customer is None:
            return None
        return Authorization(self, customer.name, self.holder.current.number)

    def adopt(self, customer, release):
        """Return the authorization of a request from another node.

        Parameters
        ----------
        customer : TenantName
            Name of the customer.
        release : ReleaseNumber or None
            Release in which the other node authenticated the request; None if
            it did not.

        Returns
        -------
        Authorization or None
        """
        if release is None:
            return None
        return Authorization(self, customer, release)

    def check(self, authorization):
        """Check that an authorized request may still be sent on.

        Parameters
        ----------
        authorization : Authorization
            Authorization of the request.

        Raises
        ------
        NoLeaseError
            If the node has no lease.
        AuthenticationOutdatedError
            If the customer may have lost the request's key.
        """
        if self.leases is None:
            return
        release = authorization.release
        self._check_lease(max(release, self.holder.current.number))
        if not self.history.is_current(authorization.customer, release):
            raise self._count(_make_outdated_error())

    def lease_remaining_s(self):
        """Return the time left of the lease in seconds.

        Returns
        -------
        float or None
            At least 0; None if no leases are needed.
        """
        if self.leases is None:
            return None
        end = self.leases.find_end(self.holder.current.number)
        return max(0.0, end - trio.current_time())

    def _check_lease(self, release):
        if self.leases is None:
            return
        if self.leases.find_end(release) <= trio.current_time():
            raise self._count(
                NoLeaseError(
                    'the node cannot tell whether API keys were revoked',
                    retry_after_ms=NO_LEASE_RETRY_AFTER_MS,
                )
            )

    def _count(self, error, is_final=True):
        self.refusals[error.code] += is_final
        return error


def _make_outdated_error():
    return AuthenticationOutdatedError(
        'the API keys have changed in another release',
        retry_after_ms=OUTDATED_RETRY_AFTER_MS,
    )
