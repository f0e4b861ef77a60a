"""Errors raised while decoding messages of the platform."""

from snipelead.exceptions import SnipeleadError

__all__ = ['UnreadableConfigurationError', 'UnreadableHeartbeatError']


class UnreadableHeartbeatError(SnipeleadError):
    """A target's heartbeat is malformed; the target's state is unchanged."""

    code = 'SL4020'


class UnreadableConfigurationError(SnipeleadError):
    """An operator's configuration is malformed or inconsistent."""

    code = 'SL4021'
