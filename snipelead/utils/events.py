"""Log events of the HTTP APIs for operators and targets."""

from snipelead.logs import Event

__all__ = ['HTTP_REQUEST_FAILED']

HTTP_REQUEST_FAILED = Event(
    4001,
    'http_request_failed',
    'error',
    'An HTTP request failed in an unforeseen way; report it with the error.',
)
