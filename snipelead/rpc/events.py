"""Log events of remote procedure calls."""

from snipelead.logs import Event

__all__ = ['CONNECTION_FAILED', 'FRAME_INVALID', 'PROCEDURE_FAILED']

PROCEDURE_FAILED = Event(
    6001,
    'procedure_failed',
    'error',
    'A handler raised an unexpected error; the caller got an error that'
    ' leaves the outcome unknown. Report it with the traceback.',
)
CONNECTION_FAILED = Event(
    6002,
    'rpc_connection_failed',
    'warning',
    'The RPC library failed on a connection, which is closed; calls on it fail'
    ' or time out. A peer may have sent invalid bytes.',
)
FRAME_INVALID = Event(
    6003,
    'rpc_frame_invalid',
    'warning',
    'A peer sent bytes that are not a frame. The connection is closed, and its'
    ' calls fail.',
)
