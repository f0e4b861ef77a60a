"""Retry delays of requests that are refused for want of capacity."""

from snipelead.callers.exceptions import RateLimitedError

__all__ = [
    'choose_prompt_retry_s',
    'choose_spread_retry_s',
    'estimate_backoff_s',
]

# Shortest delay; an earlier retry would find the same targets as full.
MIN_DELAY_S = 0.02
# The same for callers that can only be answered late; others go first.
MIN_LATE_DELAY_S = 0.1
# Share of a prompt retry delay that is random.
JITTER = 0.4
# Callers rarely wait for longer than this share of their remaining time.
MAX_SHARE_OF_TIME_LEFT = 1 / 3
# Longest time for which a refusal keeps a node away from a target. A node that
# stays away for longer does not notice that a rate limit has changed.
MAX_BACKOFF_S = 0.5
_MS_PER_S = 1_000


def choose_spread_retry_s(capacity_in_s, slack_s, time_left_s, random_share):
    """Return the time after which a refused caller should retry, in seconds.

    Retries are spread evenly from the time at which capacity is expected to
    the last one that is of use, so that callers that were refused together do
    not come back together. The delay is never shorter than the time until
    capacity is expected, even if no retry can then succeed.

    Parameters
    ----------
    capacity_in_s : float
        Time until a request may be accepted, in seconds.
    slack_s : float
        Time until the request has to start to be answered within its latency
        objective, in seconds; negative if that time has passed.
    time_left_s : float
        Time until the deadline of the request, in seconds.
    random_share : float
        Random number from 0 to 1.
    """
    earliest_s = max(MIN_DELAY_S, capacity_in_s)
    latest_s = MAX_SHARE_OF_TIME_LEFT * time_left_s
    if slack_s > earliest_s:
        latest_s = min(latest_s, slack_s)
    else:
        earliest_s = max(MIN_LATE_DELAY_S, earliest_s)
    return earliest_s + max(0.0, latest_s - earliest_s) * random_share


def choose_prompt_retry_s(drain_s, slack_s, random_share):
    """Return the retry delay where load is not shed by priority, in seconds.

    The caller retries once the waiting requests have been served, if that is
    early enough. The jitter spreads the retries of callers that were refused
    together.

    Parameters
    ----------
    drain_s : float
        Time until the waiting requests have been served, in seconds.
    slack_s : float
        Time until the latest start time of the request, in seconds; negative
        if it has passed.
    random_share : float
        Random number from 0 to 1.
    """
    if slack_s > MIN_DELAY_S:
        max_delay_s = min(max(drain_s, MIN_DELAY_S), slack_s)
        return max_delay_s * (1.0 - JITTER * random_share)
    return max(drain_s, MIN_LATE_DELAY_S) * (1.0 + JITTER * random_share)


def estimate_backoff_s(error):
    """Return the time until a target that refused may accept, in seconds.

    The retry delay of the refusal is longer, since it is spread over the time
    that the caller has.

    Parameters
    ----------
    error : OverloadedError
        Refusal of the target.
    """
    retry_after_s = (error.retry_after_ms or 0) / _MS_PER_S
    if error.load is None:
        return retry_after_s
    backoff_s = min(retry_after_s, MAX_BACKOFF_S)
    next_slot_s = error.load.next_slot_s()
    if next_slot_s is None or isinstance(error, RateLimitedError):
        return backoff_s
    return min(backoff_s, next_slot_s)
