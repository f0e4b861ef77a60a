"""Log events about the rate limits of customers."""

from snipelead.logs import Event

__all__ = [
    'QUOTA_GRANTED_AGAIN',
    'QUOTA_LIMIT_REACHED',
    'QUOTA_RESERVE_USED',
    'QUOTA_TERM_STARTED',
    'QUOTA_UNAVAILABLE',
]

QUOTA_TERM_STARTED = Event(
    2050,
    'quota_term_started',
    'info',
    'This control grants the rate limits of customers from now on. Until'
    ' `takeover_s` have passed it grants less, since tokens of the control'
    ' before it may still be used.',
)
QUOTA_RESERVE_USED = Event(
    2051,
    'quota_reserve_used',
    'warning',
    'This control does not reach a leader and grants from its own reserve, a'
    ' small part of the rate limits. Customers are refused more often until'
    ' the controls are connected again.',
)
QUOTA_UNAVAILABLE = Event(
    3060,
    'quota_unavailable',
    'warning',
    'No control answers requests for parts of the rate limits. Requests of'
    ' customers with a limit are refused with 503.',
)
QUOTA_GRANTED_AGAIN = Event(
    3061,
    'quota_granted_again',
    'info',
    'A control grants parts of the rate limits again.',
)
QUOTA_LIMIT_REACHED = Event(
    3062,
    'quota_limit_reached',
    'info',
    'Requests of a customer beyond its rate limit are refused with 429 at this'
    ' node. Logged once until the customer was below its limit for 10 s.',
)
