"""Log events of calls between processes."""

from snipelead.logs import Event

__all__ = ['PROCEDURE_FAILED']

PROCEDURE_FAILED = Event(
    6001,
    'procedure_failed',
    'error',
    'A procedure failed in an unforeseen way; its caller was told that the'
    ' outcome is unknown. Report it with the traceback.',
)
