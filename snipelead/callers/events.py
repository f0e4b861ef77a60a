"""Log events of the call path."""

from snipelead.logs import Event

__all__ = [
    'ATTEMPT_CHOSEN',
    'ATTEMPT_FAILED',
    'BUFFERS_FREED',
    'CALL_ABANDONED',
    'CALL_ADMITTED',
    'CALL_ANSWERED',
    'CALL_EXPIRED',
    'CALL_NOT_ADMITTED',
    'CALL_REFUSED',
    'CALL_ROUTED',
    'CALL_FAILED',
    'CALL_PATH_LISTENING',
    'CONNECTIONS_CLOSED',
    'DRAIN_ENDED',
    'DRAIN_STARTED',
    'HEAD_TIMED_OUT',
    'REQUEST_MALFORMED',
    'RESPONSE_NOT_READ',
    'SETTLEMENT_LOST',
    'PROBE_UNANSWERED',
    'TARGET_EJECTED',
    'TARGET_RESTORED',
]

CALL_PATH_LISTENING = Event(
    3001,
    'call_path_listening',
    'info',
    'The node accepts connections of callers.',
)
DRAIN_STARTED = Event(
    3002,
    'drain_started',
    'info',
    'The node accepts no new connections and finishes the requests in flight.',
)
DRAIN_ENDED = Event(
    3003,
    'drain_ended',
    'info',
    'The node has drained; `cut` is the number of requests and settlements'
    ' that were still in flight and were cancelled.',
)
SETTLEMENT_LOST = Event(
    3004,
    'settlement_lost',
    'warning',
    'The claim on an idempotency key could not be settled; the key stays'
    ' claimed. Check that a majority of the controls is up.',
)
TARGET_EJECTED = Event(
    3005,
    'target_ejected',
    'warning',
    'A target failed several times in a row and receives no requests for'
    ' `for_s` seconds. Check the target and its node.',
)
TARGET_RESTORED = Event(
    3094,
    'target_restored',
    'info',
    'A target that was ejected has responded and receives requests as before.',
)
PROBE_UNANSWERED = Event(
    3095,
    'probe_unanswered',
    'warning',
    'The request that was to show whether an ejected target is back reached'
    ' its deadline. Another one is sent after a pause.',
)

CALL_FAILED = Event(
    3006,
    'call_failed',
    'error',
    'A call failed with an unexpected error; please report `error`.',
)

# The events below are about one request and carry the id that its caller gave
# it. Those of level info are logged for a sample of the requests, the others
# for all requests.
CALL_ROUTED = Event(
    3010,
    'call_routed',
    'info',
    'A request matched a route of release `release`.',
    is_request_event=True,
)
ATTEMPT_CHOSEN = Event(
    3011,
    'attempt_chosen',
    'info',
    'A target was selected by the load that this node knows of; its last load'
    ' report is `load_age_s` seconds old.',
    is_request_event=True,
)
CALL_ADMITTED = Event(
    3012,
    'call_admitted',
    'info',
    'The node of the target admitted the request to a slot.',
    is_request_event=True,
)
CALL_NOT_ADMITTED = Event(
    3013,
    'call_not_admitted',
    'warning',
    'The node of the target rejected the request; it was not executed.',
    is_request_event=True,
)
ATTEMPT_FAILED = Event(
    3014,
    'attempt_failed',
    'warning',
    'An attempt failed; `retried` tells whether another target is tried.',
    is_request_event=True,
)
CALL_ANSWERED = Event(
    3015,
    'call_answered',
    'info',
    'A target responded to the request.',
    is_request_event=True,
)
CALL_REFUSED = Event(
    3016,
    'call_refused',
    'warning',
    'The caller received an error response from the node; `ran` tells whether'
    ' its request was executed.',
    is_request_event=True,
)
CALL_EXPIRED = Event(
    3017,
    'call_expired',
    'warning',
    'The deadline of a request passed before a response was sent.',
    is_request_event=True,
)
CALL_ABANDONED = Event(
    3018,
    'call_abandoned',
    'warning',
    'The response was not completed, since the caller disconnected or the'
    ' transfer stalled.',
    is_request_event=True,
)

# The events below are logged at most once in 10 s each; `closed` counts the
# connections that the limit has closed since the start of the process.
BUFFERS_FREED = Event(
    3090,
    'buffers_freed',
    'warning',
    'Requests and responses of callers used more than `buffer_bytes`; the'
    ' connections that used most were closed.',
)
CONNECTIONS_CLOSED = Event(
    3091,
    'connections_closed',
    'warning',
    'The limit of connections was reached; idle connections were closed in'
    ' favour of new ones. Look for callers that open many connections.',
)
HEAD_TIMED_OUT = Event(
    3092,
    'head_timed_out',
    'warning',
    'A connection was closed, since a request head remained incomplete for'
    ' `head_timeout_ms`.',
)
RESPONSE_NOT_READ = Event(
    3093,
    'response_not_read',
    'warning',
    'A connection was closed, since its peer read nothing of a response for'
    ' `response_timeout_ms`.',
)
REQUEST_MALFORMED = Event(
    3096,
    'request_malformed',
    'warning',
    'A peer sent bytes that are not a valid request; it got an error response,'
    ' and its connection was closed.',
)
