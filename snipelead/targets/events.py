"""Log events about the local target of a node."""

from snipelead.logs import Event

__all__ = [
    'REPORT_DROPPED',
    'ANSWER_BROKEN',
    'ANSWER_STRAY',
    'LEAVING_STATED',
    'RATE_LIMIT_CHANGED',
    'RATE_LIMIT_ENDED',
    'RATE_LIMIT_INVALID',
    'RATE_LIMIT_STATED',
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
RATE_LIMIT_STATED = Event(
    4018,
    'rate_limit_stated',
    'warning',
    'A target states that it accepts at most `limit` requests per second from'
    ' all nodes together. Check why it is short of capacity.',
)
RATE_LIMIT_CHANGED = Event(
    4019, 'rate_limit_changed', 'info', 'A target changed its rate limit.'
)
RATE_LIMIT_ENDED = Event(
    4020, 'rate_limit_ended', 'info', 'A target no longer limits its rate.'
)
RATE_LIMIT_INVALID = Event(
    4021,
    'rate_limit_invalid',
    'warning',
    'A target stated a rate limit that is not a decimal number. It is ignored,'
    ' and further ones of the same target are not logged.',
)
LEAVING_STATED = Event(
    4022,
    'leaving_stated',
    'info',
    'A target stated in a response that it is leaving; it receives no new'
    ' requests from this node.',
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
