"""Errors of YAML documents and of the HTTP APIs."""

from snipelead.exceptions import SnipeleadError

__all__ = ['DocumentError', 'HttpRequestError', 'HttpServerError']


class DocumentError(SnipeleadError):
    """A text is not a YAML document that can be read strictly."""

    code = 'SL5005'


class HttpRequestError(SnipeleadError):
    """The path, method or body of an HTTP request is not understood."""

    code = 'SL4006'


class HttpServerError(SnipeleadError):
    """An HTTP request failed in an unforeseen way; its effect is unknown."""

    code = 'SL4007'
