"""Structured logging of numbered events.

Each package defines its events in its ``events`` module. Number ranges:
1xxx voters, 2xxx controls, 3xxx call path, 4xxx HTTP interfaces for operators
and targets, 50xx daemons, 51xx target leases, 6xxx rpc, 8xxx emulator.
"""

from enum import Enum
import logging
import sys

import msgspec
from msgspec import Struct
import structlog

from snipelead.utils.line_writer import NonBlockingLineWriter

__all__ = [
    'Event',
    'LogFormat',
    'configure_logs',
    'count_suppressed_line',
    'flush_logs',
    'list_events',
    'log_event',
]

_EVENTS_BY_NUMBER: dict[int, 'Event'] = {}
_logger = structlog.get_logger('snipelead')
_line_writer: NonBlockingLineWriter | None = None


class LogFormat(Enum):
    """Output format of log lines."""

    JSON = 'json'
    CONSOLE = 'console'


class Event(Struct, frozen=True):
    """Type of log event.

    Parameters
    ----------
    number : int
        Unique number; the thousands digit identifies the package.
    name : str
        Short name in snake case.
    level : str
        One of ``debug``, ``info``, ``warning``, ``error``.
    description : str
        What happened and what an operator may do about it.
    is_request_event : bool
        Whether the event concerns a single request. Lines of such events
        are dropped first when the output is not read fast enough.
    """

    number: int
    name: str
    level: str
    description: str
    is_request_event: bool = False

    def __post_init__(self):
        registered = _EVENTS_BY_NUMBER.setdefault(self.number, self)
        if registered.name != self.name:
            raise TypeError(
                f'event number {self.number} is already registered'
            )


def log_event(event, **fields):
    """Write a log line.

    Parameters
    ----------
    event : Event
        Event to log.
    **fields : object
        Fields of the log line.
    """
    if event.is_request_event:
        fields['is_request_event'] = True
    getattr(_logger, event.level)(event.name, number=event.number, **fields)


def count_suppressed_line():
    """Count a line that was suppressed to limit the log volume."""
    if _line_writer is not None:
        _line_writer.dropped_count += 1


def flush_logs():
    """Write buffered lines as far as the output accepts them.

    Returns
    -------
    int
        Number of lines dropped since the last call.
    """
    if _line_writer is None:
        return 0
    _line_writer.flush()
    return _line_writer.reset_dropped_count()


class _LineLogger:
    """Logger for structlog that passes rendered lines to a line writer."""

    def __init__(self, writer):
        self.writer = writer

    def msg(self, line):
        """Write a rendered line."""
        text, is_request_event = line
        self.writer.write(text, is_request_event)

    debug = info = warning = error = critical = msg


def _render_json(logger, name, fields):
    """Return the line as JSON and whether it concerns a single request."""
    is_request_event = fields.pop('is_request_event', False)
    return ((msgspec.json.encode(fields, enc_hook=str), is_request_event),), {}


def _remove_request_flag(logger, name, fields):
    """Remove the field that only the line writer uses."""
    fields.pop('is_request_event', None)
    return fields


def list_events():
    """Return the registered events, sorted by number."""
    return [_EVENTS_BY_NUMBER[number] for number in sorted(_EVENTS_BY_NUMBER)]


def configure_logs(log_format=LogFormat.CONSOLE, level='info', **context):
    """Configure structlog for this process.

    Parameters
    ----------
    log_format : LogFormat
        JSON lines on standard output, or text on standard error.
    level : str
        Minimum level of the lines that are written.
    **context : object
        Fields added to each line, such as the process id.
    """
    structlog.contextvars.bind_contextvars(**context)
    if log_format is LogFormat.JSON:
        global _line_writer
        _line_writer = NonBlockingLineWriter(sys.stdout.fileno())
        renderers = (_render_json,)
        logger_factory = _make_line_logger
    else:
        renderers = (
            _remove_request_flag,
            structlog.dev.ConsoleRenderer(colors=False),
        )
        logger_factory = structlog.PrintLoggerFactory(sys.stderr)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            *renderers,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=logger_factory,
        cache_logger_on_first_use=False,
    )


def _make_line_logger(*args):
    return _LineLogger(_line_writer)
