"""Refusal of requests by the node where they enter the system.

Answers bursts past the capacity of a service: each request was refused by up
to three targets before its caller was told, so most of the work of the nodes
went into refusals.
"""

from enum import Enum

from msgspec import Struct
import trio

from snipelead.admission.acceptance import ServiceAcceptance
from snipelead.admission.events import EARLY_REFUSALS_ENDED
from snipelead.admission.events import EARLY_REFUSALS_STARTED
from snipelead.admission.exceptions import NoCapacityError
from snipelead.admission.retry_after import choose_spread_retry_s
from snipelead.admission.retry_after import estimate_backoff_s
from snipelead.callers.exceptions import OverloadedError
from snipelead.callers.exceptions import TargetBusyError
from snipelead.logs import log_event
from snipelead.releases.document import MAX_TRACKED_ROUTES
from snipelead.utils.bounded_dict import BoundedDict

__all__ = ['EarlyRefusal', 'KnownState', 'assess_target']

# A load that was reported longer ago than this tells nothing about the free
# slots; several requests have started and ended since.
MAX_LOAD_AGE_S = 0.25
# While all targets are known to be full, a request of each route is sent to
# one of them at this interval, to notice free capacity.
PROBE_INTERVAL_S = 0.1
# Early refusals have ended when there was none for this time.
QUIET_S = 2.0
# EWMA weight of the retry delay of the newest refusal by a target.
CAPACITY_EWMA_WEIGHT = 0.1
_MS_PER_S = 1_000


class KnownState(Enum):
    """What a node knows about the free capacity of a target."""

    OPEN = 'open'
    FULL = 'full'
    UNKNOWN = 'unknown'


def assess_target(observation, now):
    """Return what is known about the free capacity of a target.

    Parameters
    ----------
    observation : TargetObservation
        What this node has observed of the target.
    now : float
        Time in seconds of trio's clock.
    """
    if not observation.load_reported_at:
        return KnownState.UNKNOWN
    if now - observation.load_reported_at > MAX_LOAD_AGE_S:
        return KnownState.UNKNOWN
    load = max(observation.reported_load, observation.in_flight)
    if load < observation.entry.slots:
        return KnownState.OPEN
    if now < observation.backoff_until:
        return KnownState.FULL
    return KnownState.UNKNOWN


class _RouteState(Struct):
    """State of one route to one service."""

    probed_at: float = 0.0
    capacity_in_s: float = 0.0
    refused: int = 0
    refused_at: float = 0.0


class EarlyRefusal:
    """Decides whether an attempt is sent, by what the node has observed.

    Only requests of routes with a latency objective are refused.

    Parameters
    ----------
    balancer : Balancer
        Observations of the targets; source of random numbers.
    is_enabled : bool
        Whether any request is refused.

    Attributes
    ----------
    states : dict of tuple to _RouteState
        States by service and route.
    services : dict of ServiceName to ServiceAcceptance
        Attempts that were sent, refused and not sent.
    refusal_counts : dict of RouteName to int
        Requests that were refused, by route.
    """

    def __init__(self, balancer, is_enabled=True):
        self.balancer = balancer
        self.is_enabled = is_enabled
        self.states = BoundedDict(MAX_TRACKED_ROUTES)
        self.services = {}
        self.refusal_counts = BoundedDict(MAX_TRACKED_ROUTES)

    def _get_state(self, call, service):
        state = self.states.get((service, call.route))
        if state is None:
            state = _RouteState()
            self.states[service, call.route] = state
        return state

    def _get_acceptance(self, service):
        acceptance = self.services.get(service)
        if acceptance is None:
            acceptance = self.services[service] = ServiceAcceptance()
        return acceptance

    def check(self, call, observation, tried=()):
        """Check an attempt, which is sent if this returns.

        Parameters
        ----------
        call : Call
            Call that the attempt belongs to.
        observation : TargetObservation
            Target that the balancer has chosen.
        tried : collection of TargetId
            Targets that have refused the request.

        Raises
        ------
        NoCapacityError
            If no target is expected to answer the request in time.
        """
        if not self.is_enabled or call.latency_deadline is None:
            return
        now = trio.current_time()
        service = observation.entry.service
        state = self._get_state(call, service)
        acceptance = self._get_acceptance(service)
        if not tried:
            acceptance.record_request(call, now)
        share = acceptance.refusal_share(call, now)
        if self._is_worth_a_hop(state, share, observation, tried, now):
            acceptance.get(call).record_sent(now)
            return
        acceptance.get(call).record_withheld(now)
        self._count_refusal(state, call, service, now)
        raise NoCapacityError(
            f'no target of service {service} is expected to answer in time',
            retry_after_ms=self._choose_retry_ms(state, call, now),
        )

    def _is_worth_a_hop(self, state, share, observation, tried, now):
        if assess_target(observation, now) is KnownState.OPEN:
            return True
        if not share and not tried:
            return True
        if self._all_full(observation.entry.service, now):
            if tried or now < state.probed_at + PROBE_INTERVAL_S:
                return False
            state.probed_at = now
            return True
        return self.balancer.random.random() >= share

    def _all_full(self, service, now):
        return all(
            assess_target(o, now) is KnownState.FULL
            for o in self.balancer.get_observations(service)
            if o.is_usable(now)
        )

    def _choose_retry_ms(self, state, call, now):
        service_s = self.balancer.mean_service_s.get(call.route, 0.0)
        delay_s = choose_spread_retry_s(
            state.capacity_in_s,
            min(call.latency_deadline, call.deadline) - service_s - now,
            call.deadline - now,
            self.balancer.random.random(),
        )
        return max(1, int(delay_s * _MS_PER_S))

    def record_error(self, call, observation, error):
        """Record that an attempt failed; refusals are learned from."""
        if (
            not self.is_enabled
            or call.latency_deadline is None
            or not isinstance(error, OverloadedError | TargetBusyError)
        ):
            return
        state = self._get_state(call, observation.entry.service)
        acceptance = self._get_acceptance(observation.entry.service)
        acceptance.record_refused(call, trio.current_time())
        state.capacity_in_s += CAPACITY_EWMA_WEIGHT * (
            estimate_backoff_s(error) - state.capacity_in_s
        )

    def _count_refusal(self, state, call, service, now):
        self.refusal_counts[call.route] = (
            self.refusal_counts.get(call.route, 0) + 1
        )
        if not state.refused:
            log_event(
                EARLY_REFUSALS_STARTED, service=service, route=call.route
            )
        state.refused += 1
        state.refused_at = now

    def tick(self, now):
        """Log the end of early refusals."""
        for (service, route), state in self.states.items():
            if state.refused and now > state.refused_at + QUIET_S:
                log_event(
                    EARLY_REFUSALS_ENDED,
                    service=service,
                    route=route,
                    refused=state.refused,
                )
                state.refused = 0
