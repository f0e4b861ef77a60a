"""Record of what callers got, checked against what targets ran."""

from collections import Counter
from enum import Enum

from hdrh.histogram import HdrHistogram
from msgspec import field
from msgspec import Struct

from snipelead.types import Ran

__all__ = ['AnswerKind', 'Audit', 'CallRecord', 'Recorder']

LONGEST_US = 120_000_000
SIGNIFICANT_DIGITS = 3


class AnswerKind(Enum):
    """How a call ended for its caller."""

    DONE = 'done'
    REFUSED = 'refused'
    FAILED = 'failed'
    BROKEN = 'broken'
    LATE = 'late'
    WRONG = 'wrong'


class CallRecord(Struct):
    """One call as its caller saw it.

    Parameters
    ----------
    request_id : str
        Unique id.
    tenant, request_class : str
        Group that the call is counted in.
    key : str
        Idempotency key, or empty.
    repeatable : bool
        Whether several runs are allowed.
    kind : AnswerKind
        How it ended.
    ran : Ran
        What the answer says about the run.
    code : str
        Error code of the answer, or empty.
    latency_s : float
        Time from the intended start to the end, in seconds.
    """

    request_id: str
    tenant: str
    request_class: str
    key: str = ''
    repeatable: bool = True
    kind: AnswerKind = AnswerKind.BROKEN
    ran: Ran = Ran.UNKNOWN
    code: str = ''
    latency_s: float = 0.0


class Audit(Struct):
    """Comparison of answers and run logs; all counts but one must be 0.

    Parameters
    ----------
    doubled : list of str
        Requests run more than once that may not be repeated.
    lost : list of str
        Requests answered as done that no target ran.
    untrue : list of str
        Requests answered as not run that a target ran.
    wrong : list of str
        Requests that got an answer not whole or not their own.
    repeated : int
        Repeatable requests run more than once, which is allowed.
    """

    doubled: list[str] = field(default_factory=list)
    lost: list[str] = field(default_factory=list)
    untrue: list[str] = field(default_factory=list)
    wrong: list[str] = field(default_factory=list)
    repeated: int = 0

    @property
    def clean(self):
        """Whether nothing is doubled, lost, untrue or wrong."""
        return not (self.doubled or self.lost or self.untrue or self.wrong)


class Recorder:
    """Collects calls and a histogram for each class and tenant.

    Attributes
    ----------
    calls : list of CallRecord
        All calls that ended.
    histograms : dict of (str, str) to HdrHistogram
        Latency of done calls in microseconds, by class and tenant.
    """

    def __init__(self):
        self.calls = []
        self.histograms = {}
        self.kinds = Counter()
        self.codes = Counter()

    def add(self, call):
        """Count a call that ended."""
        self.calls.append(call)
        group = (call.request_class, call.tenant)
        self.kinds[(*group, call.kind)] += 1
        if call.code:
            self.codes[call.code] += 1
        if call.kind is AnswerKind.DONE:
            microseconds = max(1, int(call.latency_s * 1e6))
            self.histogram(group).record_value(microseconds)

    def histogram(self, group):
        """Return the histogram of a (class, tenant) pair."""
        if group not in self.histograms:
            self.histograms[group] = HdrHistogram(
                1, LONGEST_US, SIGNIFICANT_DIGITS
            )
        return self.histograms[group]

    def groups(self):
        """Return the (class, tenant) pairs seen, in order."""
        return sorted({group[:2] for group in self.kinds})

    def quantile_ms(self, group, percent):
        """Return a percentile of done calls in milliseconds."""
        return self.histogram(group).get_value_at_percentile(percent) / 1e3

    def audit(self, runs):
        """Compare the calls with the runs of all targets.

        Parameters
        ----------
        runs : iterable of Run
            Run logs of all targets together.

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
        ran = runs_by_id[call.request_id]
        if ran > 1 and call.repeatable:
            audit.repeated += 1
        if not call.repeatable and max(ran, runs_by_key[call.key]) > 1:
            audit.doubled.append(call.request_id)
        if call.kind is AnswerKind.DONE and ran == 0:
            audit.lost.append(call.request_id)
        if call.ran is Ran.NO and ran > 0:
            audit.untrue.append(call.request_id)
        if call.kind is AnswerKind.WRONG:
            audit.wrong.append(call.request_id)
