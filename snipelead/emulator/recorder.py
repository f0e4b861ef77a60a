"""Records call outcomes and audits them against the run logs of targets."""

from collections import Counter
from enum import Enum

from hdrh.histogram import HdrHistogram
from msgspec import field
from msgspec import Struct

from snipelead.types import Ran

__all__ = ['Audit', 'CallOutcome', 'CallRecord', 'Recorder']

MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3


class CallOutcome(Enum):
    """Outcome of a call from the point of view of its caller."""

    DONE = 'done'
    REFUSED = 'refused'
    FAILED = 'failed'
    CONNECTION_FAILED = 'broken'
    LATE = 'late'
    INVALID = 'wrong'


class CallRecord(Struct):
    """One call as seen by its caller.

    Parameters
    ----------
    request_id : str
        Unique id of the request.
    tenant, request_class : str
        Group that the call is counted in.
    key : str
        Idempotency key, empty if the request has none.
    repeatable : bool
        Whether the request may run more than once.
    outcome : CallOutcome
        Outcome of the call.
    ran : Ran
        Whether the request ran, according to the response.
    code : str
        Error code of the response, empty if it has none.
    latency_s : float
        Time from the intended start to the end of the call, in seconds.
    """

    request_id: str
    tenant: str
    request_class: str
    key: str = ''
    repeatable: bool = True
    outcome: CallOutcome = CallOutcome.CONNECTION_FAILED
    ran: Ran = Ran.UNKNOWN
    code: str = ''
    latency_s: float = 0.0


class Audit(Struct):
    """Comparison of responses with run logs.

    Everything but ``repeated`` is a violation and must be empty.

    Parameters
    ----------
    duplicated : list of str
        Ids of non-repeatable requests that ran more than once.
    lost : list of str
        Ids of requests reported as done that no target ran.
    misreported : list of str
        Ids of requests reported as not run that a target ran.
    invalid : list of str
        Ids of requests whose response was incomplete or belonged to another
        request.
    repeated : int
        Number of repeatable requests that ran more than once, which is
        allowed.
    """

    duplicated: list[str] = field(default_factory=list)
    lost: list[str] = field(default_factory=list)
    misreported: list[str] = field(default_factory=list)
    invalid: list[str] = field(default_factory=list)
    repeated: int = 0

    @property
    def has_no_violations(self):
        """Whether the audit found no violation."""
        return not (
            self.duplicated or self.lost or self.misreported or self.invalid
        )


class Recorder:
    """Records finished calls and latency histograms by class and tenant.

    Attributes
    ----------
    calls : list of CallRecord
        All finished calls.
    histograms : dict of (str, str) to HdrHistogram
        Latency of successful calls in microseconds, by class and tenant.
    outcome_counts : Counter
        Number of calls by class, tenant and outcome.
    code_counts : Counter
        Number of calls by error code.
    """

    def __init__(self):
        self.calls = []
        self.histograms = {}
        self.outcome_counts = Counter()
        self.code_counts = Counter()

    def add(self, call):
        """Record a finished call."""
        self.calls.append(call)
        group = (call.request_class, call.tenant)
        self.outcome_counts[(*group, call.outcome)] += 1
        if call.code:
            self.code_counts[call.code] += 1
        if call.outcome is CallOutcome.DONE:
            microseconds = max(1, int(call.latency_s * 1e6))
            self.histogram(group).record_value(microseconds)

    def histogram(self, group):
        """Return the histogram of a (class, tenant) pair."""
        if group not in self.histograms:
            self.histograms[group] = HdrHistogram(
                1, MAX_LATENCY_US, SIGNIFICANT_DIGITS
            )
        return self.histograms[group]

    def groups(self):
        """Return the recorded (class, tenant) pairs in sorted order."""
        return sorted({group[:2] for group in self.outcome_counts})

    def percentile_ms(self, group, percent):
        """Return a latency percentile of successful calls in milliseconds."""
        return self.histogram(group).get_value_at_percentile(percent) / 1e3

    def audit(self, runs):
        """Compare the recorded calls with the runs of all targets.

        Parameters
        ----------
        runs : iterable of Run
            Combined run logs of all targets.

        Returns
        -------
        Audit
        """
        runs_by_id = Counter()
        runs_by_key = Counter()
        for run in runs:
            runs_by_id[run.request_id] += 1
            if run.key:
                runs_by_key[run.key] += 1
        audit = Audit()
        for call in self.calls:
            self._audit_call(audit, call, runs_by_id, runs_by_key)
        return audit

    def _audit_call(self, audit, call, runs_by_id, runs_by_key):
        run_count = runs_by_id[call.request_id]
        if run_count > 1 and call.repeatable:
            audit.repeated += 1
        if not call.repeatable and max(run_count, runs_by_key[call.key]) > 1:
            audit.duplicated.append(call.request_id)
        if call.outcome is CallOutcome.DONE and run_count == 0:
            audit.lost.append(call.request_id)
        if call.ran is Ran.NO and run_count > 0:
            audit.misreported.append(call.request_id)
        if call.outcome is CallOutcome.INVALID:
            audit.invalid.append(call.request_id)
