"""Plan of a rollout: its steps, its exposure and its end."""

from math import ceil
from math import floor
from typing import NamedTuple

from snipelead.messages import RolloutPhase

__all__ = [
    'LOAD_SHARE',
    'Progress',
    'cap_exposure',
    'choose_load_share',
    'choose_phase',
    'choose_share',
    'evidence_s',
    'load_end_ms',
    'promotion_ms',
    'required_responses',
]

# Share of the requests, from a part of the time until promotion on.
STEPS = ((0.0, 0.02), (0.2, 0.05), (0.45, 0.08))
# The last step loads the targets that it uses as much as they are loaded
# after the promotion. It is short, since the exposure over the whole time is
# bounded, and comes after the steps that find obvious faults.
LOAD_SHARE = 0.25
MIN_LOAD_PART = 0.3
# Until the responses to the last requests of the step have been compared.
TIME_FOR_COMPARING_MS = 1_000
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
# Responses after the promotion that completion needs: as many as the previous
# versions gave on the same route within this part of the duration.
EVIDENCE_PART = 0.08
MAX_EVIDENCE_S = 1.0
# By then a version with less traffic than before is judged by the part of its
# requests that got a response.
LAST_PART = 0.9
TIME_AFTER_LAST_MS = 700
MIN_ANSWERED_SHARE = 0.5
# Nodes that do not know of the order yet send without grants, and some
# requests may be counted at nodes but not by targets. This part of the bounds
# is kept for them.
SHARE_MARGIN = 0.9
EXTRA_MARGIN = 0.7
# Responses needed for promotion, or as many as the step under load yields in
# this time.
MIN_RESPONSES = 30
MIN_LOAD_S = 0.5


class Progress(NamedTuple):
    """What is known of a rollout, for the choice of its phase.

    Attributes
    ----------
    fault : str or None
        How the new version is worse; None if no fault is found.
    new_count : int
        Responses of the new version that were compared.
    required_count : int
        Responses of the new version that promotion needs.
    has_moved : bool
        Whether all nodes in touch have moved to the new version.
    is_heard : bool
        Whether any node in touch has told that it moves to the new version.
    promoted : dict of RouteName to tuple of int
        Required responses after the promotion, requests sent since then and
        responses to them, by route.
    """

    fault: str | None
    new_count: int
    required_count: int
    has_moved: bool
    is_heard: bool
    promoted: dict

    def has_evidence(self, is_last):
        """Return whether enough responses came after the promotion.

        Parameters
        ----------
        is_last : bool
            Whether there is no time left to wait for more requests.
        """
        accepts_less = is_last and self.is_heard
        return all(
            answered >= required
            or (accepts_less and answered >= MIN_ANSWERED_SHARE * sent)
            for required, sent, answered in self.promoted.values()
        )


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


def choose_load_share(target_count):
    """Return the share of requests for the step under load.

    Parameters
    ----------
    target_count : int
        Number of targets of the new version.

    Returns
    -------
    float
        At least ``LOAD_SHARE``; the load of whole targets.
    """
    count = max(1, target_count)
    return ceil(LOAD_SHARE * count) / count


def required_responses(target_count, rate):
    """Return how many responses of the new version promotion needs.

    Parameters
    ----------
    target_count : int
        Number of targets of the new version.
    rate : float
        Requests a second to the service.
    """
    load = MIN_LOAD_S * choose_load_share(target_count) * rate
    return min(MIN_RESPONSES, floor(load))


def load_end_ms(duration_ms):
    """Return the time after the order when the step under load ends."""
    return promotion_ms(duration_ms) - min(
        TIME_FOR_COMPARING_MS, (1 - PROMOTION_PART) * duration_ms
    )


def evidence_s(duration_ms):
    """Return the time whose responses completion needs, in seconds."""
    return min(MAX_EVIDENCE_S, EVIDENCE_PART * duration_ms / 1_000)


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


def choose_phase(rollout, elapsed_ms, progress):
    """Decide on the phase of a rollout.

    Parameters
    ----------
    rollout : Rollout
        Committed state.
    elapsed_ms : float
        Time since the order.
    progress : Progress
        Evidence so far.

    Returns
    -------
    RolloutPhase
        The next phase, or the current one.
    str
        Reason of a change.
    """
    if rollout.phase.is_final:
        return rollout.phase, ''
    if progress.fault is not None:
        return RolloutPhase.ROLLED_BACK, progress.fault
    if rollout.phase is RolloutPhase.RUNNING:
        return _choose_promotion(rollout.duration_ms, elapsed_ms, progress)
    return _choose_completion(rollout.duration_ms, elapsed_ms, progress)


def _choose_promotion(duration_ms, elapsed_ms, progress):
    earliest_ms = promotion_ms(duration_ms)
    if elapsed_ms < earliest_ms:
        return RolloutPhase.RUNNING, ''
    if progress.new_count >= progress.required_count:
        return RolloutPhase.PROMOTING, 'no fault found'
    if elapsed_ms < (earliest_ms + duration_ms) / 2:
        return RolloutPhase.RUNNING, ''
    return RolloutPhase.ROLLED_BACK, 'too few responses to compare'


def _choose_completion(duration_ms, elapsed_ms, progress):
    completion_ms = max(
        promotion_ms(duration_ms),
        min(
            COMPLETION_PART * duration_ms,
            duration_ms - TIME_AFTER_COMPLETION_MS,
        ),
    )
    forced_ms = max(
        FORCED_PART * duration_ms, duration_ms - TIME_AFTER_FORCED_MS
    )
    last_ms = max(LAST_PART * duration_ms, duration_ms - TIME_AFTER_LAST_MS)
    is_last = elapsed_ms >= last_ms
    if not progress.has_evidence(is_last):
        if is_last:
            reason = 'too few responses after the promotion'
            return RolloutPhase.ROLLED_BACK, reason
        return RolloutPhase.PROMOTING, ''
    if progress.has_moved and elapsed_ms >= completion_ms:
        return RolloutPhase.COMPLETED, 'all nodes have moved'
    if elapsed_ms >= forced_ms:
        return RolloutPhase.COMPLETED, 'nodes in touch have moved'
    return RolloutPhase.PROMOTING, ''
