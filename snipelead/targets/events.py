"""Log events of a node's conversation with the target beside it."""

from snipelead.logs import Event

__all__ = [
    'TARGET_ANNOUNCED',
    'TARGET_EXPIRED',
    'TARGET_GONE',
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
TARGET_EXPIRED = Event(
    4013,
    'target_expired',
    'warning',
    'A target did not renew its announcement in time and counts as gone;'
    ' check the target beside this node.',
)
