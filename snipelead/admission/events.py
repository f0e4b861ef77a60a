"""Log events about admission past the capacity of a service."""

from snipelead.logs import Event

__all__ = ['EARLY_REFUSALS_ENDED', 'EARLY_REFUSALS_STARTED']

EARLY_REFUSALS_STARTED = Event(
    3080,
    'early_refusals_started',
    'warning',
    'Targets of the service refuse most requests of the route. The node'
    ' refuses part of them itself, without forwarding them. If this goes on'
    ' beyond a burst, the service needs more targets.',
)
EARLY_REFUSALS_ENDED = Event(
    3081,
    'early_refusals_ended',
    'info',
    'The node forwards all requests of the route again; it refused `refused`'
    ' itself.',
)
