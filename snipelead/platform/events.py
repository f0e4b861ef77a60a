"""Log events of the platform's interfaces."""

from snipelead.logs import Event

__all__ = ['ORDER_ANSWERED', 'READ_ANSWERED', 'REPORT_UNREADABLE']

REPORT_UNREADABLE = Event(
    4030,
    'report_unreadable',
    'warning',
    'A malformed heartbeat of a target was rejected; the state of the target'
    ' is unchanged.',
)
ORDER_ANSWERED = Event(
    4031,
    'order_answered',
    'info',
    "An operator's request to replace the configuration was answered.",
)
READ_ANSWERED = Event(
    4032,
    'read_answered',
    'info',
    "An operator's request for the current configuration was answered.",
)
