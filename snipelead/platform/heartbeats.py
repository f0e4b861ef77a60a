"""Decoding of the heartbeats that targets send."""

from typing import Annotated

import msgspec
from msgspec import field
from msgspec import Meta
from msgspec import Struct

from snipelead.platform.exceptions import UnreadableHeartbeatError
from snipelead.platform.formats import decode_duration_ms
from snipelead.targets.heartbeats import TargetHeartbeat
from snipelead.types import Address
from snipelead.types import Count
from snipelead.types import MAX_INTEGER
from snipelead.types import ServiceName
from snipelead.types import TargetId
from snipelead.types import TargetState
from snipelead.types import ZoneName
from snipelead.utils.decoding import limit_nesting
from snipelead.utils.validation import is_address

__all__ = ['decode_heartbeat']

_STATES = {'ready': TargetState.SERVING, 'draining': TargetState.LEAVING}


class _Info(Struct, frozen=True):
    service: ServiceName
    zone: ZoneName
    slots: Annotated[int, Meta(ge=1, le=MAX_INTEGER)]
    # Version of the target's software, not of a release.
    version: str


class _Status(Struct, frozen=True):
    state: str
    # Sequence number of the heartbeat since the target started.
    seq: Count
    # Remaining warm-up time, in which the target responds slowly.
    cold_remaining: str = field(name='cold-remaining')


class _Heartbeat(Struct, frozen=True):
    address: Address
    info: _Info
    status: _Status
    # Unix time of the target's start, in milliseconds.
    born: Count


_decode = limit_nesting(msgspec.json.Decoder(_Heartbeat, strict=True).decode)


def decode_heartbeat(target_id, body):
    """Decode a heartbeat of a target.

    Parameters
    ----------
    target_id : TargetId
        Target that sent the heartbeat.
    body : bytes
        JSON document.

    Returns
    -------
    TargetHeartbeat

    Raises
    ------
    UnreadableHeartbeatError
        If a field is missing or has a type or value that is not allowed.
    """
    try:
        heartbeat = _decode(body)
        cold_remaining_ms = decode_duration_ms(heartbeat.status.cold_remaining)
    except (msgspec.DecodeError, ValueError) as error:
        raise UnreadableHeartbeatError(
            f'the heartbeat of target {target_id} is malformed: {error}'
        ) from error
    info, status = heartbeat.info, heartbeat.status
    state = _STATES.get(status.state)
    if state is None or not is_address(heartbeat.address):
        raise UnreadableHeartbeatError(
            f'the heartbeat of target {target_id} has invalid values: state'
            f' must be ready or draining, got {status.state!r}; address must'
            f' be IP:port, got {heartbeat.address!r}'
        )
    return TargetHeartbeat(
        TargetId(target_id),
        info.service,
        heartbeat.address,
        info.slots,
        state,
        heartbeat.born,
        status.seq,
        cold_remaining_ms,
        info.version,
    )
