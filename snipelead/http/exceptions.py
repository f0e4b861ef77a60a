"""Errors of HTTP connections."""

from snipelead.exceptions import SnipeleadError

__all__ = [
    'INCOMPLETE_MESSAGE_ERRORS',
    'ConnectFailedError',
    'ConnectionLostError',
    'HeadTooLargeError',
    'MalformedMessageError',
    'SendFailedError',
    'UpgradeRefusedError',
]


class ConnectionLostError(SnipeleadError):
    """The connection was closed or reset before a message was complete."""

    code = 'SL3101'


class ConnectFailedError(SnipeleadError):
    """The connection could not be opened; nothing was sent.

    Parameters
    ----------
    message : str
        Human-readable description.
    is_refused : bool
        Whether the host is up and no process listens at the address.
    **details : object
        Named facts, kept as strings.
    """

    code = 'SL3102'
    is_refused = False

    def __init__(self, message, is_refused=False, **details):
        super().__init__(message, **details)
        self.is_refused = is_refused


class MalformedMessageError(SnipeleadError):
    """The peer sent data that is not a valid HTTP/1.1 message."""

    code = 'SL3103'


class HeadTooLargeError(SnipeleadError):
    """The start line and header fields exceed the size limit."""

    code = 'SL3104'


class UpgradeRefusedError(SnipeleadError):
    """The request asks for a protocol upgrade, which is not supported."""

    code = 'SL3105'


class SendFailedError(ConnectionLostError):
    """The data could not be sent because the connection was lost."""

    code = 'SL3106'


# Errors after which a partly received message cannot be completed.
INCOMPLETE_MESSAGE_ERRORS = (
    ConnectionLostError,
    MalformedMessageError,
    HeadTooLargeError,
)
