"""Leases under which nodes accept API keys."""

from msgspec import Struct

from snipelead.messages.registry import register_reply
from snipelead.types import ReleaseNumber

__all__ = ['LeaseReply', 'LeaseRequest']


class LeaseRequest(Struct, frozen=True, array_like=True):
    """Request of a node for a lease; it has no content, to stay small."""


class LeaseReply(Struct, frozen=True, array_like=True):
    """Reply to a request for a lease.

    Parameters
    ----------
    release : ReleaseNumber or None
        Newest release, as certified by a majority of the voters after the
        request arrived; None if it could not be certified.
    """

    release: ReleaseNumber | None = None


register_reply(LeaseRequest, LeaseReply)
