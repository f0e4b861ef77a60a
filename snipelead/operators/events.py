"""Log events of the operator API."""

from snipelead.logs import Event

__all__ = ['NOTE_ANSWERED']

NOTE_ANSWERED = Event(
    4002,
    'note_answered',
    'info',
    'An operator submitted a release note; the outcome is the answer given.',
)
