"""Choice of the target version of each request at a node."""

from math import ceil
from math import inf

import xxhash

from snipelead.logs import log_event
from snipelead.messages import RolloutPhase
from snipelead.messages import RouteCounts
from snipelead.messages import RouteProgress
from snipelead.messages import ServiceReport
from snipelead.rollouts.events import ROLLOUT_LEARNED
from snipelead.rollouts.evidence import TIME_BOUNDS_S
from snipelead.rollouts.evidence import time_index
from snipelead.rollouts.plan import LOAD_SHARE
from snipelead.types import TargetState

__all__ = ['VersionAttempt', 'VersionSelector']

# Targets of the new version that get the first requests. With fewer, their
# speeds would not be those of the service.
MIN_CANARY_TARGETS = 6
# Granted requests are sent at this multiple of the share, so that they are
# spread over the time until the next grant and still used up.
SENDING_PACE = 2.0
# At the load of the promoted version, a faster pace would overload targets.
SENDING_PACE_UNDER_LOAD = 1.25


class _ServiceState:
    """What a node knows of, and has sent under, one rollout."""

    def __init__(self, rollout):
        self.rollout = rollout
        self.total = 0
        self.sent = 0
        self.limit = 0
        self.asked_at = -inf
        self.lease_end = -inf
        self.share = 0.0
        self.round = 0
        self.old_in_flight = 0
        self.counts = {}
        # Requests after the promotion by route: sent, answered.
        self.promoted = {}
        self.canary_key = None
        self.canary_ids = frozenset()

    def is_old(self, version):
        """Return whether a version was in service before the order."""
        rollout = self.rollout
        if version == rollout.version:
            return False
        if rollout.approved:
            return version in rollout.approved
        return version not in rollout.rejected

    def may_send(self, now):
        """Return whether the node may send a request to the new version."""
        return self.sent < self.limit and now < self.lease_end

    @property
    def sending_pace(self):
        """Share of the requests to send to the new version."""
        pace = SENDING_PACE
        if self.share >= LOAD_SHARE:
            pace = SENDING_PACE_UNDER_LOAD
        return min(1.0, pace * self.share)

    def choose_canaries(self, listed):
        """Return the ids of targets of the new version to use.

        All nodes choose the same ones, so that a small share of the requests
        loads a few targets as much as others are loaded. From
        ``LOAD_SHARE`` on, each is loaded as after the promotion.
        """
        key = (listed, self.share, self.round)
        if self.canary_key != key:
            ids = [
                entry.target_id
                for entry in listed
                if entry.version == self.rollout.version
                and entry.state is TargetState.SERVING
            ]
            if self.share >= LOAD_SHARE:
                count = max(1, round(self.share * len(ids)))
            else:
                count = max(MIN_CANARY_TARGETS, ceil(self.share * len(ids)))
            ids.sort(key=lambda i: xxhash.xxh3_64_intdigest(i.encode()))
            start = self.round * count % max(1, len(ids))
            self.canary_ids = frozenset((ids + ids)[start : start + count])
            self.canary_key = key
        return self.canary_ids


class VersionAttempt:
    """Request that was sent to a service with a rollout.

    A context manager that records its end.

    Parameters
    ----------
    state : _ServiceState
        Counters of the rollout.
    entry : TargetEntry
        Target of the request.
    route : RouteName
        Route of the request.
    """

    __slots__ = (
        'has_response',
        'is_new',
        'is_old',
        'progress',
        'route',
        'state',
    )

    def __init__(self, state, entry, route):
        self.state = state
        self.route = route
        self.has_response = False
        self.is_new = entry.version == state.rollout.version
        self.is_old = state.is_old(entry.version)
        state.old_in_flight += self.is_old
        state.sent += self.is_new
        self.progress = None
        if self.is_new and state.rollout.phase is RolloutPhase.PROMOTING:
            self.progress = state.promoted.setdefault(route, [0, 0])
            self.progress[0] += 1

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.end()

    def record_response(self, elapsed_s, is_failure):
        """Record the response to the request.

        Parameters
        ----------
        elapsed_s : float
            Time since the request was sent, in seconds.
        is_failure : bool
            Whether the response is a server error.
        """
        self.has_response = True
        self.state.total += 1
        if self.progress is not None:
            self.progress[1] += 1
        if not (self.is_new or self.is_old):
            return
        key = (self.route, self.is_new)
        counts = self.state.counts.get(key)
        if counts is None:
            counts = [0] * (len(TIME_BOUNDS_S) + 2)
            self.state.counts[key] = counts
        counts[0] += is_failure
        counts[1 + time_index(elapsed_s)] += 1

    def record_timeout(self, elapsed_s):
        """Record that no response came in time, unless one has begun."""
        if not self.has_response:
            self.record_response(elapsed_s, False)

    def end(self):
        """Record that the request is no longer in flight."""
        self.state.old_in_flight -= self.is_old


