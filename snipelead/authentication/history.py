"""Releases that a node has seen, and the keys that customers lost in them."""

__all__ = ['ReleaseHistory']

# Number of releases that are remembered. Requests that were authenticated by
# an older one are refused, so it must outlast the wait of a request.
MAX_RELEASES = 64


class ReleaseHistory:
    """Tells whether a customer has lost a key since an earlier release.

    Only releases that the node has held are known. Of one that it has
    skipped, it cannot tell which keys were added in it and removed later.

    Attributes
    ----------
    current : Release
        Newest release seen.
    seen : dict of ReleaseNumber to None
        Numbers of the releases seen, in ascending order.
    removals : dict of TenantName to ReleaseNumber
        Release in which a customer last lost a key.
    """

    def __init__(self, release):
        self.current = release
        self.seen = {release.number: None}
        self.removals = {}

    def observe(self, release):
        """Record a release that replaces the current one."""
        previous, self.current = self.current, release
        for customer in previous.customers.values():
            successor = release.customers.get(customer.name)
            if successor is not customer and _has_lost_key(
                customer, successor
            ):
                self.removals[customer.name] = release.number
        self.seen[release.number] = None
        if len(self.seen) > MAX_RELEASES:
            del self.seen[next(iter(self.seen))]
            oldest = next(iter(self.seen))
            self.removals = {
                name: number
                for name, number in self.removals.items()
                if number > oldest
            }

    def is_current(self, customer, release):
        """Return whether a customer has kept all keys since a release.

        Parameters
        ----------
        customer : TenantName
            The customer.
        release : ReleaseNumber
            Release in which a key of the customer was found.

        Returns
        -------
        bool
            False if it is not known.
        """
        if release >= self.current.number:
            return True
        return release in self.seen and release >= self.removals.get(
            customer, 0
        )


def _has_lost_key(customer, successor):
    if successor is None:
        return bool(customer.api_keys)
    return not set(customer.api_keys) <= set(successor.api_keys)
