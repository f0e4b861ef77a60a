"""Log events about the local target of a node."""

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
    'A target was registered, or its registration was updated.',
)
TARGET_LEAVING = Event(
    4011,
    'target_leaving',
    'info',
    'A target is leaving and receives no new requests.',
)
ANSWER_STRAY = Event(
    4013,
    'answer_stray',
    'warning',
    'A response of a target to a different request was discarded.',
)
ANSWER_BROKEN = Event(
    4014,
    'answer_broken',
    'warning',
    'A target sent a response that is not a valid answer to the request.',
)
REPORT_DROPPED = Event(
    4015,
    'report_dropped',
    'info',
    'A heartbeat of a target was discarded because it is outdated or names an'
    ' unknown service.',
)
TARGET_UNPROVED = Event(
    4016,
    'target_unproved',
    'info',
    'A target sent a heartbeat to a restarted node; it receives no requests'
    ' until a health check succeeds or several more heartbeats arrive.',
)
TARGET_ASKED = Event(
    4017,
    'target_asked',
    'info',
    'A health check of a target ended; the line shows the response or why'
    ' there was none.',
)
TARGET_GONE = Event(
    4012, 'target_gone', 'info', 'A target withdrew its registration.'
)
TARGET_LEASE_ENDED = Event(
    5101,
    'target_lease_ended',
    'warning',
    'The lease of the local target expired without a renewal, so it receives'
    ' no new requests; check the target.',
)
