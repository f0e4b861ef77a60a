"""Granting of leases by a control."""

from snipelead.controls.certification import SharedCertification
from snipelead.messages import LeaseReply

__all__ = ['LeaseGranter']

# Requests that arrive within this time share one certification, which costs a
# round trip to a majority of the voters.
ROUND_INTERVAL_S = 0.1


class LeaseGranter:
    """Answers the requests of nodes for leases.

    Parameters
    ----------
    publisher : Publisher
        Certifies the newest release.
    metrics : ControlMetrics or None
        Counts the answers.
    """

    def __init__(self, publisher, metrics=None):
        self.publisher = publisher
        self.metrics = metrics
        self.certification = SharedCertification(publisher, ROUND_INTERVAL_S)

    async def grant(self, request):
        """Answer a request with the newest release, if it is certified.

        The certification starts after the request has arrived. A release
        that becomes the newest meanwhile is at least as new.
        """
        certified = await self.certification.certify()
        newest = self.publisher.newest
        # A release that was offered by a node is not known to be accepted.
        if newest is not self.publisher.source.current:
            certified = False
        if self.metrics is not None:
            self.metrics.count_lease(certified)
        return LeaseReply(newest.number if certified else None)
