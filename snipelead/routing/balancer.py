"""Choice of the target of each attempt."""

import random

import trio

from snipelead.callers.events import TARGET_EJECTED
from snipelead.callers.exceptions import AnswerLostError
from snipelead.callers.exceptions import NoTargetError
from snipelead.callers.exceptions import OverloadedError
from snipelead.callers.exceptions import StoppingError
from snipelead.callers.exceptions import TargetBusyError
from snipelead.callers.exceptions import TargetLeavingError
from snipelead.callers.exceptions import TargetMisplacedError
from snipelead.callers.exceptions import TargetUnreachableError
from snipelead.callers.exceptions import WrongIncarnationError
from snipelead.logs import log_event
from snipelead.releases.document import MAX_KNOWN_ROUTES
from snipelead.routing.budget import RetryBudget
from snipelead.routing.observations import TargetObservation
from snipelead.routing.policies import Demand
from snipelead.routing.policies import POLICIES
from snipelead.routing.policies import Policy
from snipelead.utils.recent import RecentDict

__all__ = ['Balancer']

MIN_AVOID_S = 0.02
OWN_ZONE_LOAD = 0.75
# The shared retries are divided among at least so many nodes, since a node
# that has just started knows of few others.
MIN_NODES = 8
# News of targets reach a node within this time, in milliseconds.
NO_TARGET_RETRY_MS = 500
INITIAL_ANSWER_BYTES = 2_000
SIZE_SMOOTHING = 0.05
WORK_SMOOTHING = 0.02
_MS_PER_S = 1_000
_US_PER_S = 1e6
_BYTES_PER_KB = 1_000


