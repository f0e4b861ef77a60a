"""Log events of the authentication of callers."""

from snipelead.logs import Event

__all__ = ['LEASE_LOST', 'LEASE_OBTAINED']

LEASE_OBTAINED = Event(
    3050,
    'lease_obtained',
    'info',
    'The node has a lease and accepts API keys; `release` is the newest'
    ' release that a majority has certified.',
)
LEASE_LOST = Event(
    3051,
    'lease_lost',
    'warning',
    'No control has certified its release in time, so the node refuses'
    ' requests with API keys (503 SL3032) until one does. Check that a'
    ' majority of the controls is up and that the node reaches one of them.',
)
