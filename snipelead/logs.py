"""Structured logs with numbered events.

Each package declares its events in its ``events`` module. Number ranges:
1xxx voters, 2xxx controls, 3xxx call path, 4xxx HTTP interfaces of operators
and targets, 50xx daemons, 51xx leases of targets, 6xxx rpc, 8xxx emulator.
"""

from enum import Enum
import logging
import sys

from msgspec import Struct
import structlog

__all__ = ['Event', 'LogFormat', 'configure_logs', 'list_events', 'log_event']

_EVENTS: dict[int, 'Event'] = {}
_logger = structlog.get_logger('snipelead')


class LogFormat(Enum):
    """Rendering of log lines."""

    JSON = 'json'
    CONSOLE = 'console'


class Event(Struct, frozen=True):
    """A kind of log line.

    Parameters
    ----------
    number : int
        Unique number; the thousands digit names the package.
    name : str
        Short name in snake case.
    level : str
        One of ``debug``, ``info``, ``warning``, ``error``.
    meaning : str
        What happened and what an operator may do.
    """

    number: int
    name: str
    level: str
    meaning: str

    def __post_init__(self):
        known = _EVENTS.setdefault(self.number, self)
        if known.name != self.name:
            raise TypeError(f'event number {self.number} is used twice')


def log_event(event, **fields):
    """Write one log line.

    Parameters
    ----------
    event : Event
        Declared event.
    **fields : object
        Facts of this occurrence.
    """
    getattr(_logger, event.level)(event.name, number=event.number, **fields)


def list_events():
    """Return the declared events in order of their numbers."""
    return [_EVENTS[number] for number in sorted(_EVENTS)]


def configure_logs(log_format=LogFormat.CONSOLE, level='info', **context):
    """Set up structlog for this process.

    Parameters
    ----------
    log_format : LogFormat
        Rendering of lines.
    level : str
        Least severe level that is written.
    **context : object
        Fields added to each line, such as the process id.
    """
    structlog.contextvars.bind_contextvars(**context)
    renderer = (
        structlog.processors.JSONRenderer()
        if log_format is LogFormat.JSON
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=False,
    )
