"""Metrics of the processes, kept by aioprometheus."""

from collections import Counter as PlainCounter
from http import HTTPStatus

from aioprometheus.collectors import Counter
from aioprometheus.collectors import Histogram
from aioprometheus.collectors import Registry
from aioprometheus.histogram import Histogram as Buckets
from aioprometheus.renderer import render
import trio

from snipelead.types import Ran

__all__ = ['ControlMetrics', 'NodeMetrics']

ADDED_BUCKETS_S = (0.0001, 0.00024, 0.00048, 0.001, 0.002, 0.005, 0.02, 0.1, 1)
LATENCY_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1, 5)
ATTEMPT_BUCKETS = (1, 2, 3, 5, 10)
CONVERGENCE_BUCKETS_S = (0.1, 0.25, 0.5, 1, 2, 5, 10, 17, 60)
# Tenants beyond this many share one label, so that callers cannot fill the
# memory by inventing names.
MAX_TENANTS = 100
OTHER_TENANTS = 'other'
# Counted for callers that went away; no answer has this status.
CALLER_GONE_STATUS = 499


class _Metrics:
    """Registry with its rendering."""

    def __init__(self):
        self.registry = Registry()

    def render(self, accept=()):
        """Return the exposition of all metrics.

        Parameters
        ----------
        accept : sequence of str
            Accept header values of the request.

        Returns
        -------
        tuple of (bytes, dict)
            Body and header fields.
        """
        return render(self.registry, list(accept))


class _LabelledBuckets:
    """Buckets of one tenant and class, found once and then kept."""

    __slots__ = ('added', 'attempts', 'queue', 'target')

    def __init__(self, metrics, labels):
        self.added = _add(metrics.added, labels)
        self.target = _add(metrics.target, labels)
        self.queue = _add(metrics.queue, labels)
        self.attempts = _add(metrics.attempts, labels)


def _add(histogram, labels):
    buckets = Buckets(*histogram.upper_bounds)
    histogram.set_value(labels, buckets)
    return buckets


def _status_of_cancelled(call):
    """Return the status of a call that has no answer of its own yet."""
    return CALLER_GONE_STATUS if call.gone else HTTPStatus.GATEWAY_TIMEOUT


class NodeMetrics(_Metrics):
    """Histograms of a node by tenant and request class.

    Attributes
    ----------
    added, target, queue : Histogram
        Latency added by the node, latency of the target and wait for a
        slot, in seconds.
    attempts : Histogram
        Attempts of each call.
    calls : Counter
        Calls by status and by whether they ran.
    """

    def __init__(self):
        super().__init__()
        self.added = Histogram(
            'snipelead_call_added_seconds',
            'Latency added to a call, without target and queue.',
            registry=self.registry,
            buckets=ADDED_BUCKETS_S,
        )
        self.target = Histogram(
            'snipelead_call_target_seconds',
            'Time until the target began to answer.',
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self.queue = Histogram(
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
        self.by_label = {}
        # Counted here and handed to the library when it renders, since its
        # counters encode their labels each time.
        self.counts = PlainCounter()
        self.tenants = set()

    def observe_call(self, call):
        """Record the end of a call."""
        key = (call.tenant, call.request_class)
        buckets = self.by_label.get(key) or self._add_label(key)
        if call.ran is Ran.YES and call.target_s:
            # Without an answer the target's share of the time is not known.
            # A request may have run without one here, as when its key is
            # that of an earlier run or its answer was lost.
            total_s = trio.current_time() - call.started_at
            added_s = max(0.0, total_s - call.target_s - call.queue_wait_s)
            buckets.added.observe(added_s)
            buckets.target.observe(call.target_s)
        buckets.queue.observe(call.queue_wait_s)
        buckets.attempts.observe(call.attempts)
        status = call.status or _status_of_cancelled(call)
        self.count(status, call.outcome)

    def count(self, status, ran):
        """Count an answer by its status and by whether the request ran."""
        self.counts[status, ran] += 1

    def render(self, accept=()):
        """Return the exposition of all metrics; see the base class."""
        for (status, ran), count in self.counts.items():
            labels = {'status': f'{status:d}', 'ran': ran.value}
            self.calls.set(labels, count)
        return super().render(accept)

    def _add_label(self, key):
        tenant, request_class = key
        if tenant not in self.tenants and len(self.tenants) >= MAX_TENANTS:
            key = (OTHER_TENANTS, request_class)
            if key in self.by_label:
                return self.by_label[key]
        else:
            self.tenants.add(tenant)
        labels = {'tenant': key[0], 'class': request_class.value}
        buckets = _LabelledBuckets(self, labels)
        self.by_label[key] = buckets
        return buckets


class ControlMetrics(_Metrics):
    """Histograms of a control.

    Attributes
    ----------
    convergence : Histogram
        Time from acceptance of a release until a node confirmed it, in
        seconds.
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
        """Record that a node confirmed a release."""
        self.convergence.observe({'preference': preference}, seconds)
