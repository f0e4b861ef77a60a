"""Log events about the target beside a node."""

from snipelead.logs import Event

__all__ = [
    'TARGET_ANNOUNCED',
    'TARGET_GONE',
    'TARGET_LEASE_ENDED',
    'TARGET_LEAVING',
]

TARGET_ANNOUNCED = Event(
    4010,
    'target_announced',
    'info',
    'A target announced itself, for the first time or again.',
)
TARGET_LEAVING = Event(
    4011,
    'target_leaving',
    'info',
    'A target is leaving and gets no new work.',
)
TARGET_GONE = Event(4012, 'target_gone', 'info', 'A target withdrew itself.')
TARGET_LEASE_ENDED = Event(
    5101,
    'target_lease_ended',
    'warning',
    'The target beside the node did not renew its announcement and gets no'
    ' new work; look at the target.',
)
