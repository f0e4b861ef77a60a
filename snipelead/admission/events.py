"""Log events about admission past the capacity of a service."""

from snipelead.logs import Event

__all__ = [
    'EARLY_REFUSALS_ENDED',
    'EARLY_REFUSALS_STARTED',
    'TARGET_CAPACITY_LOWERED',
    'TARGET_CAPACITY_RESTORED',
]

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
TARGET_CAPACITY_LOWERED = Event(
    3082,
    'target_capacity_lowered',
    'warning',
    'The local target refused a request or reset its connection although it'
    ' had fewer requests than stated slots; it gets `slots` at a time. Check'
    ' that it states the number of slots that it has.',
)
TARGET_CAPACITY_RESTORED = Event(
    3083,
    'target_capacity_restored',
    'info',
    'The local target gets as many requests at a time as it states slots.',
)
