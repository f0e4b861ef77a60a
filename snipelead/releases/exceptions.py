"""Errors raised for releases and release notes."""

from snipelead.exceptions import SnipeleadError

__all__ = [
    'BaseNotCurrentError',
    'DanglingReferenceError',
    'DigestMismatchError',
    'InvalidNoteError',
    'ReleaseNumberInUseError',
    'ReleaseNumberTooLowError',
]


class InvalidNoteError(SnipeleadError):
    """The release note is invalid or conflicts with the current release."""

    code = 'SL7001'


class DanglingReferenceError(SnipeleadError):
    """A route refers to a service or setting that the release lacks."""

    code = 'SL7002'


class ReleaseNumberInUseError(SnipeleadError):
    """The release number is already used by another release note."""

    code = 'SL7003'


class ReleaseNumberTooLowError(SnipeleadError):
    """The release number is not greater than that of the current release."""

    code = 'SL7004'


class BaseNotCurrentError(SnipeleadError):
    """The base release of a replacement is not the current release."""

    code = 'SL7006'


class DigestMismatchError(SnipeleadError):
    """A received release or delta does not match the announced digest."""

    code = 'SL7005'
