"""Latency, load and failures of each target as observed by a node."""

from math import inf

import trio

from snipelead.routing.ejection import FailureHistory
from snipelead.routing.ejection import FailureVerdict
from snipelead.routing.ejection import TargetRequest
from snipelead.types import TargetState
from snipelead.utils.bounded_dict import BoundedDict

__all__ = ['TargetObservation']

# Minimum weight of the newest latency in its exponentially weighted moving
# average (EWMA).
LATENCY_EWMA_WEIGHT = 0.1
# The same for a latency that is based on the average reported by the target's
# node, which already covers the requests of all nodes.
REPORTED_LATENCY_EWMA_WEIGHT = 0.5
# Half-life of the observed latency, service ratio and error rate. They decay
# so that a target that was slow is tried again.
OBSERVATION_HALF_LIFE_S = 10.0
# The same for requests that must not be repeated; other requests probe a
# formerly slow or failing target before them.
AT_MOST_ONCE_HALF_LIFE_S = 60.0
# Added relative cost of a target that fails every request.
ERROR_COST_FACTOR = 30.0
INITIAL_LATENCY_S = 0.005
# Lower bound of the latency of a target with errors, so that one that fails
# fast does not look cheap.
MIN_LATENCY_S = 0.001
# EWMA weight of the newest service ratio that is computed from one request.
# It is low because the service times of one route vary by as much as their
# mean.
SERVICE_RATIO_EWMA_WEIGHT = 0.05
# EWMA weight of the newest service ratio that is computed from the mean
# reported by the target's node.
REPORTED_RATIO_EWMA_WEIGHT = 0.3
# Routes whose reported mean service time is kept for each target.
MAX_ROUTES_PER_TARGET = 32
# Lower bound of a target's service time as a share of the mean over all
# targets.
MIN_SERVICE_RATIO = 0.2
# A target counts as slowed down once it reports more than this multiple of
# its baseline service time.
SLOWDOWN_FACTOR = 2.0
# EWMA weight of the newest reported service time in the baseline.
BASELINE_SERVICE_EWMA_WEIGHT = 0.02
# EWMA weight of the newest response in the error rate.
ERROR_RATE_EWMA_WEIGHT = 0.2
# Utilisation above which requests are expected to queue, and the added
# relative cost for each unit of utilisation beyond it.
QUEUEING_UTILISATION = 0.8
QUEUEING_COST_FACTOR = 10.0
# Half-life of the difference between the reported load and its baseline.
LOAD_EXCESS_HALF_LIFE_S = 0.5
# EWMA weight of the newest reported load in the baseline.
BASELINE_LOAD_EWMA_WEIGHT = 0.1
# Time over which the share of a new target grows to its full size.
SLOW_START_S = 5.0
MIN_SLOW_START_SHARE = 0.1


