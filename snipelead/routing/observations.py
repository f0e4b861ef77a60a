"""What a node has observed of each target."""

import trio

from snipelead.types import TargetState
from snipelead.utils.recent import RecentDict

__all__ = ['TargetObservation']

# Least weight of the newest latency in the moving average.
SMOOTHING = 0.1
# The same when the target's node has told its own average of all requests.
REPORT_SMOOTHING = 0.5
# What is known of a target's latency and errors loses half its weight after
# this time in seconds, so that a target that was slow is tried again.
OBSERVATION_HALF_LIFE_S = 10.0
# The same for requests that may not be repeated: others try the target first.
ONCE_HALF_LIFE_S = 60.0
# A target that fails all requests costs this many times more.
ERROR_WEIGHT = 30.0
INITIAL_LATENCY_S = 0.005
# Failing fast must not look cheap.
MIN_LATENCY_S = 0.001
# Weight of the newest time in the moving average of the slowness; times of a
# route differ by as much as their mean.
SLOWNESS_SMOOTHING = 0.05
# The same when the target's node has told its mean for the route.
TOLD_SMOOTHING = 0.3
# Routes of which the mean is kept for each target.
MAX_TOLD_ROUTES = 32
# No target is taken to be quicker than this share of the mean.
MIN_SLOWNESS = 0.2
# A target that tells so many times its usual mean is slow now.
STUCK_FACTOR = 2.0
# Weight of the newest mean in what is usual.
USUAL_SMOOTHING = 0.02
# Weight of the newest answer in the share of errors.
ERROR_SMOOTHING = 0.2
# From this share of slots in use on, each further one makes a target so much
# costlier.
QUEUE_FROM = 0.8
QUEUE_WEIGHT = 10.0
# What a reported load differs by from the usual one loses half its weight
# after this time in seconds.
LOAD_HALF_LIFE_S = 0.5
# Weight of the newest load in what is usual.
USUAL_LOAD_SMOOTHING = 0.1
# A new target's share grows to its full size over this time in seconds.
RAMP_S = 5.0
MIN_RAMP = 0.1
FAILURES_TO_EJECT = 3
EJECTION_S = 1.0
MAX_EJECTION_S = 30.0


