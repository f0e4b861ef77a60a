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
    'An emulated target announced itself to its node.',
)
TARGET_LEAVING = Event(
    8002,
    'target_leaving',
    'info',
    'An emulated target told its node that it is leaving.',
)
TARGET_STOPPED = Event(
    8003,
    'target_stopped',
    'info',
    'An emulated target finished its requests and stopped.',
)
NODE_UNREACHABLE = Event(
    8004,
    'node_unreachable',
    'warning',
    'An emulated target cannot reach its node; it retries.',
)
BEHAVIOUR_CHANGED = Event(
    8005,
    'behaviour_changed',
    'info',
    'The behaviour of an emulated target was changed at run time.',
)
