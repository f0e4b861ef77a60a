"""Errors of requests that need an API key.

None of them contains a key.
"""

from snipelead.callers.exceptions import CallError

__all__ = [
    'AuthenticationOutdatedError',
    'MissingApiKeyError',
    'NoLeaseError',
    'UnexpectedApiKeyError',
    'UnknownApiKeyError',
]


class MissingApiKeyError(CallError):
    """The route requires an API key, and the request has none or several."""

    code = 'SL3030'
    status = 401


class UnknownApiKeyError(CallError):
    """The API key of the request belongs to no customer."""

    code = 'SL3031'
    status = 401


class UnexpectedApiKeyError(CallError):
    """The request has an API key, but the release requires none.

    A newer release may require it.
    """

    code = 'SL3035'


class NoLeaseError(CallError):
    """The node cannot tell whether API keys have been revoked meanwhile."""

    code = 'SL3032'
    # The node of another target may have a lease.
    retry_on_other_target = True


class AuthenticationOutdatedError(CallError):
    """The customer has lost a key since the request was authenticated."""

    code = 'SL3033'
