"""Base of all coded errors.

Each package declares its own errors in its ``exceptions`` module; every
subclass is registered by its code so that errors can cross process
boundaries and so that ``docs/ERRORS.md`` can be generated.

Code ranges: SL1xxx voters, SL2xxx controls, SL3xxx call path, SL4xxx
operators, targets and command line, SL5xxx settings, parameters and
documents, SL6xxx rpc, SL7xxx releases, SL8xxx emulator and test helpers,
SL9xxx broken invariants.
"""

from typing import ClassVar

from msgspec import Struct

__all__ = [
    'ErrorInfo',
    'InvalidParameterError',
    'InvariantError',
    'SnipeleadError',
    'error_from_info',
    'list_errors',
]

_REGISTRY: dict[str, type['SnipeleadError']] = {}


class ErrorInfo(Struct, frozen=True, omit_defaults=True):
    """Wire form of an error.

    Parameters
    ----------
    code : str
        Code of the error class, for example ``SL1001``.
    message : str
        Sentence for a person.
    retry_after_ms : int or None
        When to come back, if that makes sense.
    details : dict of str to str
        Named facts, such as the number of the current release.
    """

    code: str
    message: str
    retry_after_ms: int | None = None
    details: dict[str, str] = {}


class SnipeleadError(Exception):
    """Base class of every failure that the system reports.

    Parameters
    ----------
    message : str
        Sentence for a person.
    retry_after_ms : int or None
        When to come back, if that makes sense.
    **details : object
        Named facts, kept as strings.
    """

    code: ClassVar[str] = 'SL0000'

    def __init_subclass__(cls, **kwargs):
        super().__init_subclass__(**kwargs)
        known = _REGISTRY.get(cls.code)
        if known is not None and known.__name__ != cls.__name__:
            raise TypeError(f'error code {cls.code} is used twice')
        _REGISTRY[cls.code] = cls

    def __init__(self, message, retry_after_ms=None, **details):
        super().__init__(message)
        self.message = message
        self.retry_after_ms = retry_after_ms
        self.details = {name: str(value) for name, value in details.items()}

    def __str__(self):
        return f'{self.code}: {self.message}'

    def to_info(self):
        """Return the wire form of this error."""
        return ErrorInfo(
            self.code, self.message, self.retry_after_ms, self.details
        )


class InvalidParameterError(SnipeleadError, ValueError):
    """A parameter or setting has a value that is not allowed."""

    code = 'SL5001'


class InvariantError(SnipeleadError):
    """A rule that must always hold was found broken; the process stops."""

    code = 'SL9001'


def error_from_info(info):
    """Rebuild an error received from another process.

    Parameters
    ----------
    info : ErrorInfo
        Wire form of the error.

    Returns
    -------
    SnipeleadError
        Instance of the class that declares the code, or of the base class
        with that code when no module that was imported declares it.
    """
    error = SnipeleadError.__new__(_REGISTRY.get(info.code, SnipeleadError))
    error.code = info.code
    SnipeleadError.__init__(
        error, info.message, info.retry_after_ms, **info.details
    )
    return error


def list_errors():
    """Return the registered error classes in order of their codes."""
    return [_REGISTRY[code] for code in sorted(_REGISTRY)]
