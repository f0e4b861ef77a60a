"""Log events of the processes."""

from snipelead.logs import Event

__all__ = [
    'DAEMON_STARTED',
    'DAEMON_STOPPED',
    'DAEMON_STOPPING',
    'LINES_DROPPED',
    'SETTINGS_REFUSED',
    'SETTINGS_RELOADED',
]

DAEMON_STARTED = Event(
    5001, 'daemon_started', 'info', 'The process accepts requests.'
)
DAEMON_STOPPING = Event(
    5002,
    'daemon_stopping',
    'info',
    'A signal requested a graceful stop; requests in flight are completed.',
)
DAEMON_STOPPED = Event(
    5003, 'daemon_stopped', 'info', 'The process stopped gracefully.'
)
LINES_DROPPED = Event(
    5006,
    'lines_dropped',
    'warning',
    'Log lines were dropped because the log output was not read fast enough.',
)
SETTINGS_RELOADED = Event(
    5004,
    'settings_reloaded',
    'info',
    'The settings file was reloaded.',
)
SETTINGS_REFUSED = Event(
    5005,
    'settings_refused',
    'warning',
    'The settings file cannot be loaded; the previous settings stay active.',
)