class TargetObservation:
    """Own observation of one target.

    Attributes
    ----------
    in_flight : int
        Requests of this node that are under way to the target.
    latency_s : float
        Moving average of the time to a good answer without the queue, in
        seconds.
    sampled_at : float or None
        Time of the last good answer, in seconds of trio's clock, as all
        times here.
    errors : float
        Moving average of the share of answers with a server error, by own
        observation or as told by the target's node, whichever is greater.
    failed_at : float
        When ``errors`` was last brought up to date.
    reported_load, reported_at : float
        Slots in use and requests queued, as told by the last answer, and
        when it told so.
    usual_load : float
        Moving average of what answers told.
    slowness, slowness_at : float
        Moving average of the time that the target takes, in proportion to
        the mean of each route over all targets, and when it was updated.
    told_work_s : dict of RouteName to float
        Mean time that the target takes for requests of a route, in seconds,
        as its node told last.
    way_s : float
        Moving average of the time to the target and back, in seconds.
    reported_work_s, usual_work_s : float
        Mean time that the target takes as its node told it last, and what it
        usually tells, in seconds.
    first_seen_at : float
        From then on the share of the target grows to its full size.
    failures : int
        Consecutive failures.
    ejections : int
        Consecutive ejections; each is twice as long as the one before.
    ejected_until : float
        No request is sent before this time, but one probe after it.
    avoided_until : float
        The target refused; others are preferred until then.
    probing : bool
        Whether the one probe after an ejection is under way.
    left_as : tuple of (Incarnation, int) or None
        Incarnation and sequence of the entry that the target refused new
        work under.
    """

    def __init__(self, entry, ramps):
        self.entry = entry
        self.in_flight = 0
        self.latency_s = INITIAL_LATENCY_S
        self.sampled_at = None
        self.errors = 0.0
        self.failed_at = 0.0
        self.reported_load = 0.0
        self.reported_at = 0.0
        self.usual_load = 0.0
        self.slowness = 1.0
        self.slowness_at = 0.0
        self.told_work_s = RecentDict(MAX_TOLD_ROUTES)
        self.way_s = 0.0
        self.reported_work_s = 0.0
        self.usual_work_s = 0.0
        self.first_seen_at = trio.current_time() if ramps else -RAMP_S
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.avoided_until = 0.0
        self.probing = False
        self.left_as = None

    def update(self, entry):
        """Take in a newer entry of the directory."""
        if entry.incarnation != self.entry.incarnation:
            self.failures = 0
            self.ejected_until = 0.0
            self.ejections = 0
            self.probing = False
        self.entry = entry

    def is_usable(self, now):
        """Tell whether a request may be sent to the target."""
        if self.entry.state is not TargetState.SERVING:
            return False
        if self.left_as == (self.entry.incarnation, self.entry.sequence):
            return False
        if self.ejected_until == 0.0:
            return True
        return now >= self.ejected_until and not self.probing

    def load(self, now):
        """Return the estimated load of the target in requests."""
        age = max(0.0, now - self.reported_at)
        excess = self.reported_load - self.usual_load
        others = self.usual_load + excess * 0.5 ** (age / LOAD_HALF_LIFE_S)
        usual_age = age / OBSERVATION_HALF_LIFE_S
        return max(self.in_flight, others * 0.5**usual_age)

    def utilisation(self, now):
        """Return the estimated load for each slot."""
        return self.load(now) / max(1, self.entry.slots)

    def take_work(self, route, load, mean_s, now):
        """Take in what an answer tells of the time that the target takes.

        Parameters
        ----------
        route : RouteName
            Route of the request.
        load : Load
            What the target's node told.
        mean_s : float
            Mean time over all targets for requests of the route, in seconds.
        now : float
            Time in seconds of trio's clock.
        """
        if load.work_us:
            work_s = self.told_work_s[route] = load.work_us / 1e6
            weight = TOLD_SMOOTHING
        else:
            work_s = load.target_us / 1e6
            weight = SLOWNESS_SMOOTHING
        self.slowness += weight * (work_s / mean_s - self.slowness)
        self.slowness_at = now

    def work_s(self, now, demand, half_life_s):
        """Return the time that the target takes for requests of a route.

        A target whose requests have been running for long is slow already
        before they end, which the average told by its node shows.
        """
        route_work_s = demand.work_s
        told_s = self.told_work_s.get(demand.route)
        known = self.slowness if told_s is None else told_s / route_work_s
        age = max(0.0, now - self.slowness_at)
        slowness = 1.0 + (known - 1.0) * 0.5 ** (age / half_life_s)
        told = 0.0
        if self.reported_work_s > STUCK_FACTOR * self.usual_work_s > 0.0:
            told = self.reported_work_s / self.usual_work_s
        return route_work_s * max(MIN_SLOWNESS, slowness, told) + self.way_s

    def expected_s(self, now, demand):
        """Return the expected time to an answer, errors counting heavily.

        Parameters
        ----------
        now : float
            Time in seconds of trio's clock.
        demand : Demand
            What the request asks of a target.
        """
        half_life_s = (
            ONCE_HALF_LIFE_S if demand.once else OBSERVATION_HALF_LIFE_S
        )
        if demand.work_s is not None:
            latency_s = self.work_s(now, demand, half_life_s)
        else:
            age = now - self.sampled_at if self.sampled_at is not None else 0.0
            latency_s = self.latency_s * 0.5 ** (age / half_life_s)
        if not self.errors:
            return latency_s
        errors = self.errors * 0.5 ** ((now - self.failed_at) / half_life_s)
        return max(latency_s, MIN_LATENCY_S) * (1 + ERROR_WEIGHT * errors)

    def cost(self, now, demand):
        """Return the expected cost of one more request; lower is better."""
        ramp = min(1.0, max(MIN_RAMP, (now - self.first_seen_at) / RAMP_S))
        used = (self.load(now) + 1) / max(1, self.entry.slots)
        # With many slots a request hardly waits until most are in use.
        queue = QUEUE_WEIGHT * max(0.0, used - QUEUE_FROM)
        return self.expected_s(now, demand) * (1.0 + used + queue) / ramp

    def describe(self, now):
        """Return what the choice of the target rests on, for the log."""
        return {
            'target': self.entry.target_id,
            'via': self.entry.node_id,
            'zone': self.entry.zone,
            'incarnation': self.entry.incarnation,
            'sequence': self.entry.sequence,
            'load': round(self.load(now), 1),
            'load_age_s': round(now - self.reported_at, 3),
            'slots': self.entry.slots,
            'slowness': round(self.slowness, 2),
            'way_ms': round(self.way_s * 1_000, 1),
            'errors': round(self.errors, 3),
        }

    def begin(self, now):
        """Count a request that is being sent."""
        self.in_flight += 1
        if self.ejected_until and now >= self.ejected_until:
            self.probing = True

    def end(self):
        """Count the end of a request."""
        self.in_flight -= 1

    def answer(self, latency_s, is_error, load, now):
        """Record an answer.

        Parameters
        ----------
        latency_s : float
            Time that it took, in seconds; that of an error says nothing.
        is_error : bool
            Whether it was a server error.
        load : Load or None
            Load of the target that rode on the answer.
        now : float
            Time in seconds of trio's clock.
        """
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.probing = False
        if is_error or self.errors:
            self.errors += ERROR_SMOOTHING * (is_error - self.errors)
            self.failed_at = now
        if not is_error:
            self._take_latency(latency_s, load, now)
        if load is not None:
            self._take_load(load, now)

    def _take_latency(self, latency_s, load, now):
        weight = SMOOTHING
        if load is not None and load.service_us:
            # The target's node averages over the requests of all nodes; what
            # this node adds to that is the way there and back.
            way_us = latency_s * 1e6 - load.target_us - load.queue_us
            way_s = max(0.0, way_us) / 1e6
            self.way_s += SMOOTHING * (way_s - self.way_s)
            self.reported_work_s = load.service_us / 1e6
            self.usual_work_s = self.usual_work_s or self.reported_work_s
            self.usual_work_s += USUAL_SMOOTHING * (
                self.reported_work_s - self.usual_work_s
            )
            latency_s = (load.service_us + max(0.0, way_us)) / 1e6
            weight = REPORT_SMOOTHING
        if self.sampled_at is None:
            weight = 1.0
        else:
            age = now - self.sampled_at
            weight = max(weight, 1.0 - 0.5 ** (age / OBSERVATION_HALF_LIFE_S))
        self.latency_s += weight * (latency_s - self.latency_s)
        self.sampled_at = now

    def _take_load(self, load, now):
        self.reported_load = load.in_flight + load.queued
        self.reported_at = now
        self.usual_load += USUAL_LOAD_SMOOTHING * (
            self.reported_load - self.usual_load
        )
        if load.errors > self.errors:
            self.errors = load.errors
            self.failed_at = now

    def fail(self, now):
        """Record a lost answer or refused connection.

        Requests that were under way when the target was ejected say no more
        than those that led to it.
        """
        if now < self.ejected_until:
            return
        self.failures += 1
        if self.failures >= FAILURES_TO_EJECT or self.probing:
            delay_s = min(MAX_EJECTION_S, EJECTION_S * 2**self.ejections)
            self.ejections += 1
            self.ejected_until = now + delay_s
            self.probing = False

    def shed(self, now):
        """Record that the target itself refused a request as not run."""
        self.errors += ERROR_SMOOTHING * (1.0 - self.errors)
        self.failed_at = now
        self.probing = False

    def readmit(self):
        """Forget the failures, since the target's node is back."""
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.probing = False

    def refuse(self, now, retry_after_s):
        """Record that the target's gate was full."""
        self.avoided_until = now + retry_after_s
        self.probing = False

    def leave(self):
        """Record that the target takes no new work until a newer entry."""
        self.left_as = (self.entry.incarnation, self.entry.sequence)
        self.probing = False
