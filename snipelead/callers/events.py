"""Log events of the call path."""

from snipelead.logs import Event

__all__ = [
    'CALL_FAILED',
    'CALL_PATH_LISTENING',
    'DRAIN_ENDED',
    'DRAIN_STARTED',
    'SETTLEMENT_LOST',
    'TARGET_EJECTED',
]

CALL_PATH_LISTENING = Event(
    3001, 'call_path_listening', 'info', 'The node takes callers.'
)
DRAIN_STARTED = Event(
    3002,
    'drain_started',
    'info',
    'The node takes no new connections and finishes what is in flight.',
)
DRAIN_ENDED = Event(
    3003,
    'drain_ended',
    'info',
    'The node closed its connections; `cut` counts calls still in flight.',
)
SETTLEMENT_LOST = Event(
    3004,
    'settlement_lost',
    'warning',
    'The end of a request with an idempotency key could not be recorded;'
    ' the key stays claimed. Check that a majority of controls is up.',
)
TARGET_EJECTED = Event(
    3005,
    'target_ejected',
    'warning',
    'A target failed several times in a row and gets no requests for a'
    ' while. Check the target and the node beside it.',
)

CALL_FAILED = Event(
    3006,
    'call_failed',
    'error',
    'A call ended by an unforeseen error; please report the error shown.',
)
