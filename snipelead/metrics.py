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
        self.quarantine_refusals.set({}, refusal_count)
        for verdict, count in watched.items():
            self.watched_requests.set({'verdict': verdict.value}, count)
        return super().render(accept)

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
    """

    def __init__(self):
        super().__init__()
        self.convergence = Histogram(
            'snipelead_convergence_seconds',
            'Time from acceptance until a node confirmed the release.',
            registry=self.registry,
            buckets=CONVERGENCE_BUCKETS_S,
        )

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
