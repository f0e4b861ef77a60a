"""Load balancing: choice of the target of each attempt."""

import random

import trio

from snipelead.admission.retry_after import estimate_backoff_s
from snipelead.authentication.exceptions import NoLeaseError
from snipelead.callers.events import PROBE_UNANSWERED
from snipelead.callers.events import TARGET_EJECTED
from snipelead.callers.exceptions import DeadlineExceededError
from snipelead.callers.exceptions import MisdirectedRequestError
from snipelead.callers.exceptions import NodeStoppingError
from snipelead.callers.exceptions import NoTargetError
from snipelead.callers.exceptions import OverloadedError
from snipelead.callers.exceptions import ResponseLostError
from snipelead.callers.exceptions import TargetBusyError
from snipelead.callers.exceptions import TargetLeavingError
from snipelead.callers.exceptions import TargetUnreachableError
from snipelead.callers.exceptions import WrongIncarnationError
from snipelead.logs import log_event
from snipelead.placement.distribution import ServiceTimeDistribution
from snipelead.releases.document import MAX_TRACKED_ROUTES
from snipelead.rollouts.selector import VersionSelector
from snipelead.routing.budget import RetryBudget
from snipelead.routing.observations import TargetObservation
from snipelead.routing.policies import POLICIES
from snipelead.routing.policies import Policy
from snipelead.routing.policies import RequestProfile
from snipelead.targets.status import TargetStatuses
from snipelead.utils.bounded_dict import BoundedDict

__all__ = ['Balancer']

MIN_BACKOFF_S = 0.02
DEFAULT_OWN_ZONE_LOAD = 0.75
# The shared retry burst is divided among at least this many nodes, because a
# node that has just started knows only a few others.
MIN_RETRY_SHARING_NODES = 8
# Directory updates reach a node within this time.
NO_TARGET_RETRY_AFTER_MS = 500
INITIAL_RESPONSE_BYTES = 2_000
# Heads of a forwarded request and its response, with the metadata of nodes.
# The observed policy, which deployments are tuned to, does not count them.
MESSAGE_HEAD_BYTES = 1_100
RESPONSE_SIZE_EWMA_WEIGHT = 0.05
SERVICE_TIME_EWMA_WEIGHT = 0.02
UTILISATION_EWMA_WEIGHT = 0.1
# Mean utilisation of the targets of a service up to which nodes go by the
# published service times, and from which each goes by its own observations.
RELAXED_UTILISATION = 0.35
SATURATED_UTILISATION = 0.6
_MS_PER_S = 1_000
_US_PER_S = 1e6
_BYTES_PER_KB = 1_000


