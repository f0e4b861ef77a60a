"""Base classes of all errors with a code.

Each package defines its errors in its ``exceptions`` module. Subclasses are
registered by their code, so that a received error can be raised as the same
class and ``docs/ERRORS.md`` can be generated.

Code ranges: SL1xxx voters, SL2xxx controls, SL3xxx call path, SL4xxx
operators, targets and command line, SL5xxx settings, parameters and
documents, SL6xxx rpc, SL7xxx releases, SL8xxx emulator and test helpers,
SL9xxx violated invariants.
"""

from typing import ClassVar

from msgspec import Struct

from snipelead.types import MAX_INTEGER

__all__ = [
    'ErrorInfo',
    'InvalidParameterError',
    'InvariantError',
    'SnipeleadError',
    'error_from_info',
    'list_errors',
    'read_integer_detail',
]

_ERROR_CLASSES: dict[str, type['SnipeleadError']] = {}


class ErrorInfo(Struct, frozen=True, omit_defaults=True):
    """Serializable form of an error.

    Parameters
    ----------
    code : str
        Code of the error class, for example ``SL1001``.
    message : str
        Human-readable message.
    retry_after_ms : int or None
        Delay in milliseconds before a retry, None if a retry is not
        suggested.
    details : dict of str to str
        Machine-readable details by name, such as the number of the current
        release.
    """

    code: str
    message: str
    retry_after_ms: int | None = None
    details: dict[str, str] = {}


class SnipeleadError(Exception):
    """Base class of all errors of the system.

    Parameters
    ----------
    message : str
        Human-readable message.
    retry_after_ms : int or None
        Delay in milliseconds before a retry, None if a retry is not
        suggested.
    **details : object
        Machine-readable details, converted to strings.
    """

    code: ClassVar[str] = 'SL0000'

    def __init_subclass__(cls, **kwargs):
        super().__init_subclass__(**kwargs)
        registered = _ERROR_CLASSES.get(cls.code)
        if registered is not None and registered.__name__ != cls.__name__:
            raise TypeError(f'error code {cls.code} is already registered')
        _ERROR_CLASSES[cls.code] = cls

    def __init__(self, message, retry_after_ms=None, **details):
        super().__init__(message)
        self.message = message
        self.retry_after_ms = retry_after_ms
        self.details = {name: str(value) for name, value in details.items()}

    def __str__(self):
        return f'{self.code}: {self.message}'

    def to_info(self):
        """Return the serializable form of this error."""
        return ErrorInfo(
            self.code, self.message, self.retry_after_ms, self.details
        )


class InvalidParameterError(SnipeleadError, ValueError):
    """A parameter or setting has a value that is not allowed."""

    code = 'SL5001'


class InvariantError(SnipeleadError):
    """An internal invariant was violated; the process stops."""

    code = 'SL9001'


def error_from_info(info):
    """Recreate an error received from another process.

    Parameters
    ----------
    info : ErrorInfo
        Serializable form of the error.

    Returns
    -------
    SnipeleadError
        Instance of the class registered for the code. If none is
        registered, an instance of the base class with that code; also for
        InvariantError, since no invariant of this process is violated.
    """
    error_class = _ERROR_CLASSES.get(info.code, SnipeleadError)
    if issubclass(error_class, InvariantError):
        error_class = SnipeleadError
    error = SnipeleadError.__new__(error_class)
    error.code = info.code
    SnipeleadError.__init__(error, info.message, info.retry_after_ms)
    error.details = dict(info.details)
    return error


def read_integer_detail(error, name):
    """Return a detail of a received error as an integer.

    Parameters
    ----------
    error : SnipeleadError
        Error that another process has sent.
    name : str
        Name of the detail.

    Returns
    -------
    int or None
        None if the detail is missing, is not a number or is out of range.
    """
    try:
        value = int(error.details[name])
    except (KeyError, ValueError):
        return None
    return value if 0 <= value <= MAX_INTEGER else None


def list_errors():
    """Return the registered error classes, sorted by code."""
    return [_ERROR_CLASSES[code] for code in sorted(_ERROR_CLASSES)]
