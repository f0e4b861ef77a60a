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
TOLD_AFTER_S = 0.5
DRAIN_S = 2.0


class _Told(Struct, frozen=True):
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
    told_limit, told_leaving : dict of tuple of (str, str) to _Told
        Statements that each node has forwarded, by node and target.
    counted_arrivals : dict of str to deque of float
        Times of the requests in the current window that count against the
        limit of each target.
    """

    def __init__(self, checker, get_epoch):
        self.checker = checker
        self.get_epoch = get_epoch
        self.limits = defaultdict(list)
        self.told_limit = {}
        self.told_leaving = {}
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
            self._record_told(self.told_leaving, key)
        if response.states_limit:
            self._record_told(self.told_limit, key)

    def _record_told(self, told_by_key, key):
        node, _ = key
        told = told_by_key.get(key)
        now, epoch = self.checker.clock(), self.get_epoch(node)
        if told is None or not self._still_counts(node, told, now):
            told_by_key[key] = _Told(now, epoch)

    def _still_counts(self, node, told, now):
        return told.epoch == self.get_epoch(
            node
        ) and self.checker.disturbances.is_undisturbed((node,), told.at, now)

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
        told = self.told_limit.get((record.node, target))
        now = self.checker.clock()
        if (
            told is not None
            and now >= told.at + TOLD_AFTER_S
            and self._still_counts(record.node, told, now)
        ):
            self._check_limit(target, now)

    def _check_leaving(self, target, record):
        told = self.told_leaving.get((record.node, target))
        if (
            told is not None
            and record.sent_at > told.at + DRAIN_S
            and told.epoch == self.get_epoch(record.node)
        ):
            self.checker.fail(
                'DRAIN',
                f'{record.attempt_id} reaches {target} from {record.node},'
                f' which forwarded at {told.at:.2f} s that it leaves',
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