class VersionSelector:
    """Tells which targets of a service a node may use.

    Services without a rollout are not affected.

    Attributes
    ----------
    version : LogIndex
        Version of the rollouts that the node knows.
    on_change : callable or None
        Called after a rollout has begun or changed its phase.
    """

    def __init__(self):
        self.version = 0
        self.on_change = None
        self._states = {}

    def apply(self, update):
        """Apply what a control told; never goes back to an earlier phase.

        Parameters
        ----------
        update : RolloutUpdate
            Rollouts that the control knows.
        """
        changed = False
        for rollout in update.rollouts:
            known = self._states.get(rollout.service)
            if known and known.rollout.precedence >= rollout.precedence:
                continue
            if known and known.rollout.order == rollout.order:
                known.rollout = rollout
            else:
                self._states[rollout.service] = _ServiceState(rollout)
            changed = True
            log_event(
                ROLLOUT_LEARNED,
                service=rollout.service,
                version=rollout.version,
                phase=rollout.phase.name.lower(),
            )
        self.version = max(self.version, update.version)
        if changed and self.on_change is not None:
            self.on_change()

    def apply_grants(self, grants, asked_at):
        """Apply the grants of a leader.

        Parameters
        ----------
        grants : tuple of Grant
            Reply to a report.
        asked_at : float
            When the report was sent, in seconds; leases count from there.
        """
        for grant in grants:
            state = self._states.get(grant.service)
            if state is None or state.rollout.order != grant.order:
                continue
            if asked_at < state.asked_at:
                continue
            state.asked_at = asked_at
            state.limit = grant.limit
            state.lease_end = asked_at + grant.lease_ms / 1_000
            state.share = grant.share
            state.round = grant.round

    @property
    def has_active_rollout(self):
        """Whether a rollout is in progress."""
        return any(
            not state.rollout.phase.is_final for state in self._states.values()
        )

    def make_reports(self):
        """Return the reports on all rollouts in progress."""
        return tuple(
            ServiceReport(
                state.rollout.order,
                service,
                state.total,
                state.sent,
                state.rollout.phase is RolloutPhase.PROMOTING
                and not state.old_in_flight,
                tuple(
                    RouteCounts(route, is_new, counts[0], tuple(counts[1:]))
                    for (route, is_new), counts in state.counts.items()
                ),
                tuple(
                    RouteProgress(route, sent, answered)
                    for route, (sent, answered) in state.promoted.items()
                ),
            )
            for service, state in self._states.items()
            if not state.rollout.phase.is_final
        )

    def count_sent(self):
        """Return the requests sent to new versions by service."""
        return {service: state.sent for service, state in self._states.items()}

    def list_permitted(self, service, usable, listed, now):
        """Return the targets that a request may be sent to.

        Parameters
        ----------
        service : ServiceName
            Service of the request.
        usable : list of TargetObservation
            Targets that are usable otherwise.
        listed : tuple of TargetEntry
            All targets of the service.
        now : float
            Current time in seconds.

        Returns
        -------
        list of TargetObservation
        """
        state = self._states.get(service)
        if state is None:
            return usable
        previous, new = self._split(state, usable, listed, now)
        return previous + new

    def select(self, service, usable, listed, now, random):
        """Return the targets to choose from for one request.

        As :meth:`list_permitted`, but decides by ``random`` whether the
        request goes to the new version.
        """
        state = self._states.get(service)
        if state is None:
            return usable
        previous, new = self._split(state, usable, listed, now)
        if not new or not previous:
            return previous or new
        return new if random.random() < state.sending_pace else previous

    def _split(self, state, usable, listed, now):
        """Return the usable targets of previous versions and of the new one.

        What versions are in service depends on the listed targets, not on
        the usable ones: a version does not get the requests of another one
        just because all targets of that one are busy or ejected.
        """
        rollout = state.rollout
        versions = {entry.version for entry in listed}
        has_old = any(map(state.is_old, versions))
        if rollout.phase is RolloutPhase.RUNNING:
            canary_ids = ()
            if not has_old and not rollout.approved:
                # No other version was in service at the time of the order.
                canary_ids = {entry.target_id for entry in listed}
            elif state.may_send(now):
                canary_ids = state.choose_canaries(listed)
            new = [
                o
                for o in usable
                if o.entry.version == rollout.version
                and o.entry.target_id in canary_ids
            ]
            wanted = state.is_old if has_old else _other_than(rollout)
            return [o for o in usable if wanted(o.entry.version)], new
        if rollout.phase is RolloutPhase.ROLLED_BACK:
            wanted = state.is_old if has_old else _other_than(rollout)
        elif rollout.version in versions:
            wanted = rollout.version.__eq__
        else:
            wanted = _other_than(rollout)
        return [o for o in usable if wanted(o.entry.version)], []

    def begin(self, entry, route):
        """Count a request that is sent now.

        Parameters
        ----------
        entry : TargetEntry
            Target of the request.
        route : RouteName
            Route of the request.

        Returns
        -------
        VersionAttempt or None
            None if the service has no rollout in progress.
        """
        state = self._states.get(entry.service)
        if state is None or state.rollout.phase.is_final:
            return None
        return VersionAttempt(state, entry, route)


def _other_than(rollout):
    """Return a predicate for versions that were not refused.

    It applies if no approved version is in service. The version of a rollout
    that is running or was rolled back gets nothing either.
    """
    refused = set(rollout.rejected)
    if rollout.phase is not RolloutPhase.COMPLETED:
        refused.add(rollout.version)
    return lambda version: version not in refused
