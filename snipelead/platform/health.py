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
    lines = (b'Host: ' + address.encode(), b'Content-Length: 0')
    head = encode_head(b'GET %b HTTP/1.1' % path.encode(), lines)
    with trio.move_on_after(TIMEOUT_S):
        try:
            with await connect(address) as connection:
                await connection.send(head)
                reader = ResponseReader(connection, DEFAULT_HEAD_BYTES, _RULES)
                response = await reader.next_response()
        except (ConnectFailedError, *LOST_ERRORS):
            return False
        answerer = response.fields.get(_ANSWERER, b'').decode('latin-1')
        return response.status == HTTPStatus.OK and answerer == target_id
    return False
