"""Log events about targets that crash and the requests they were running."""

from snipelead.logs import Event

__all__ = [
    'QUARANTINE_LIFTED',
    'REQUEST_CLEARED',
    'REQUEST_QUARANTINED',
    'REQUEST_SUSPECTED',
    'TARGET_CRASHED',
    'TARGET_DOWN',
]

TARGET_CRASHED = Event(
    4023,
    'target_crashed',
    'warning',
    'The local target broke all connections and refuses new ones. `running` is'
    ' the number of requests that it was running; copies of each are watched.',
)
REQUEST_SUSPECTED = Event(
    4024,
    'request_suspected',
    'warning',
    'A request was running when its target crashed. `crashes` is the number of'
    ' targets known to have crashed under copies of it.',
)
REQUEST_QUARANTINED = Event(
    4025,
    'request_quarantined',
    'error',
    'Copies of a request have crashed several targets and are refused from now'
    ' on. Check the service with the request shown; once it is repaired, lift'
    ' the quarantine.',
)
REQUEST_CLEARED = Event(
    4026,
    'request_cleared',
    'info',
    'Copies of a request that was running when targets crashed are completed'
    ' by others, so it is not held responsible.',
)
QUARANTINE_LIFTED = Event(
    4027,
    'quarantine_lifted',
    'info',
    'An operator has discarded what is known of crashes under a request.',
)
TARGET_DOWN = Event(
    4028,
    'target_down',
    'warning',
    'The local target refuses connections without a request in flight. It'
    ' receives none until it announces itself again.',
)
