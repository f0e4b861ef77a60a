"""Responses to requests that were forwarded to another node."""

import msgspec

from snipelead.exceptions import error_from_info
from snipelead.exceptions import ErrorInfo
from snipelead.nodes.peer_messages import detach_load
from snipelead.nodes.peer_messages import FenceReply
from snipelead.nodes.peer_messages import Load
from snipelead.nodes.peer_messages import LOAD_FIELD
from snipelead.types import Ran
from snipelead.utils.decoding import decode_json

__all__ = ['PeerResponse', 'read_fence_reply', 'read_refusal']


class PeerResponse:
    """Response of a remote target, received from its node.

    Attributes
    ----------
    response : Message
        HTTP response whose body is read as it arrives.
    load : Load or None
        Load of the target reported with the response.
    """

    __slots__ = ('address', 'closed', 'load', 'pool', 'reader', 'response')

    def __init__(self, pool, address, reader, response):
        self.pool = pool
        self.address = address
        self.reader = reader
        self.response = response
        self.load = _decode_load(response)
        self.closed = False

    def close(self):
        """Return the connection to the pool, or close it if unusable."""
        if self.closed:
            return
        self.closed = True
        if self.response.complete and self.response.keep_alive:
            self.pool.release(self.address, self.reader)
        else:
            self.reader.connection.close()


def _decode_load(response):
    field = response.fields.get(LOAD_FIELD)
    if field is None:
        return None
    try:
        return decode_json(field, type=Load)
    except msgspec.DecodeError:
        return None


async def _read_body(response):
    chunks = []
    while data := await response.read():
        chunks.append(data)
    return b''.join(chunks)


async def read_fence_reply(response):
    """Return whether a fenced attempt ran, as reported by its node."""
    body = await _read_body(response)
    return decode_json(body, type=FenceReply).ran


async def read_refusal(response):
    """Return the error that the peer responded with.

    Parameters
    ----------
    response : Message
        Response of the peer; its body must not have been read.

    Returns
    -------
    CallError or None
        None if the response comes from the target.
    """
    code = response.fields.get(b'x-snipelead-code')
    if code is None:
        return None
    body = await _read_body(response)
    # The response to a HEAD request has no body.
    content = decode_json(body) if body else {}
    retry_after = response.fields.get(b'x-retry-after-ms')
    info = ErrorInfo(
        code.decode(),
        content.get('message', response.reason.decode()),
        int(retry_after) if retry_after else None,
        content.get('details', {}),
    )
    error = error_from_info(info)
    error.ran = Ran(response.fields[b'x-snipelead-ran'].decode())
    detach_load(error)
    return error
