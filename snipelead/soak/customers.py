"""Customers of a run, their API keys and the guarantees about them."""

from snipelead.emulator.platform_operator import CustomerSpec

__all__ = [
    'BOUNDS',
    'draw_api_key',
    'draw_fields',
    'LIMITED_CUSTOMER',
    'make_customers',
    'max_runs_in_window',
    'QUOTA_WINDOW_S',
    'REVOCATION_S',
    'STEADY_KEY',
]

# Shorter than the longest freezes and partitions of a run, so that some
# outlast the bound.
REVOCATION_S = 3.0
QUOTA_WINDOW_S = 5.0
QUOTA_OVERAGE = 0.1
QUOTA_EXTRA = 20
# Bounds in the settings of all processes.
BOUNDS = {
    'strict_revoke': True,
    'revoke': f'{REVOCATION_S:.0f}s',
    'quota_window': f'{QUOTA_WINDOW_S:.0f}s',
    'quota_overage': QUOTA_OVERAGE,
    'quota_extra': QUOTA_EXTRA,
}
# Keys that no release holds; one is a prefix of a valid key.
UNKNOWN_KEYS = ('unknown-key', 'steady-key-')
STEADY_KEY = 'steady-key-1'
LIMITED_KEY = 'limited-key-1'
# Releases hold one of these keys after the other, each for a period. A key is
# missing for two periods, which is longer than the bound on revocation.
ROTATING_KEYS = ('rotating-key-1', 'rotating-key-2', 'rotating-key-3')
ROTATION_PERIOD_S = 4.0
# The customer keeps this key whenever another one is removed.
KEPT_KEY = 'kept-key-1'
# Clients send several times as many requests of this customer.
LIMITED_CUSTOMER = CustomerSpec('limited', (LIMITED_KEY,), 10.0, 5.0)
# Keys of requests, with weights; None sends no key.
KEY_WEIGHTS = {
    STEADY_KEY: 50,
    LIMITED_KEY: 25,
    KEPT_KEY: 5,
    **dict.fromkeys(ROTATING_KEYS, 6),
    **dict.fromkeys(UNKNOWN_KEYS, 1),
    None: 2,
}
# Probability that a request states a customer by itself.
FALSE_CUSTOMER_PROBABILITY = 0.1


def make_customers(now):
    """Return the customers of a release.

    Parameters
    ----------
    now : float
        Time of the release, in seconds.

    Returns
    -------
    tuple of CustomerSpec
    """
    period = int(now / ROTATION_PERIOD_S)
    rotating_key = ROTATING_KEYS[period % len(ROTATING_KEYS)]
    return (
        CustomerSpec('steady', (STEADY_KEY,)),
        LIMITED_CUSTOMER,
        CustomerSpec('rotating', (rotating_key, KEPT_KEY)),
    )


def draw_api_key(rng):
    """Return the API key of a request, or None."""
    return rng.choices(
        tuple(KEY_WEIGHTS), weights=tuple(KEY_WEIGHTS.values())
    )[0]


def draw_fields(rng, api_key):
    """Return the header fields of a request with an API key.

    Parameters
    ----------
    rng : random.Random
        Decides whether the request states a customer by itself.
    api_key : str or None
        API key.

    Returns
    -------
    tuple of (str, str)
    """
    fields = () if api_key is None else (('Credential', api_key),)
    if rng.random() < FALSE_CUSTOMER_PROBABILITY:
        fields += (('Tenant', 'false-customer'),)
    return fields


def max_runs_in_window():
    """Return how many requests of the limited customer may run in a window."""
    customer = LIMITED_CUSTOMER
    usual = customer.rate_per_s * QUOTA_WINDOW_S + customer.burst
    return int(usual * (1 + QUOTA_OVERAGE) + QUOTA_EXTRA)
