"""Header fields and messages between nodes on the call path."""

import msgspec
from msgspec import Struct

from snipelead.types import AttemptId
from snipelead.types import Incarnation
from snipelead.types import Ran

__all__ = [
    'CALL_FIELD',
    'FENCE_FIELD',
    'LOAD_FIELD',
    'FenceRequest',
    'Load',
]

CALL_FIELD = b'x-snipelead-call'
FENCE_FIELD = b'x-snipelead-fence'
LOAD_FIELD = b'x-snipelead-load'
# Longest time without a heartbeat while a peer holds a request.
SILENCE_S = 0.6
# Time between the heartbeats that a peer sends.
HEARTBEAT_S = 0.15

_encode = msgspec.json.encode


class Load(Struct, frozen=True, array_like=True):
    """Load of a target as its node knows it.

    Parameters
    ----------
    in_flight : int
        Slots in use.
    queued : int
        Requests that wait.
    slots : int
        Slots of the target.
    queue_us, target_us : int
        Time that this request waited and time that the target took, in
        microseconds.
    errors : float
        Moving average of the share of answers with a server error.
    service_us : int
        Moving average of the time that the target takes for a request, in
        microseconds; 0 when not known.
    work_us : int
        The same for requests of the route of the one answered.
    """

    in_flight: int
    queued: int
    slots: int
    queue_us: int = 0
    target_us: int = 0
    error_rate: float = 0.0
    service_us: int = 0
    route_service_us: int = 0


class FenceRequest(Struct, frozen=True, array_like=True):
    """Asks that an attempt never be admitted any more.

    Parameters
    ----------
    attempt_id : AttemptId
        The attempt.
    incarnation : Incarnation
        Incarnation of the node that the attempt was sent to.
    """

    attempt_id: AttemptId
    incarnation: Incarnation


class FenceReply(Struct, frozen=True, array_like=True):
    """Answer to a fence request.

    Parameters
    ----------
    ran : Ran
        NO when the attempt never ran and never will; YES when its target
        has answered; otherwise UNKNOWN.
    """

    ran: Ran


def encode_field(name, value):
    """Return a header field that holds a message."""
    return b'%b: %b' % (name, _encode(value))
