"""Log events of the emulator."""

from snipelead.logs import Event

__all__ = [
    'BEHAVIOUR_CHANGED',
    'NODE_UNREACHABLE',
    'TARGET_ANNOUNCED',
    'TARGET_LEAVING',
    'TARGET_STOPPED',
]

TARGET_ANNOUNCED = Event(
    8001,
    'target_announced',
    'info',
    'A stand-in target announced itself to its node.',
)
TARGET_LEAVING = Event(
    8002,
    'target_leaving',
    'info',
    'A stand-in target told its node that it is leaving.',
)
TARGET_STOPPED = Event(
    8003,
    'target_stopped',
    'info',
    'A stand-in target finished its requests and stopped.',
)
NODE_UNREACHABLE = Event(
    8004,
    'node_unreachable',
    'warning',
    'A stand-in target cannot reach its node; it keeps trying.',
)
BEHAVIOUR_CHANGED = Event(
    8005,
    'behaviour_changed',
    'info',
    'The behaviour of a stand-in target was changed at run time.',
)
