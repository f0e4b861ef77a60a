"""Parsing of log files."""

from datetime import datetime

import msgspec
from msgspec import Struct

from snipelead.logs import list_events

__all__ = ['LogLine', 'explain_request', 'parse_log_lines']

_COMMON_KEYS = frozenset(
    ('number', 'event', 'level', 'timestamp', 'request', 'node', 'control')
)


class LogLine(Struct, frozen=True):
    """Line of a log file.

    Parameters
    ----------
    time : str
        Time at which it was written, in UTC, in ISO 8601 format.
    process : str
        Id of the node or control that wrote it.
    number : int
        Number of the event.
    event : str
        Name of the event.
    fields : dict of str to object
        Fields specific to the event, and ``request``.
    """

    time: str
    process: str
    number: int
    event: str
    fields: dict

    @property
    def request(self):
        """Id of the request that the line is about; empty if there is none."""
        return self.fields.get('request', '')


def parse_log_lines(text):
    """Parse the content of a log file; other lines are skipped.

    Text before the JSON object of a line is ignored, such as the name of the
    process that a log collector adds.

    Parameters
    ----------
    text : str
        Content of the log file.

    Returns
    -------
    list of LogLine
    """
    lines = []
    for raw_line in text.splitlines():
        json_start = raw_line.find('{')
        if json_start < 0:
            continue
        try:
            fields = msgspec.json.decode(raw_line[json_start:])
        except msgspec.DecodeError:
            # Truncated at the end of the file, or written by another program.
            continue
        if isinstance(fields, dict) and 'number' in fields:
            lines.append(_parse_fields(fields))
    return lines


def _parse_fields(fields):
    return LogLine(
        fields.get('timestamp', ''),
        fields.get('node') or fields.get('control') or '',
        fields['number'],
        fields.get('event', ''),
        {
            k: v
            for k, v in fields.items()
            if k not in _COMMON_KEYS - {'request'}
        },
    )


def _get_timestamp(line):
    try:
        return datetime.fromisoformat(line.time).timestamp()
    except ValueError:
        return 0.0


def explain_request(lines, request_id):
    """Describe the log lines about one request, in order of time.

    Lines of different processes may be out of order by the difference between
    the clocks of their machines.

    Parameters
    ----------
    lines : iterable of LogLine
        Lines of all processes.
    request_id : str
        Attempt id that the caller sent.

    Returns
    -------
    list of str
        One description for each line, which ends with the description of the
        event.
    """
    descriptions = {event.number: event.description for event in list_events()}
    matching_lines = [line for line in lines if line.request == request_id]
    return [
        _describe_line(line, descriptions.get(line.number, ''))
        for line in sorted(matching_lines, key=_get_timestamp)
    ]


def _describe_line(line, description):
    details = ' '.join(
        f'{name}={value}'
        for name, value in line.fields.items()
        if name not in _COMMON_KEYS
    )
    time_of_day = line.time.partition('T')[2].removesuffix('Z')
    return (
        f'{time_of_day} {line.process} {line.event}: {details} ({description})'
    )
