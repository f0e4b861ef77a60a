"""Errors about the rate limits of customers."""

from snipelead.callers.exceptions import CallError

__all__ = ['QuotaExceededError', 'QuotaUnavailableError']


class QuotaExceededError(CallError):
    """The customer has reached its rate limit; the request did not run."""

    code = 'SL3040'
    status = 429


class QuotaUnavailableError(CallError):
    """No control granted a part of the customer's rate limit in time."""

    code = 'SL3041'