class Balancer:
    """Chooses targets by this node's own observation.

    Parameters
    ----------
    zone : ZoneName
        Availability zone of this node.
    directory : TargetDirectory
        Known targets.
    retry_ratio : float
        Retries allowed for each first attempt of a route.
    policy : Policy
        How to choose.
    seed : int or None
        Seed of the random choices.
    retry_extra : float or None
        Retries that all nodes together may make for a service beyond the
        ratio; None gives each route of each node a burst of its own.
    own_zone_load : float
        Targets of the own zone are preferred up to this load for each slot.
    reach : PeerReach or None
        Tells which nodes cannot be reached.
    crossing_ms_per_kb : float or None
        Price of carrying an answer across zones: added time in milliseconds
        that is as bad as a kilobyte; None prefers the own zone by its load.

    Attributes
    ----------
    answer_bytes : dict of RouteName to float
        Moving averages of the sizes of answers.
    route_work_s : dict of RouteName to float
        Moving averages of the times that targets took, in seconds.
    """

    def __init__(
        self,
        zone,
        directory,
        retry_ratio,
        policy=Policy.OBSERVED,
        seed=None,
        retry_extra=None,
        own_zone_load=OWN_ZONE_LOAD,
        reach=None,
        crossing_ms_per_kb=None,
    ):
        self.crossing_ms_per_kb = crossing_ms_per_kb
        self.answer_bytes = RecentDict(MAX_KNOWN_ROUTES)
        self.route_work_s = RecentDict(MAX_KNOWN_ROUTES)
        self.reach = reach
        if reach is not None:
            reach.on_reached = self.readmit
        self.retry_extra = retry_extra
        self.own_zone_load = own_zone_load
        self.zone = zone
        self.directory = directory
        self.retry_ratio = retry_ratio
        self.policy = policy
        self.seed = seed
        self.random = random.Random(seed)
        self.turn = 0
        self.observations = {}
        self.known_services = set()
        self.budgets = {}

    def budget(self, route, service):
        """Return the retry budget of a request.

        Parameters
        ----------
        route : Route
            Route of the request.
        service : ServiceName
            Service that it goes to.

        Returns
        -------
        RetryBudget
            That of the route, or that of the service where all nodes share
            a limit.
        """
        name = route.name if self.retry_extra is None else service
        budget = self.budgets.get(name)
        if budget is None:
            budget = RetryBudget(self.retry_ratio)
            self.budgets[name] = budget
        if self.retry_extra is not None:
            nodes = max(MIN_NODES, self.directory.count_nodes())
            budget.limit_burst(self.retry_extra / nodes)
        return budget

    def observations_of(self, service):
        """Return the observations of all targets of a service."""
        entries = self.directory.targets(service)
        # Targets found with the first look at a service are not new.
        ramps = service in self.known_services
        found = [self._observe(entry, ramps) for entry in entries]
        if entries:
            self.known_services.add(service)
        return found

    def _observe(self, entry, ramps):
        observation = self.observations.get(entry.target_id)
        if observation is None:
            observation = TargetObservation(entry, ramps)
            self.observations[entry.target_id] = observation
        elif observation.entry is not entry:
            observation.update(entry)
        return observation

    def choose(self, service, tried=(), once=False, route=None):
        """Choose a target.

        Parameters
        ----------
        service : ServiceName
            Service called.
        tried : collection of TargetId
            Targets that this call has tried already.
        once : bool
            Whether the request may not be repeated.
        route : RouteName or None
            Route of the request; its answers have similar sizes.

        Returns
        -------
        TargetObservation

        Raises
        ------
        NoTargetError
            If no target can be used; says when one may be.
        """
        now = trio.current_time()
        usable = self._usable(service, tried, now)
        if not usable:
            raise self._no_target(service, now)
        ready = [o for o in usable if o.avoided_until <= now]
        demand = Demand(
            once,
            self.route_work_s.get(route),
            self._crossing_s(route),
            route,
        )
        return POLICIES[self.policy](self, ready or usable, now, demand)

    def _crossing_s(self, route):
        """Return what it costs to carry an answer across zones, as time."""
        if self.crossing_ms_per_kb is None:
            return None
        size = self.answer_bytes.get(route, INITIAL_ANSWER_BYTES)
        return self.crossing_ms_per_kb * size / _BYTES_PER_KB / _MS_PER_S

    def observe_work(self, observation, route, load):
        """Take in how long a target took for a request of a route."""
        if load is None or not load.target_us:
            return
        work_s = load.target_us / _US_PER_S
        known_s = self.route_work_s.get(route, work_s)
        self.route_work_s[route] = known_s + WORK_SMOOTHING * (
            work_s - known_s
        )
        observation.take_work(route, load, known_s, trio.current_time())

    def observe_size(self, route, size):
        """Take in the size of an answer, in bytes."""
        known = self.answer_bytes.get(route, size)
        self.answer_bytes[route] = known + SIZE_SMOOTHING * (size - known)

    def _usable(self, service, tried, now):
        return [
            o
            for o in self.observations_of(service)
            if o.entry.target_id not in tried
            and o.is_usable(now)
            and not self._is_lost(o.entry)
        ]

    def _is_lost(self, entry):
        return self.reach is not None and self.reach.is_lost(entry.address)

    def has_other(self, service, tried):
        """Tell whether a target is left that this call has not tried."""
        return bool(self._usable(service, tried, trio.current_time()))

    def _no_target(self, service, now):
        known = self.observations_of(service)
        returns = [o.ejected_until for o in known if o.ejected_until > now]
        delay_ms = (
            int((min(returns) - now) * _MS_PER_S) + 1
            if returns
            else NO_TARGET_RETRY_MS
        )
        return NoTargetError(
            f'no target of {service} can be used', retry_after_ms=delay_ms
        )

    def record_error(self, observation, error):
        """Take the failure of an attempt into the observation."""
        now = trio.current_time()
        match error:
            case AnswerLostError() | TargetUnreachableError():
                self.record_failure(observation, now)
            case TargetBusyError() | TargetMisplacedError():
                observation.shed(now)
            case OverloadedError():
                retry_after_ms = error.retry_after_ms or 0
                observation.refuse(
                    now, max(MIN_AVOID_S, retry_after_ms / _MS_PER_S)
                )
            case (
                TargetLeavingError()
                | StoppingError()
                | WrongIncarnationError()
            ):
                observation.leave()
            case _:
                observation.probing = False

    def record_failure(self, observation, now):
        """Count a lost answer; ejects the target after several in a row."""
        before = observation.ejected_until
        observation.fail(now)
        if observation.ejected_until > max(before, now):
            log_event(
                TARGET_EJECTED,
                target_id=observation.entry.target_id,
                for_s=round(observation.ejected_until - now, 3),
            )

    def readmit(self, address):
        """Use the targets beside a node again that can be reached again."""
        for observation in self.observations.values():
            if observation.entry.address == address:
                observation.readmit()

    def forget_gone(self):
        """Forget targets that the directory no longer lists."""
        listed = {
            entry.target_id
            for service in self.known_services
            for entry in self.directory.targets(service)
        }
        self.observations = {
            target_id: observation
            for target_id, observation in self.observations.items()
            if target_id in listed or observation.in_flight
        }
