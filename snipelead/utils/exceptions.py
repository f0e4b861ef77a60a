"""Errors of the HTTP interfaces for operators and targets."""

from snipelead.exceptions import SnipeleadError

__all__ = ['HttpRequestError', 'HttpServerError']


class HttpRequestError(SnipeleadError):
    """The path, method or body of an HTTP request is not understood."""

    code = 'SL4006'


class HttpServerError(SnipeleadError):
    """An HTTP request failed in an unforeseen way; its effect is unknown."""

    code = 'SL4007'
