"""Plan of a rollout: its steps, its exposure and its end."""

from math import floor

from snipelead.messages import RolloutPhase

__all__ = ['choose_phase', 'cap_exposure', 'choose_share', 'promotion_ms']

# Share of the requests, from a part of the time until promotion on. The last
# step loads the targets that it uses as much as those of the old version. It
# is short, since the exposure over the whole time is bounded.
STEPS = ((0.0, 0.02), (0.2, 0.05), (0.45, 0.08), (0.75, 0.25))
# A version may turn bad late, so promotion is late; nodes need some seconds
# for moving, and a change of leader takes one.
PROMOTION_PART = 0.8
MIN_PROMOTION_PART = 0.5
TIME_FOR_MOVING_MS = 3_500
COMPLETION_PART = 0.8
TIME_AFTER_COMPLETION_MS = 2_500
# Nodes that have not confirmed by then are out of touch or wait for a few
# slow responses. The rest of the time is for a change of leader, during which
# log time stands still for about a second.
FORCED_PART = 0.85
TIME_AFTER_FORCED_MS = 1_800
# Nodes that do not know of the order yet send without grants, and some
# requests may be counted at nodes but not by targets. This part of the bounds
# is kept for them.
SHARE_MARGIN = 0.9
EXTRA_MARGIN = 0.5
# Responses needed for promotion, unless the service has less traffic.
MIN_RESPONSES = 30
MIN_TOTAL = 600


def promotion_ms(duration_ms):
    """Return the time after the order when a version may be promoted."""
    return max(
        MIN_PROMOTION_PART * duration_ms,
        min(PROMOTION_PART * duration_ms, duration_ms - TIME_FOR_MOVING_MS),
    )


def choose_share(duration_ms, elapsed_ms):
    """Return the share of requests for the new version before promotion."""
    part = elapsed_ms / promotion_ms(duration_ms)
    return max(share for start, share in STEPS if part >= start)


def cap_exposure(guarantees, total):
    """Return how many requests the new version may get.

    Parameters
    ----------
    guarantees : Guarantees
        Bounds of the deployment.
    total : int
        Requests to the service since the order that are known so far.

    Returns
    -------
    int
    """
    return floor(
        SHARE_MARGIN * guarantees.exposure_share * total
        + EXTRA_MARGIN * guarantees.exposure_extra
    )


def choose_phase(rollout, elapsed_ms, comparison, all_moved):
    """Decide on the phase of a rollout.

    Parameters
    ----------
    rollout : Rollout
        Committed state with the newest number of requests.
    elapsed_ms : float
        Time since the order.
    comparison : Comparison
        Evidence so far.
    all_moved : bool
        Whether all nodes in touch have moved to the new version.

    Returns
    -------
    RolloutPhase
        The next phase, or the current one.
    str
        Reason of a change.
    """
    phase, duration_ms = rollout.phase, rollout.duration_ms
    if phase.is_final:
        return phase, ''
    fault = comparison.find_fault()
    if fault is not None:
        return RolloutPhase.ROLLED_BACK, fault
    if phase is RolloutPhase.RUNNING:
        earliest_ms = promotion_ms(duration_ms)
        if elapsed_ms < earliest_ms:
            return phase, ''
        if comparison.new_count >= MIN_RESPONSES or rollout.total < MIN_TOTAL:
            return RolloutPhase.PROMOTING, 'no fault found'
        if elapsed_ms < (earliest_ms + duration_ms) / 2:
            return phase, ''
        return RolloutPhase.ROLLED_BACK, 'too few responses to compare'
    completion_ms = max(
        promotion_ms(duration_ms),
        min(
            COMPLETION_PART * duration_ms,
            duration_ms - TIME_AFTER_COMPLETION_MS,
        ),
    )
    if all_moved and elapsed_ms >= completion_ms:
        return RolloutPhase.COMPLETED, 'all nodes have moved'
    forced_ms = max(
        FORCED_PART * duration_ms, duration_ms - TIME_AFTER_FORCED_MS
    )
    if elapsed_ms >= forced_ms:
        return RolloutPhase.COMPLETED, 'nodes in touch have moved'
    return phase, ''
