"""Authentication of requests at the node where they enter the system."""

from snipelead.authentication.exceptions import MissingApiKeyError
from snipelead.authentication.exceptions import UnknownApiKeyError
from snipelead.authentication.keys import CustomerKeys

__all__ = ['Authenticator', 'Authorization']


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

    Attributes
    ----------
    keys : CustomerKeys
        Customers of the current release.
    """

    def __init__(self, holder):
        self.holder = holder
        self.keys = CustomerKeys(holder.current)

    @property
    def is_required(self):
        """Whether the current release requires API keys."""
        if self.keys.release is not self.holder.current:
            self.keys = CustomerKeys(self.holder.current)
        return self.keys.is_required

    def authenticate(self, request, route, options, protocol):
        """Identify the customer of a request that has just been read.

        If the release requires API keys, the caller's key and customer name
        are removed from the header fields that are sent on.

        Parameters
        ----------
        request : Request
            Request of the caller.
        route : Route
            Route of the request in the current release.
        options : CallerOptions
            Options of the request.
        protocol : CallerProtocol
            Protocol that the options were read by.

        Returns
        -------
        Customer or None
            None if the release or the route requires no API key.

        Raises
        ------
        MissingApiKeyError, UnknownApiKeyError
            If the request does not identify a customer.
        """
        if not self.is_required:
            return None
        key_count = protocol.remove_identity(request)
        if route.public:
            return None
        if options.api_key is None or key_count != 1:
            raise MissingApiKeyError('the request must carry one API key')
        customer = self.keys.find(options.api_key)
        if customer is None:
            raise UnknownApiKeyError('the API key belongs to no customer')
        return customer

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
        """Check that an authorized request may still be sent on."""