class Balancer:
    """Load balancer that chooses targets by the observations of this node.

    Parameters
    ----------
    zone : ZoneName
        Availability zone of this node.
    directory : TargetDirectory
        Known targets.
    retry_ratio : float
        Retries allowed for each first attempt.
    policy : Policy
        Load balancing policy.
    seed : int or None
        Seed of the random choices.
    retry_extra : float or None
        Retries for each service beyond the ratio, shared by all nodes. If
        None, each node has a retry budget of its own for each route.
    own_zone_load : float
        Load per slot up to which targets of the own zone are preferred.
    reachability : ReachabilityMonitor or None
        Tracks which nodes are unreachable.
    crossing_ms_per_kb : float or None
        Cost of sending a response across zones, as milliseconds of added
        latency per kilobyte. If None, the own zone is preferred up to
        ``own_zone_load``.
    statuses : TargetStatuses or None
        Statuses that targets have stated.
    versions : VersionSelector or None
        Tells which versions of targets may be used.

    Attributes
    ----------
    mean_response_bytes : dict of RouteName to float
        Moving averages of the response sizes.
    mean_service_s : dict of RouteName to float
        Moving averages of the service times over all targets, in seconds.
    shapes : dict of RouteName to ServiceTimeDistribution
        Distributions of the service times in proportion to their mean at
        each target; empty unless the policy needs them.
    mean_relative_times : dict of ServiceName to tuple
        Directory entries of each service, and the mean of their published
        relative service times.
    """

    def __init__(
        self,
        zone,
        directory,
        retry_ratio,
        policy=Policy.OBSERVED,
        seed=None,
        retry_extra=None,
        own_zone_load=DEFAULT_OWN_ZONE_LOAD,
        reachability=None,
        crossing_ms_per_kb=None,
        statuses=None,
        versions=None,
    ):
        self.versions = versions or VersionSelector()
        self.statuses = statuses or TargetStatuses()
        self.crossing_ms_per_kb = crossing_ms_per_kb
        self.mean_response_bytes = BoundedDict(MAX_TRACKED_ROUTES)
        self.mean_service_s = BoundedDict(MAX_TRACKED_ROUTES)
        self.shapes = BoundedDict(MAX_TRACKED_ROUTES)
        self.reachability = reachability
        if reachability is not None:
            reachability.on_reachable = self.clear_failures
        self.retry_extra = retry_extra
        self.own_zone_load = own_zone_load
        self.zone = zone
        self.directory = directory
        self.retry_ratio = retry_ratio
        self.policy = policy
        self.seed = seed
        self.random = random.Random(seed)
        self.round_robin_index = 0
        self.observations = {}
        self.known_services = set()
        self.mean_relative_times = {}
        self.mean_utilisation = {}
        self.budgets = {}

    def get_retry_budget(self, route, service):
        """Return the retry budget of a request.

        Parameters
        ----------
        route : Route
            Route of the request.
        service : ServiceName
            Service that handles the request.

        Returns
        -------
        RetryBudget
            Budget of the route, or of the service if ``retry_extra`` is set.
        """
        key = route.name if self.retry_extra is None else service
        budget = self.budgets.get(key)
        if budget is None:
            budget = RetryBudget(self.retry_ratio)
            self.budgets[key] = budget
        if self.retry_extra is not None:
            node_count = max(
                MIN_RETRY_SHARING_NODES, self.directory.count_nodes()
            )
            budget.set_burst(
                self.retry_extra / node_count, self.random.random()
            )
        return budget

    def get_observations(self, service):
        """Return the observations of all targets of a service."""
        entries = self.directory.get_targets(service)
        # Targets that are listed when the service is first used are not new.
        slow_start = service in self.known_services
        observations = [
            self._get_observation(entry, slow_start) for entry in entries
        ]
        if entries:
            self.known_services.add(service)
        return observations

    def _get_observation(self, entry, slow_start):
        observation = self.observations.get(entry.target_id)
        if observation is None:
            observation = TargetObservation(entry, slow_start)
            self.observations[entry.target_id] = observation
        elif observation.entry is not entry:
            observation.update_entry(entry)
        return observation

    def choose(
        self,
        service,
        tried=(),
        at_most_once=False,
        route=None,
        remaining_s=None,
    ):
        """Choose a target.

        Parameters
        ----------
        service : ServiceName
            Service that handles the request.
        tried : collection of TargetId
            Targets that were already tried for the request.
        at_most_once : bool
            Whether the request must not be repeated.
        route : RouteName or None
            Route of the request; gives its expected service time and response
            size.
        remaining_s : float or None
            Time left to meet the latency objective, in seconds; None if there
            is none.

        Returns
        -------
        TargetObservation

        Raises
        ------
        NoTargetError
            If no target is usable; tells when to retry.
        """
        now = trio.current_time()
        usable = self._find_usable(service, tried, now)
        listed = self.directory.get_targets(service)
        usable = self.versions.select(
            service, usable, listed, now, self.random
        )
        if not usable:
            raise self._make_no_target_error(service, now)
        ready = [o for o in usable if o.backoff_until <= now]
        profile = RequestProfile(
            at_most_once,
            self.mean_service_s.get(route),
            self._cross_zone_cost_s(route),
            route,
            self._mean_relative_service_time(service),
            self._published_weight(service),
            remaining_s,
            self._get_shape(route),
        )
        return POLICIES[self.policy](self, ready or usable, now, profile)

    def _published_weight(self, service):
        """Return the weight of published against observed service times.

        Nodes that all act on the same values overload the fastest targets
        once these have no slots to spare. Their own observations differ, and
        spread the load.
        """
        utilisation = self.mean_utilisation.get(service, 0.0)
        weight = (SATURATED_UTILISATION - utilisation) / (
            SATURATED_UTILISATION - RELAXED_UTILISATION
        )
        return min(1.0, max(0.0, weight))

    def _get_shape(self, route):
        if self.policy is not Policy.EXPECTED_COMPLETION:
            return None
        shape = self.shapes.get(route)
        if shape is None:
            shape = self.shapes[route] = ServiceTimeDistribution(1.0)
        return shape

    def record_shared_loads(self, loads):
        """Record loads that the nodes of targets have shared.

        Parameters
        ----------
        loads : iterable of ReceivedLoad
            Loads of targets that this node may know or not.
        """
        for received in loads:
            observation = self.observations.get(received.load.target_id)
            if observation is not None:
                observation.record_shared_load(received)

    def record_utilisation(self, service, load):
        """Record the load that a target of a service has reported."""
        utilisation = (load.in_flight + load.queued) / max(1, load.slots)
        mean = self.mean_utilisation.get(service, utilisation)
        self.mean_utilisation[service] = mean + UTILISATION_EWMA_WEIGHT * (
            utilisation - mean
        )

    def _mean_relative_service_time(self, service):
        """Return the mean over the targets that have published theirs."""
        entries = self.directory.get_targets(service)
        known_entries, mean = self.mean_relative_times.get(service, (None, 0))
        if known_entries is not entries:
            values = [
                entry.relative_service_time
                for entry in entries
                if entry.relative_service_time
            ]
            mean = sum(values) / len(values) if values else 0.0
            self.mean_relative_times[service] = (entries, mean)
        return mean

    def _cross_zone_cost_s(self, route):
        """Return the cost of a response across zones, as added latency."""
        if self.crossing_ms_per_kb is None:
            return None
        response_bytes = self.mean_response_bytes.get(
            route, INITIAL_RESPONSE_BYTES
        )
        if self.policy is Policy.EXPECTED_COMPLETION:
            response_bytes += MESSAGE_HEAD_BYTES
        response_kb = response_bytes / _BYTES_PER_KB
        return self.crossing_ms_per_kb * response_kb / _MS_PER_S

    def record_service_time(self, observation, route, load):
        """Record the service time of a successful request.

        Parameters
        ----------
        observation : TargetObservation
            Target that handled the request.
        route : RouteName
            Route of the request.
        load : Load or None
            Load of the target reported with the response.
        """
        if load is None:
            return
        self.record_utilisation(observation.entry.service, load)
        if not load.target_us:
            return
        service_s = load.target_us / _US_PER_S
        mean_s = self.mean_service_s.get(route, service_s)
        self.mean_service_s[route] = mean_s + SERVICE_TIME_EWMA_WEIGHT * (
            service_s - mean_s
        )
        observation.record_service_time(
            route, load, mean_s, trio.current_time()
        )
        shape = self._get_shape(route)
        if shape is not None and load.route_service_us:
            shape.record(load.target_us / load.route_service_us)

    def record_response_size(self, route, response_bytes):
        """Record the size of a response, in bytes."""
        mean_bytes = self.mean_response_bytes.get(route, response_bytes)
        self.mean_response_bytes[route] = (
            mean_bytes
            + RESPONSE_SIZE_EWMA_WEIGHT * (response_bytes - mean_bytes)
        )

    def _find_usable(self, service, tried, now):
        leaving = self.statuses.leaving
        return [
            o
            for o in self.get_observations(service)
            if o.entry.target_id not in tried
            and o.is_usable(now)
            and not self._is_unreachable(o.entry)
            and not (
                o.entry.target_id in leaving
                and self.statuses.is_leaving(
                    o.entry.target_id, o.entry.target_incarnation
                )
            )
        ]

    def _is_unreachable(self, entry):
        return (
            self.reachability is not None
            and self.reachability.is_unreachable(entry.address)
        )

    def has_untried_target(self, service, tried):
        """Return whether the service has a usable target not tried yet."""
        now = trio.current_time()
        usable = self._find_usable(service, tried, now)
        listed = self.directory.get_targets(service)
        return bool(self.versions.list_permitted(service, usable, listed, now))

    def _make_no_target_error(self, service, now):
        observations = self.get_observations(service)
        probe_times = [
            o.ejection.next_probe_at
            for o in observations
            if o.ejection is not None and o.ejection.next_probe_at > now
        ]
        delay_ms = (
            int((min(probe_times) - now) * _MS_PER_S) + 1
            if probe_times
            else NO_TARGET_RETRY_AFTER_MS
        )
        return NoTargetError(
            f'no target of service {service} is usable',
            retry_after_ms=delay_ms,
        )

    def record_error(self, observation, error, request=None):
        """Record the failure of an attempt.

        Parameters
        ----------
        observation : TargetObservation
            Target of the attempt.
        error : CallError
            How it failed.
        request : TargetRequest or None
            Request to the target, see
            :meth:`TargetObservation.record_failure`.
        """
        now = trio.current_time()
        if error.load is not None:
            observation.record_load(error.load, now)
            self.record_utilisation(observation.entry.service, error.load)
        match error:
            case ResponseLostError() | TargetUnreachableError():
                self.record_failure(observation, now, request)
            case DeadlineExceededError() if request is not None:
                self.record_timeout(request)
            case TargetBusyError() | MisdirectedRequestError():
                observation.record_rejection(now)
            case OverloadedError() | NoLeaseError():
                observation.back_off(
                    now, max(MIN_BACKOFF_S, estimate_backoff_s(error))
                )
            case (
                TargetLeavingError()
                | NodeStoppingError()
                | WrongIncarnationError()
            ):
                observation.record_leaving()

    def record_failure(self, observation, now, request=None):
        """Record a lost response; log when it ejects the target."""
        previous_ejection = observation.ejection
        observation.record_failure(now, request)
        if observation.ejection is not previous_ejection:
            log_event(
                TARGET_EJECTED,
                target_id=observation.entry.target_id,
                for_s=round(observation.ejection.until - now, 3),
            )

    def record_timeout(self, request):
        """Record that no response came until the deadline of a request.

        Parameters
        ----------
        request : TargetRequest
            Request to a target.
        """
        if request.is_probe:
            log_event(
                PROBE_UNANSWERED,
                target_id=request.observation.entry.target_id,
            )
        request.record_timeout(trio.current_time())

    def clear_failures(self, address):
        """Make the targets of a node usable after it became reachable."""
        for observation in self.observations.values():
            if observation.entry.address == address:
                observation.clear_failures()

    def drop_removed_targets(self):
        """Drop observations of targets that the directory no longer lists."""
        listed_ids = {
            entry.target_id
            for service in self.known_services
            for entry in self.directory.get_targets(service)
        }
        self.observations = {
            target_id: observation
            for target_id, observation in self.observations.items()
            if target_id in listed_ids or observation.in_flight
        }
