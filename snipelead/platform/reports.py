"""Decoding of the status reports that targets send."""

import msgspec
from msgspec import field
from msgspec import Struct

from snipelead.platform.exceptions import UnreadableReportError
from snipelead.platform.formats import decode_duration_ms
from snipelead.targets.reports import TargetReport
from snipelead.types import Address
from snipelead.types import ServiceName
from snipelead.types import TargetId
from snipelead.types import TargetState
from snipelead.types import ZoneName
from snipelead.utils.validation import is_address

__all__ = ['decode_report']

_STATES = {'ready': TargetState.SERVING, 'draining': TargetState.LEAVING}


class _Info(Struct, frozen=True):
    service: ServiceName
    zone: ZoneName
    slots: int
    # Version of the target's software, not of a release.
    version: str


class _Status(Struct, frozen=True):
    state: str
    # Sequence number of the report since the target started.
    seq: int
    # Remaining warm-up time, in which the target responds slowly.
    cold_remaining: str = field(name='cold-remaining')


class _Report(Struct, frozen=True):
    address: Address
    info: _Info
    status: _Status
    # Unix time of the target's start, in milliseconds.
    born: int


_decode = msgspec.json.Decoder(_Report, strict=True).decode


def decode_report(target_id, body):
    """Decode a status report of a target.

    Parameters
    ----------
    target_id : TargetId
        Target that sent the report.
    body : bytes
        JSON document.

    Returns
    -------
    TargetReport

    Raises
    ------
    UnreadableReportError
        If a field is missing or has a type or value that is not allowed.
    """
    try:
        report = _decode(body)
        cold_remaining_ms = decode_duration_ms(report.status.cold_remaining)
    except (msgspec.DecodeError, ValueError) as error:
        raise UnreadableReportError(
            f'the report of target {target_id} is malformed: {error}'
        ) from error
    info, status = report.info, report.status
    state = _STATES.get(status.state)
    if state is None or not is_address(report.address) or info.slots < 1:
        raise UnreadableReportError(
            f'the report of target {target_id} has invalid values: state'
            f' must be ready or draining, got {status.state!r}; address must'
            f' be IP:port, got {report.address!r}; slots must be at least'
            f' 1, got {info.slots}'
        )
    return TargetReport(
        TargetId(target_id),
        info.service,
        report.address,
        info.slots,
        state,
        report.born,
        status.seq,
        cold_remaining_ms,
    )
