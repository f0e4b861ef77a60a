"""Log events of remote procedure calls."""

from snipelead.logs import Event

__all__ = ['PROCEDURE_FAILED']

PROCEDURE_FAILED = Event(
    6001,
    'procedure_failed',
    'error',
    'A handler raised an unexpected error; the caller got an error that'
    ' leaves the outcome unknown. Report it with the traceback.',
)
