"""Leases of a node, each of which bounds the use of revoked API keys.

A lease for release N that was asked for at time t proves that no release
after N had been acknowledged at t. A key that a later release removes was
therefore acknowledged as removed after t, so that the lease may be used until
``revocation_ms`` after t.
"""

from math import inf

__all__ = ['LEASE_MARGIN_SHARE', 'RevocationLeases']

# Share of the bound that a lease ends early, for the time between the last
# check of a request and its start at the target, and for clocks that run at
# different speeds.
LEASE_MARGIN_SHARE = 0.04
MS_PER_S = 1_000


class RevocationLeases:
    """Leases that a node has got since it started; none outlives it.

    All times are in seconds of trio's clock, which in the processes of the
    system goes on while the VM is suspended.

    Parameters
    ----------
    revocation_ms : int
        Maximum time from the acknowledgement of a release until keys that it
        removed are refused, in milliseconds.

    Attributes
    ----------
    ends : dict of ReleaseNumber to float
        End of the latest lease of each release, without those that a lease
        of an older release outlasts.
    newest_release : ReleaseNumber
        Newest release that any lease was for.
    """

    def __init__(self, revocation_ms):
        self.duration_s = revocation_ms / MS_PER_S * (1 - LEASE_MARGIN_SHARE)
        self.ends = {}
        self.newest_release = 0

    def record(self, release, asked_at):
        """Record a lease.

        Parameters
        ----------
        release : ReleaseNumber
            Release that was certified as the newest after the request for
            the lease had been sent.
        asked_at : float
            Time before the request was sent.
        """
        end = asked_at + self.duration_s
        self.newest_release = max(self.newest_release, release)
        if end <= self.find_end(release):
            return
        self.ends = {
            other: other_end
            for other, other_end in self.ends.items()
            if (other < release and other_end > asked_at)
            or (other > release and other_end > end)
        }
        self.ends[release] = end

    def find_end(self, release):
        """Return until when requests may be authenticated by a release.

        Parameters
        ----------
        release : ReleaseNumber
            Release by which requests are authenticated.

        Returns
        -------
        float
            Minus infinity if there was no lease for it.
        """
        return max(
            (end for number, end in self.ends.items() if number <= release),
            default=-inf,
        )
