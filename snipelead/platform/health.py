"""The question to a target whether it serves."""

from http import HTTPStatus

import trio

from snipelead.http.connection import connect
from snipelead.http.exceptions import ConnectFailedError
from snipelead.http.exceptions import LOST_ERRORS
from snipelead.http.reading import DEFAULT_HEAD_BYTES
from snipelead.http.reading import FieldRules
from snipelead.http.reading import ResponseReader
from snipelead.http.writing import encode_head
from snipelead.logs import log_event
from snipelead.targets.events import TARGET_ASKED

__all__ = ['serves_now']

# Id of the target that answers.
_ANSWERER = b'instance-id'
_RULES = FieldRules(read=frozenset((_ANSWERER,)))
# A target that was busy answers within the time between two reports.
TIMEOUT_S = 1.0


async def serves_now(address, path, target_id):
    """Tell whether a target says that it serves.

    Parameters
    ----------
    address : Address
        Where it listens.
    path : str
        Path of the question.
    target_id : TargetId
        Target that is meant; another one may have its address.

    Returns
    -------
    bool
        False also when it gives no answer in time.
    """
    status, answerer, error = None, '', 'no answer in time'
    with trio.move_on_after(TIMEOUT_S):
        try:
            response = await _ask(address, path)
        except (ConnectFailedError, *LOST_ERRORS) as failure:
            error = failure.message
        else:
            error = None
            status = response.status
            answerer = response.fields.get(_ANSWERER, b'').decode('latin-1')
    serves = status == HTTPStatus.OK and answerer == target_id
    log_event(
        TARGET_ASKED,
        target=target_id,
        serves=serves,
        status=status,
        answerer=answerer,
        error=error,
    )
    return serves


async def _ask(address, path):
    lines = (b'Host: ' + address.encode(), b'Content-Length: 0')
    head = encode_head(b'GET %b HTTP/1.1' % path.encode(), lines)
    with await connect(address) as connection:
        await connection.send(head)
        reader = ResponseReader(connection, DEFAULT_HEAD_BYTES, _RULES)
        return await reader.next_response()
