"""Prometheus metrics of the processes."""

from collections import Counter as CollectionsCounter
from http import HTTPStatus

from aioprometheus.collectors import Counter
from aioprometheus.collectors import Gauge
from aioprometheus.collectors import Histogram
from aioprometheus.collectors import Registry
from aioprometheus.histogram import Histogram as BucketHistogram
from aioprometheus.renderer import render
import trio

from snipelead.types import Ran

__all__ = ['ControlMetrics', 'NodeMetrics']

ADDED_LATENCY_BUCKETS_S = (
    0.0001,
    0.00024,
    0.00048,
    0.001,
    0.002,
    0.005,
    0.02,
    0.1,
    1,
)
LATENCY_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1, 5)
ATTEMPT_BUCKETS = (1, 2, 3, 5, 10)
CONVERGENCE_BUCKETS_S = (0.1, 0.25, 0.5, 1, 2, 5, 10, 17, 60)
# Further tenants share one label value, so that made-up tenant names cannot
# exhaust the memory.
MAX_TENANTS = 100
OTHER_TENANTS_LABEL = 'other'
# Status counted for calls whose caller disconnected; never sent to a caller.
CALLER_DISCONNECTED_STATUS = 499


class _Metrics:
    """Metrics registry and its text exposition.

    Attributes
    ----------
    budget : CallerBudget or None
        Limits on callers whose use is exposed.
    """

    def __init__(self):
        self.registry = Registry()
        self.budget = None
        self.limited_connections = Counter(
            'snipelead_limited_connections_total',
            'Accepted connections that were closed, by limit.',
            registry=self.registry,
        )
        self.accepted_connections = Gauge(
            'snipelead_accepted_connections',
            'Open connections that the process has accepted.',
            registry=self.registry,
        )
        self.buffered_bytes = Gauge(
            'snipelead_buffered_bytes',
            'Estimated memory of requests and responses of callers.',
            registry=self.registry,
        )

    def render(self, accept=()):
        """Return the exposition of all metrics.

        Parameters
        ----------
        accept : sequence of str
            Values of the Accept header field of the request.

        Returns
        -------
        tuple of (bytes, dict)
            Body and header fields of the response.
        """
        budget = self.budget
        if budget is not None:
            for kind, count in budget.closed_counts.items():
                self.limited_connections.set({'limit': kind.value}, count)
            self.accepted_connections.set({}, len(budget.accounts))
            self.buffered_bytes.set({}, budget.used_bytes)
        return render(self.registry, list(accept))


class _LabelledBuckets:
    """Histogram buckets of one tenant and request class.

    They are cached, since the library encodes the labels on each look-up.

    Parameters
    ----------
    metrics : NodeMetrics
        Histograms that the buckets are added to.
    labels : dict of str to str
        Label values.
    """

    __slots__ = ('added_latency', 'attempts', 'queue_wait', 'target_time')

    def __init__(self, metrics, labels):
        self.added_latency = _add_buckets(metrics.added_latency, labels)
        self.target_time = _add_buckets(metrics.target_time, labels)
        self.queue_wait = _add_buckets(metrics.queue_wait, labels)
        self.attempts = _add_buckets(metrics.attempts, labels)


def _add_buckets(histogram, labels):
    """Add empty buckets with the labels to a histogram and return them."""
    buckets = BucketHistogram(*histogram.upper_bounds)
    histogram.set_value(labels, buckets)
    return buckets


def _cancelled_call_status(call):
    """Return the status to count for a call without a response."""
    return (
        CALLER_DISCONNECTED_STATUS
        if call.caller_disconnected
        else HTTPStatus.GATEWAY_TIMEOUT
    )


def _make_quota_counter(registry, name, description):
    return Counter(name, description, registry=registry)


def _copy_quota_counts(counter, counts):
    """Copy counts by customer and result to the library's counter."""
    for (customer, result), count in counts.items():
        counter.set({'customer': customer, 'result': result}, count)


