"""Checks that nodes act on what targets state in their responses."""

from collections import defaultdict
from collections import deque
from math import inf

from msgspec import Struct

__all__ = ['TargetStatusChecker']

# Bounds that the platform states.
WINDOW_S = 4.0
ALLOWED_RATIO = 1.5
ALLOWED_EXTRA = 5
STABLE_WINDOW_S = 3.0
COUNTED_AFTER_S = 0.5
DRAIN_S = 2.0


class _Forwarding(Struct, frozen=True):
    """When a process of a node first forwarded a statement of a target.

    Parameters
    ----------
    at : float
        Time in seconds.
    epoch : tuple of int
        Starts and freezes of the process up to then.
    """

    at: float
    epoch: tuple


class TargetStatusChecker:
    """Checks the rules LIMIT and DRAIN for what targets state.

    A request counts for the node where it began.

    Parameters
    ----------
    checker : HistoryChecker
        Reports violations; gives the time and the disturbances.
    get_epoch : callable
        Returns the number of starts and of freezes of a node's process, given
        the name of the node.

    Attributes
    ----------
    limits : dict of str to list of tuple of (float, float or None)
        Limits that each target has stated, and since when.
    forwarded_limit, forwarded_leaving : dict of tuple to _Forwarding
        Statements that each node has forwarded, by names of node and target.
    counted_arrivals : dict of str to deque of float
        Times of the requests in the current window that count against the
        limit of each target.
    """

    def __init__(self, checker, get_epoch):
        self.checker = checker
        self.get_epoch = get_epoch
        self.limits = defaultdict(list)
        self.forwarded_limit = {}
        self.forwarded_leaving = {}
        self.counted_arrivals = defaultdict(deque)

    def record_limit(self, target, limit):
        """Record that a target begins to state a limit; None ends it."""
        self.limits[target].append((self.checker.clock(), limit))

    def record_response(self, record, response):
        """Record what the response that a node has forwarded states."""
        if not record.executions:
            return
        key = (record.node, record.executions[-1].target)
        if response.states_leaving:
            self._record_forwarding(self.forwarded_leaving, key)
        if response.states_limit:
            self._record_forwarding(self.forwarded_limit, key)

    def _record_forwarding(self, forwardings, key):
        node, _ = key
        forwarding = forwardings.get(key)
        now, epoch = self.checker.clock(), self.get_epoch(node)
        if forwarding is None or not self._still_counts(node, forwarding, now):
            forwardings[key] = _Forwarding(now, epoch)

    def _still_counts(self, node, forwarding, now):
        return forwarding.epoch == self.get_epoch(
            node
        ) and self.checker.disturbances.is_undisturbed(
            (node,), forwarding.at, now
        )

    def record_arrival(self, target, record):
        """Record that a request reaches a target, and check both rules.

        Parameters
        ----------
        target : str
            Id of the target.
        record : RequestRecord
            The request.
        """
        self._check_leaving(target, record)
        forwarding = self.forwarded_limit.get((record.node, target))
        now = self.checker.clock()
        if (
            forwarding is not None
            and now >= forwarding.at + COUNTED_AFTER_S
            and self._still_counts(record.node, forwarding, now)
        ):
            self._check_limit(target, now)

    def _check_leaving(self, target, record):
        forwarding = self.forwarded_leaving.get((record.node, target))
        if (
            forwarding is not None
            and record.sent_at > forwarding.at + DRAIN_S
            and forwarding.epoch == self.get_epoch(record.node)
        ):
            self.checker.fail(
                'DRAIN',
                f'{record.attempt_id} reaches {target} from {record.node},'
                f' which forwarded at {forwarding.at:.2f} s that it leaves',
            )

    def _check_limit(self, target, now):
        allowed = self._allowed_requests(target, now)
        arrivals = self.counted_arrivals[target]
        if allowed is None:
            arrivals.clear()
            return
        self.checker.counts['limited arrivals'] += 1
        arrivals.append(now)
        while arrivals[0] <= now - WINDOW_S:
            arrivals.popleft()
        if len(arrivals) > allowed:
            self.checker.fail(
                'LIMIT',
                f'{target} got {len(arrivals)} requests in {WINDOW_S} s,'
                f' allowed {allowed:.1f}',
            )

    def _allowed_requests(self, target, now):
        """Return the requests allowed in the window up to now, or None.

        None means that the target states no limit, or not for long enough.
        """
        history = self.limits[target]
        if not history or history[-1][1] is None:
            return None
        limited_since = inf
        highest, until = 0.0, inf
        for since, limit in reversed(history):
            if limit is None:
                break
            limited_since = since
            if until > now - WINDOW_S:
                highest = max(highest, limit)
            until = since
        if now < limited_since + STABLE_WINDOW_S:
            return None
        return ALLOWED_RATIO * highest * WINDOW_S + ALLOWED_EXTRA
