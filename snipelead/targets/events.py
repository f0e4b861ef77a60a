"""Log events about the target beside a node."""

from snipelead.logs import Event

__all__ = [
    'REPORT_DROPPED',
    'ANSWER_BROKEN',
    'ANSWER_STRAY',
    'TARGET_ANNOUNCED',
    'TARGET_GONE',
    'TARGET_LEASE_ENDED',
    'TARGET_ASKED',
    'TARGET_LEAVING',
    'TARGET_UNPROVED',
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
ANSWER_STRAY = Event(
    4013,
    'answer_stray',
    'warning',
    'A target sent a response that answers another request; it was dropped.',
)
ANSWER_BROKEN = Event(
    4014,
    'answer_broken',
    'warning',
    'A target sent a response that is not its answer to the request.',
)
REPORT_DROPPED = Event(
    4015,
    'report_dropped',
    'info',
    'A report of a target changed nothing, since a newer one is known or it'
    ' names a service that is not.',
)
TARGET_UNPROVED = Event(
    4016,
    'target_unproved',
    'info',
    'A target reported itself to a node that was restarted; it gets no work'
    ' until it says that it serves, or has reported some times more.',
)
TARGET_ASKED = Event(
    4017,
    'target_asked',
    'info',
    'A target was asked whether it serves; with its answer, or why there was'
    ' none.',
)
TARGET_GONE = Event(4012, 'target_gone', 'info', 'A target withdrew itself.')
TARGET_LEASE_ENDED = Event(
    5101,
    'target_lease_ended',
    'warning',
    'The target beside the node did not renew its announcement and gets no'
    ' new work; look at the target.',
)