class NodeMetrics(_Metrics):
    """Metrics of a node.

    Attributes
    ----------
    added_latency, target_time, queue_wait : Histogram
        Latency added by the node, latency of the target and wait for a
        slot, in seconds, by tenant and request class.
    attempts : Histogram
        Attempts of each call, by tenant and request class.
    calls : Counter
        Calls by status and by whether a target ran them.
    rate_limits : Gauge
        Rate limits that targets have stated, in requests per second, by
        target.
    get_rate_limits : callable
        Returns the values of ``rate_limits`` by target id.
    target_crashes, quarantine_refusals : Counter
        Crashes of local targets, and requests refused because copies of them
        crash targets.
    watched_requests : Gauge
        Requests that were running when targets crashed, by verdict.
    get_quarantine_counts : callable
        Returns the values of these three: two integers and a dictionary from
        each verdict to an integer.
    rollout_requests : Gauge
        Requests sent to the new version of each service, as long as this
        node has been running.
    get_rollout_requests : callable
        Returns the values of ``rollout_requests`` by service.
    api_key_refusals : Counter
        Requests refused for their API key or for want of a lease, by code.
    revocation_lease : Gauge
        Time left of the lease under which API keys are accepted, in seconds;
        without a value if revocation is not bounded.
    authenticator : Authenticator or None
        Gives the values of these two.
    shared_loads : Gauge
        Targets whose recent load the node knows from other nodes.
    get_shared_load_count : callable
        Returns the value of ``shared_loads``.
    early_refusals : Counter
        Requests refused without forwarding them, by route.
    early_refusal_counts : dict of RouteName to int
        Values of ``early_refusals``.
    target_slots : Gauge
        Requests that local targets get at a time, by target.
    get_target_slots : callable
        Returns the values of ``target_slots`` by target id.
    quota_requests : Counter
        Requests of customers with a rate limit, by customer and result.
    get_quota_counts : callable
        Returns the values of ``quota_requests`` by customer and result.
    buckets_by_key : dict of tuple to _LabelledBuckets
        Buckets by tenant and request class.
    call_counts : Counter
        Values of ``calls`` by status and :class:`~snipelead.types.Ran`.
    labelled_tenants : set of TenantName
        Tenants with a label value of their own.
    """

    def __init__(self):
        super().__init__()
        self.added_latency = Histogram(
            'snipelead_call_added_seconds',
            'Latency added to a call, without target and queue.',
            registry=self.registry,
            buckets=ADDED_LATENCY_BUCKETS_S,
        )
        self.target_time = Histogram(
            'snipelead_call_target_seconds',
            'Time until the target began to answer.',
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self.queue_wait = Histogram(
            'snipelead_call_queue_seconds',
            'Wait for a slot of the target.',
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self.attempts = Histogram(
            'snipelead_call_attempts',
            'Attempts of a call.',
            registry=self.registry,
            buckets=ATTEMPT_BUCKETS,
        )
        self.calls = Counter(
            'snipelead_calls_total',
            'Calls by status of the answer and by whether they ran.',
            registry=self.registry,
        )
        self.rate_limits = Gauge(
            'snipelead_target_rate_limit',
            'Requests per second that a target accepts from all nodes.',
            registry=self.registry,
        )
        self.get_rate_limits = dict
        self.target_crashes = Counter(
            'snipelead_target_crashes_total',
            'Crashes of local targets while they were running requests.',
            registry=self.registry,
        )
        self.quarantine_refusals = Counter(
            'snipelead_quarantine_refusals_total',
            'Requests refused because copies of them crash targets.',
            registry=self.registry,
        )
        self.watched_requests = Gauge(
            'snipelead_watched_requests',
            'Requests that were running when targets crashed, by verdict.',
            registry=self.registry,
        )
        self.get_quarantine_counts = lambda: (0, 0, {})
        self.rollout_requests = Gauge(
            'snipelead_rollout_requests',
            'Requests sent to the new version since the order.',
            registry=self.registry,
        )
        self.get_rollout_requests = dict
        self.api_key_refusals = Counter(
            'snipelead_api_key_refusals_total',
            'Requests refused for their API key or for want of a lease.',
            registry=self.registry,
        )
        self.revocation_lease = Gauge(
            'snipelead_revocation_lease_seconds',
            'Time left of the lease under which API keys are accepted.',
            registry=self.registry,
        )
        self.authenticator = None
        self.shared_loads = Gauge(
            'snipelead_shared_loads',
            'Targets whose recent load is known from other nodes.',
            registry=self.registry,
        )
        self.get_shared_load_count = int
        self.early_refusals = Counter(
            'snipelead_early_refusals_total',
            'Requests refused without forwarding them, since the service is'
            ' full.',
            registry=self.registry,
        )
        self.early_refusal_counts = {}
        self.target_slots = Gauge(
            'snipelead_target_slots',
            'Requests that a local target gets at a time.',
            registry=self.registry,
        )
        self.get_target_slots = dict
        self.quota_requests = _make_quota_counter(
            self.registry,
            'snipelead_quota_requests_total',
            'Requests of customers with a rate limit, by result.',
        )
        self.get_quota_counts = dict
        self.buckets_by_key = {}
        # Counted here and copied to the library's counter on rendering,
        # since that counter encodes its labels on each update.
        self.call_counts = CollectionsCounter()
        self.labelled_tenants = set()

    def observe_call(self, call):
        """Record a finished call.

        Parameters
        ----------
        call : Call
            Call that ended, with or without a response.
        """
        key = (call.tenant, call.request_class)
        buckets = self.buckets_by_key.get(key) or self._add_labelled_buckets(
            key
        )
        if call.ran is Ran.YES and call.target_time_s:
            # The latency of the target is only known if it responded. A
            # request can count as run without a response in this call, for
            # example if its idempotency key belongs to an earlier run or if
            # the response was lost.
            elapsed_s = trio.current_time() - call.started_at
            added_latency_s = max(
                0.0, elapsed_s - call.target_time_s - call.queue_wait_s
            )
            buckets.added_latency.observe(added_latency_s)
            buckets.target_time.observe(call.target_time_s)
        buckets.queue_wait.observe(call.queue_wait_s)
        buckets.attempts.observe(call.attempts)
        status = call.status or _cancelled_call_status(call)
        self.count_call(status, call.outcome)

    def count_call(self, status, ran):
        """Count a call by status and by whether a target ran it."""
        self.call_counts[status, ran] += 1

    def render(self, accept=()):
        """Return the exposition of all metrics; see the base class."""
        for (status, ran), count in self.call_counts.items():
            labels = {'status': f'{status:d}', 'ran': ran.value}
            self.calls.set(labels, count)
        self.rate_limits.values.clear()
        for target_id, rate_limit in self.get_rate_limits().items():
            self.rate_limits.set({'target': target_id}, rate_limit)
        crash_count, refusal_count, watched = self.get_quarantine_counts()
        self.target_crashes.set({}, crash_count)
        for service, count in self.get_rollout_requests().items():
            self.rollout_requests.set({'service': service}, count)
        self.quarantine_refusals.set({}, refusal_count)
        self.shared_loads.set({}, self.get_shared_load_count())
        self.target_slots.values.clear()
        for target_id, slots in self.get_target_slots().items():
            self.target_slots.set({'target': target_id}, slots)
        for route, count in self.early_refusal_counts.items():
            self.early_refusals.set({'route': route}, count)
        for verdict, count in watched.items():
            self.watched_requests.set({'verdict': verdict.value}, count)
        if self.authenticator is not None:
            self._set_authentication_values()
        _copy_quota_counts(self.quota_requests, self.get_quota_counts())
        return super().render(accept)

    def _set_authentication_values(self):
        for code, count in self.authenticator.refusals.items():
            self.api_key_refusals.set({'code': code}, count)
        remaining_s = self.authenticator.lease_remaining_s()
        if remaining_s is not None:
            self.revocation_lease.set({}, remaining_s)

    def _add_labelled_buckets(self, key):
        tenant, request_class = key
        if (
            tenant not in self.labelled_tenants
            and len(self.labelled_tenants) >= MAX_TENANTS
        ):
            key = (OTHER_TENANTS_LABEL, request_class)
            if key in self.buckets_by_key:
                return self.buckets_by_key[key]
        else:
            self.labelled_tenants.add(tenant)
        labels = {'tenant': key[0], 'class': request_class.value}
        buckets = _LabelledBuckets(self, labels)
        self.buckets_by_key[key] = buckets
        return buckets


class ControlMetrics(_Metrics):
    """Metrics of a control process.

    Attributes
    ----------
    convergence : Histogram
        Time from the acceptance of a release until a node confirmed it, in
        seconds, by preference of the deployment.
    rollout_reserved : Gauge
        Requests to the new version that may be granted, by service and phase
        of its newest rollout.
    get_rollouts : callable
        Returns the values of ``rollout_reserved`` by service and phase.
    leases : Counter
        Answers to nodes that asked for a lease, by whether it was granted.
    quota_tokens : Counter
        Tokens of rate limits granted and denied by this control, by customer.
    get_quota_counts : callable
        Returns the values of ``quota_tokens`` by customer and result.
    """

    def __init__(self):
        super().__init__()
        self.convergence = Histogram(
            'snipelead_convergence_seconds',
            'Time from acceptance until a node confirmed the release.',
            registry=self.registry,
            buckets=CONVERGENCE_BUCKETS_S,
        )
        self.rollout_reserved = Gauge(
            'snipelead_rollout_reserved',
            'Requests to the new version that may be granted.',
            registry=self.registry,
        )
        self.get_rollouts = dict
        self.leases = Counter(
            'snipelead_revocation_leases_total',
            'Answers to nodes that asked for a lease on API keys.',
            registry=self.registry,
        )
        self.quota_tokens = _make_quota_counter(
            self.registry,
            'snipelead_quota_tokens_total',
            'Tokens of rate limits granted and denied to nodes.',
        )
        self.get_quota_counts = dict

    def render(self, accept=()):
        """Return the exposition of all metrics; see the base class."""
        self.rollout_reserved.values.clear()
        for (service, phase), count in self.get_rollouts().items():
            labels = {'service': service, 'phase': phase}
            self.rollout_reserved.set(labels, count)
        _copy_quota_counts(self.quota_tokens, self.get_quota_counts())
        return super().render(accept)

    def count_lease(self, granted):
        """Count an answer to a node that asked for a lease."""
        self.leases.inc({'granted': 'yes' if granted else 'no'})

    def observe_convergence(self, preference, seconds):
        """Record the confirmation of a release by a node.

        Parameters
        ----------
        preference : str
            Value of the :class:`~snipelead.types.Preference`.
        seconds : float
            Time since the release was accepted.
        """
        self.convergence.observe({'preference': preference}, seconds)
