"""Header fields and messages exchanged by nodes on the call path."""

from typing import Annotated

import msgspec
from msgspec import Meta
from msgspec import Struct

from snipelead.types import AttemptId
from snipelead.types import Incarnation
from snipelead.types import Ran
from snipelead.utils.decoding import limit_nesting

__all__ = [
    'CALL_FIELD',
    'FENCE_FIELD',
    'LOAD_FIELD',
    'STATUS_FIELD',
    'FenceRequest',
    'Load',
    'StatusMessage',
    'attach_load',
    'decode_status',
    'detach_load',
    'make_status_message',
]

CALL_FIELD = b'x-snipelead-call'
FENCE_FIELD = b'x-snipelead-fence'
LOAD_FIELD = b'x-snipelead-load'
STATUS_FIELD = b'x-snipelead-status'
# A peer that holds a request and sends no heartbeat for this time is lost.
HEARTBEAT_TIMEOUT_S = 0.6
# Interval of the heartbeats that a peer sends while it holds a request.
HEARTBEAT_INTERVAL_S = 0.15

_encode = msgspec.json.encode


class Load(Struct, frozen=True, array_like=True):
    """Load of a target as measured by its node.

    Parameters
    ----------
    in_flight : int
        Slots in use.
    queued : int
        Requests that wait for a slot.
    slots : int
        Concurrent requests that the target accepts.
    queue_us, target_us : int
        Queueing time and service time of this request, in microseconds.
    error_rate : float
        Moving average of the share of server errors among the responses.
    service_us : int
        Moving average of the service time over all routes, in microseconds;
        0 if unknown.
    route_service_us : int
        Moving average of the service time of this request's route, in
        microseconds; 0 if unknown.
    """

    in_flight: int
    queued: int
    slots: int
    queue_us: int = 0
    target_us: int = 0
    error_rate: float = 0.0
    service_us: int = 0
    route_service_us: int = 0

    def next_slot_s(self):
        """Return the time until a newly queued request starts, in seconds.

        Returns
        -------
        float or None
            None if the service time is unknown.
        """
        if not self.service_us:
            return None
        return (self.queued + 1) * self.service_us / 1e6 / max(1, self.slots)


class StatusMessage(Struct, frozen=True, array_like=True):
    """What a target has stated about itself; sent only if it has.

    The node beside the target sends it with responses. The other nodes send
    it with requests, so that a limit outlives the process that enforces it.

    Parameters
    ----------
    target_incarnation : Incarnation
        Incarnation of the target that stated it.
    rate_limit : float or None
        Requests per second that the target accepts from all nodes together.
    is_leaving : bool
        Whether the target is leaving.
    """

    target_incarnation: Incarnation
    rate_limit: Annotated[float, Meta(ge=0)] | None = None
    is_leaving: bool = False


class FenceRequest(Struct, frozen=True, array_like=True):
    """Request to fence an attempt, so that it is never admitted.

    Parameters
    ----------
    attempt_id : AttemptId
        Attempt to fence.
    incarnation : Incarnation
        Incarnation of the node that the attempt was sent to.
    """

    attempt_id: AttemptId
    incarnation: Incarnation


class FenceReply(Struct, frozen=True, array_like=True):
    """Reply to a fence request.

    Parameters
    ----------
    ran : Ran
        NO if the attempt has not run and never will, YES if its target has
        responded, otherwise UNKNOWN.
    """

    ran: Ran


def make_status_message(known):
    """Return the message about a known status, or None if there is none.

    Parameters
    ----------
    known : KnownStatus or None
        What this node knows of the target.
    """
    if known is None or (known.rate_limit is None and not known.is_leaving):
        return None
    return StatusMessage(known.incarnation, known.rate_limit, known.is_leaving)


_decode_status = limit_nesting(msgspec.json.Decoder(StatusMessage).decode)


def decode_status(message):
    """Return the status message in a request or response, or None.

    Parameters
    ----------
    message : Message
        Request or response of another node.
    """
    field = message.fields.get(STATUS_FIELD)
    if field is None:
        return None
    try:
        return _decode_status(field)
    except msgspec.DecodeError:
        return None


# Name of the detail of a refusal that holds the load of the target.
_LOAD_DETAIL = 'load'
_decode_load = limit_nesting(msgspec.json.Decoder(Load).decode)


def attach_load(error):
    """Add the load of the target to the details of a refusal."""
    error.details[_LOAD_DETAIL] = _encode(error.load).decode()


def detach_load(error):
    """Move the load from the details of a received refusal to ``load``."""
    value = error.details.pop(_LOAD_DETAIL, None)
    if value is None:
        return
    try:
        error.load = _decode_load(value)
    except msgspec.DecodeError:
        error.load = None


def encode_field(name, value):
    """Return a header field that holds a message encoded as JSON."""
    return b'%b: %b' % (name, _encode(value))
