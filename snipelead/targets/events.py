"""Log events about the target beside a node."""

from snipelead.logs import Event

__all__ = ['TARGET_LEASE_ENDED']

TARGET_LEASE_ENDED = Event(
    5101,
    'target_lease_ended',
    'warning',
    'The target beside the node did not renew its announcement and gets no'
    ' new work; look at the target.',
)
