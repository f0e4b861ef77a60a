"""Retry delays of requests that are refused for want of capacity."""

__all__ = ['choose_spread_retry_s']

# Shortest delay; an earlier retry would find the same targets as full.
MIN_DELAY_S = 0.02
# Callers rarely wait for longer than this share of their remaining time.
MAX_SHARE_OF_TIME_LEFT = 1 / 3


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
    return earliest_s + max(0.0, latest_s - earliest_s) * random_share
