"""Log events of the daemons."""

from snipelead.logs import Event

__all__ = [
    'DAEMON_STARTED',
    'DAEMON_STOPPED',
    'DAEMON_STOPPING',
]

DAEMON_STARTED = Event(5001, 'daemon_started', 'info', 'Ready to serve.')
DAEMON_STOPPING = Event(
    5002,
    'daemon_stopping',
    'info',
    'A signal asked the process to stop; work in flight is finished.',
)
DAEMON_STOPPED = Event(5003, 'daemon_stopped', 'info', 'Stopped cleanly.')