class TargetObservation:
    """What this node has observed of one target.

    All points in time are in seconds of trio's clock.

    Parameters
    ----------
    entry : TargetEntry
        Directory entry of the target.
    slow_start : bool
        Whether the share of the target grows from a minimum to its full size
        during the first ``SLOW_START_S``.

    Attributes
    ----------
    in_flight : int
        Requests of this node that are in flight to the target.
    latency_s : float
        Moving average of the time to a successful response without the time
        in the target's queue, in seconds.
    latency_updated_at : float or None
        Time of the last successful response.
    error_rate : float
        Moving average of the share of server errors among the responses, as
        observed by this node or as reported by the target's node, whichever
        is higher.
    error_rate_updated_at : float
        When ``error_rate`` was last updated.
    reported_load, load_reported_at : float
        Slots in use plus queued requests as reported with the last response,
        and the time of that response.
    baseline_load : float
        Moving average of the reported load.
    service_ratio, service_ratio_updated_at : float
        Moving average of the target's service time in proportion to the mean
        of the same route over all targets, and when it was last updated.
    route_service_s : dict of RouteName to float
        Mean service time of each route at this target, in seconds, as last
        reported by the target's node.
    round_trip_s : float
        Moving average of the time to the target and back, in seconds.
    reported_service_s, baseline_service_s : float
        Mean service time as last reported by the target's node, and its
        long-term moving average, in seconds.
    slow_start_at : float
        When the slow start began.
    failures : FailureHistory
        Failures since the last response, and the present ejection.
    backoff_until : float
        The target was at its limit; other targets are preferred until then.
    shared_occupancy, shared_relative_time, shared_load_at : float
        Mean number of requests at the target and its relative service time
        as shared by its node through the controls, and when they were
        measured.
    leaving_version : tuple of (Incarnation, int) or None
        Incarnation and sequence of the directory entry under which the target
        refused new requests because it is leaving.
    """

    def __init__(self, entry, slow_start):
        self.entry = entry
        self.in_flight = 0
        self.latency_s = INITIAL_LATENCY_S
        self.latency_updated_at = None
        self.error_rate = 0.0
        self.error_rate_updated_at = 0.0
        self.reported_load = 0.0
        self.load_reported_at = 0.0
        self.baseline_load = 0.0
        self.service_ratio = 1.0
        self.service_ratio_updated_at = 0.0
        self.route_service_s = BoundedDict(MAX_ROUTES_PER_TARGET)
        self.round_trip_s = 0.0
        self.reported_service_s = 0.0
        self.baseline_service_s = 0.0
        self.slow_start_at = (
            trio.current_time() if slow_start else -SLOW_START_S
        )
        self.failures = FailureHistory()
        self.backoff_until = 0.0
        self.shared_occupancy = 0.0
        self.shared_relative_time = 0.0
        self.shared_load_at = -inf
        self.leaving_version = None

    def update_entry(self, entry):
        """Replace the directory entry by a newer one.

        Failures in an earlier incarnation of the target, or of its node, tell
        nothing of the current one.
        """
        previous = self.incarnations
        self.entry = entry
        if self.incarnations != previous:
            self.clear_failures()

    @property
    def ejection(self):
        """Present ejection of the target; None if it is not ejected."""
        return self.failures.ejection

    @property
    def incarnations(self):
        """Incarnations of the node of the target and of the target itself."""
        return (self.entry.incarnation, self.entry.target_incarnation)

    def is_usable(self, now):
        """Return whether a request may be sent to the target."""
        if self.entry.state is not TargetState.SERVING:
            return False
        if self.leaving_version == (
            self.entry.incarnation,
            self.entry.sequence,
        ):
            return False
        return self.ejection is None or now >= self.ejection.next_probe_at

    def load(self, now):
        """Return the estimated requests in service and queued."""
        age_s = max(0.0, now - self.load_reported_at)
        excess = self.reported_load - self.baseline_load
        others = self.baseline_load + excess * 0.5 ** (
            age_s / LOAD_EXCESS_HALF_LIFE_S
        )
        half_lives = age_s / OBSERVATION_HALF_LIFE_S
        return max(self.in_flight, others * 0.5**half_lives)

    def utilisation(self, now):
        """Return the estimated load per slot."""
        return self.load(now) / max(1, self.entry.slots)

    def record_service_time(self, route, load, mean_s, now):
        """Update the service time and the service ratio of the target.

        Parameters
        ----------
        route : RouteName
            Route of the request.
        load : Load
            Load reported with the response.
        mean_s : float
            Mean service time of the route over all targets, in seconds.
        now : float
            Time in seconds of trio's clock.
        """
        if load.route_service_us:
            service_s = self.route_service_s[route] = (
                load.route_service_us / 1e6
            )
            weight = REPORTED_RATIO_EWMA_WEIGHT
        else:
            service_s = load.target_us / 1e6
            weight = SERVICE_RATIO_EWMA_WEIGHT
        self.service_ratio += weight * (
            service_s / mean_s - self.service_ratio
        )
        self.service_ratio_updated_at = now

    def route_latency_s(self, now, profile, half_life_s):
        """Return the expected latency for the route of a request.

        The service time reported by the target's node includes requests that
        are still running. It reveals a slow target before the slow requests
        end, so a rise over the baseline overrides the ratio.

        Parameters
        ----------
        now : float
            Time in seconds of trio's clock.
        profile : RequestProfile
            Request whose ``mean_service_s`` is known.
        half_life_s : float
            Half-life of the service ratio, in seconds.
        """
        mean_service_s = profile.mean_service_s
        ratio = self._observed_ratio(now, profile, half_life_s)
        published_ratio = self._published_ratio(profile)
        if published_ratio is not None:
            weight = profile.published_weight
            ratio = published_ratio**weight * ratio ** (1.0 - weight)
        slowdown = 0.0
        if (
            self.reported_service_s
            > SLOWDOWN_FACTOR * self.baseline_service_s
            > 0.0
        ):
            slowdown = self.reported_service_s / self.baseline_service_s
        return (
            mean_service_s * max(MIN_SERVICE_RATIO, ratio, slowdown)
            + self.round_trip_s
        )

    def _published_ratio(self, profile):
        """Return the ratio that the target's node has published, or None.

        It is based on the requests of all nodes.
        """
        published = self.entry.relative_service_time
        mean = profile.mean_relative_service_time
        return published / mean if published and mean else None

    def _observed_ratio(self, now, profile, half_life_s):
        """Return the ratio that this node has observed, fading to 1."""
        reported_s = self.route_service_s.get(profile.route)
        ratio = (
            self.service_ratio
            if reported_s is None
            else reported_s / profile.mean_service_s
        )
        age_s = max(0.0, now - self.service_ratio_updated_at)
        return 1.0 + (ratio - 1.0) * 0.5 ** (age_s / half_life_s)

    def record_shared_load(self, received):
        """Record a load that the target's node has shared.

        Parameters
        ----------
        received : ReceivedLoad
            The load and when it was measured.
        """
        load = received.load
        if received.measured_at <= self.shared_load_at:
            return
        self.shared_occupancy = load.occupancy_percent / 100
        self.shared_relative_time = load.relative_permille / 1_000
        self.shared_load_at = received.measured_at

    def service_time_s(self, now, profile):
        """Return the expected service time for the route of a request."""
        half_life_s = _half_life_s(profile)
        return (
            self.route_latency_s(now, profile, half_life_s) - self.round_trip_s
        )

    def error_share(self, now, profile):
        """Return the expected share of server errors, fading with time."""
        if not self.error_rate:
            return 0.0
        age_s = now - self.error_rate_updated_at
        return self.error_rate * 0.5 ** (age_s / _half_life_s(profile))

    def slow_start_share(self, now):
        """Return the share of its usual requests that the target gets."""
        return min(
            1.0,
            max(
                MIN_SLOW_START_SHARE, (now - self.slow_start_at) / SLOW_START_S
            ),
        )

    def expected_latency_s(self, now, profile):
        """Return the expected time to a response, penalised for errors.

        Parameters
        ----------
        now : float
            Time in seconds of trio's clock.
        profile : RequestProfile
            Properties of the request.
        """
        half_life_s = _half_life_s(profile)
        if profile.mean_service_s is not None:
            latency_s = self.route_latency_s(now, profile, half_life_s)
        else:
            age_s = (
                now - self.latency_updated_at
                if self.latency_updated_at is not None
                else 0.0
            )
            latency_s = self.latency_s * 0.5 ** (age_s / half_life_s)
        error_rate = self.error_share(now, profile)
        if not error_rate:
            return latency_s
        return max(latency_s, MIN_LATENCY_S) * (
            1 + ERROR_COST_FACTOR * error_rate
        )

    def cost(self, now, profile):
        """Return the cost of sending one more request; lower is better."""
        utilisation = (self.load(now) + 1) / max(1, self.entry.slots)
        # With many slots, requests rarely queue before most are in use.
        queueing_cost = QUEUEING_COST_FACTOR * max(
            0.0, utilisation - QUEUEING_UTILISATION
        )
        return (
            self.expected_latency_s(now, profile)
            * (1.0 + utilisation + queueing_cost)
            / self.slow_start_share(now)
        )

    def describe(self, now):
        """Return the inputs of the choice of the target, for the log."""
        return {
            'target': self.entry.target_id,
            'via': self.entry.node_id,
            'zone': self.entry.zone,
            'incarnation': self.entry.incarnation,
            'sequence': self.entry.sequence,
            'load': round(self.load(now), 1),
            'load_age_s': round(now - self.load_reported_at, 3),
            'slots': self.entry.slots,
            'slowness': round(self.service_ratio, 2),
            'way_ms': round(self.round_trip_s * 1_000, 1),
            'errors': round(self.error_rate, 3),
        }

    def begin_request(self, now):
        """Count a request that is about to be sent.

        Returns
        -------
        TargetRequest
            Must be ended; a context manager that does so.
        """
        return TargetRequest(self, now)

    def record_response(self, latency_s, is_error, load, now, request=None):
        """Record a response.

        Parameters
        ----------
        latency_s : float
            Time to the response, in seconds; ignored for a server error.
        is_error : bool
            Whether the response is a server error.
        load : Load or None
            Load of the target reported with the response.
        now : float
            Time in seconds of trio's clock.
        request : TargetRequest or None
            Request that was responded to; None for one of the current
            incarnation.
        """
        if request is None or request.is_of_current_incarnation:
            self.clear_failures()
        if is_error or self.error_rate:
            self.error_rate += ERROR_RATE_EWMA_WEIGHT * (
                is_error - self.error_rate
            )
            self.error_rate_updated_at = now
        if not is_error:
            self._record_latency(latency_s, load, now)
        if load is not None:
            self.record_load(load, now)

    def _record_latency(self, latency_s, load, now):
        weight = LATENCY_EWMA_WEIGHT
        if load is not None and load.service_us:
            # The service time reported by the target's node is an average
            # over the requests of all nodes; this node adds its round trip.
            round_trip_us = latency_s * 1e6 - load.target_us - load.queue_us
            round_trip_s = max(0.0, round_trip_us) / 1e6
            self.round_trip_s += LATENCY_EWMA_WEIGHT * (
                round_trip_s - self.round_trip_s
            )
            self.reported_service_s = load.service_us / 1e6
            self.baseline_service_s = (
                self.baseline_service_s or self.reported_service_s
            )
            self.baseline_service_s += BASELINE_SERVICE_EWMA_WEIGHT * (
                self.reported_service_s - self.baseline_service_s
            )
            latency_s = (load.service_us + max(0.0, round_trip_us)) / 1e6
            weight = REPORTED_LATENCY_EWMA_WEIGHT
        if self.latency_updated_at is None:
            weight = 1.0
        else:
            age_s = now - self.latency_updated_at
            weight = max(
                weight, 1.0 - 0.5 ** (age_s / OBSERVATION_HALF_LIFE_S)
            )
        self.latency_s += weight * (latency_s - self.latency_s)
        self.latency_updated_at = now

    def record_load(self, load, now):
        """Record the load reported with a response or a refusal."""
        self.reported_load = load.in_flight + load.queued
        self.load_reported_at = now
        self.baseline_load += BASELINE_LOAD_EWMA_WEIGHT * (
            self.reported_load - self.baseline_load
        )
        if load.error_rate > self.error_rate:
            self.error_rate = load.error_rate
            self.error_rate_updated_at = now

    def record_failure(self, now, request=None):
        """Record a lost response or a refused connection.

        Parameters
        ----------
        now : float
            Time in seconds of trio's clock.
        request : TargetRequest or None
            Request that failed; None for one that began before the present
            ejection, if there is one.
        """
        if request is not None:
            verdict = request.judge_failure()
        elif self.ejection is not None:
            verdict = FailureVerdict.OUTDATED
        else:
            verdict = FailureVerdict.COUNTED
        self.failures.record(verdict, now)

    def record_rejection(self, now):
        """Record that the target rejected a request without running it."""
        self.error_rate += ERROR_RATE_EWMA_WEIGHT * (1.0 - self.error_rate)
        self.error_rate_updated_at = now

    def clear_failures(self):
        """Clear failures and ejections; the target may be used again."""
        self.failures.clear()

    def back_off(self, now, retry_after_s):
        """Prefer other targets for a time because this one is at its limit.

        Parameters
        ----------
        now : float
            Time in seconds of trio's clock.
        retry_after_s : float
            Time until the target may be chosen again, in seconds.
        """
        self.backoff_until = now + retry_after_s

    def record_leaving(self):
        """Exclude the target until the directory has a newer entry."""
        self.leaving_version = (self.entry.incarnation, self.entry.sequence)


def _half_life_s(profile):
    """Return the half-life of what was observed, for a request."""
    if profile.at_most_once:
        return AT_MOST_ONCE_HALF_LIFE_S
    return OBSERVATION_HALF_LIFE_S
