"""Health checks of targets."""

from http import HTTPStatus

from msgspec import Struct
import trio

from snipelead.http.connection import connect
from snipelead.http.exceptions import ConnectFailedError
from snipelead.http.exceptions import INCOMPLETE_MESSAGE_ERRORS
from snipelead.http.reading import DEFAULT_MAX_HEAD_BYTES
from snipelead.http.reading import FieldRules
from snipelead.http.reading import ResponseReader
from snipelead.http.writing import encode_head
from snipelead.logs import log_event
from snipelead.platform.protocols import read_target_status
from snipelead.platform.protocols import STATUS_FIELDS
from snipelead.targets.events import TARGET_ASKED
from snipelead.targets.protocol import NO_STATUS
from snipelead.targets.status import TargetStatus

__all__ = ['HealthReport', 'check_health']

# Id of the target that sent the response.
_INSTANCE_ID = b'instance-id'
_RULES = FieldRules(inspected=STATUS_FIELDS | {_INSTANCE_ID})
# A busy target still answers within the interval between two heartbeats.
HEALTH_TIMEOUT_S = 1.0


class HealthReport(Struct, frozen=True):
    """Result of a health check.

    Parameters
    ----------
    serving : bool
        Whether the target reports that it is healthy; False also if it does
        not answer in time.
    status : TargetStatus
        Status that the target states.
    sent_at : float
        When the check was sent, in seconds of trio's clock.
    """

    serving: bool
    status: TargetStatus
    sent_at: float


async def check_health(address, health_path, target_id):
    """Check the health of a target.

    Parameters
    ----------
    address : Address
        Listening address of the target.
    health_path : str
        Path of its health check.
    target_id : TargetId
        Expected id; another target may have taken over the address.

    Returns
    -------
    HealthReport
    """
    sent_at = trio.current_time()
    target_status = NO_STATUS
    status, responder_id, error = None, '', 'no response in time'
    with trio.move_on_after(HEALTH_TIMEOUT_S):
        try:
            response = await _request_health(address, health_path)
        except (ConnectFailedError, *INCOMPLETE_MESSAGE_ERRORS) as failure:
            error = failure.message
        else:
            error = None
            status = response.status
            responder_id = response.fields.get(_INSTANCE_ID, b'').decode(
                'latin-1'
            )
            if responder_id == target_id:
                target_status = read_target_status(response)
    serving = status == HTTPStatus.OK and responder_id == target_id
    log_event(
        TARGET_ASKED,
        target=target_id,
        serves=serving,
        status=status,
        answerer=responder_id,
        error=error,
    )
    return HealthReport(serving, target_status, sent_at)


async def _request_health(address, health_path):
    field_lines = (b'Host: ' + address.encode(), b'Content-Length: 0')
    head = encode_head(b'GET %b HTTP/1.1' % health_path.encode(), field_lines)
    with await connect(address) as connection:
        await connection.send(head)
        reader = ResponseReader(connection, DEFAULT_MAX_HEAD_BYTES, _RULES)
        return await reader.next_final_response()
