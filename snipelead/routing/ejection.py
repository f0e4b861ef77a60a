"""Ejection of targets that lose requests, and the way back.

A target that is ejected gets no requests for a while, and after that one at a
time, the probe, until it responds to a request. The probe belongs to the
request that began it: it ends with that request, whatever ends the request.
"""

from enum import Enum

__all__ = ['Ejection', 'FailureHistory', 'FailureVerdict', 'TargetRequest']

FAILURES_TO_EJECT = 3
# Duration of the first ejection; each consecutive one lasts twice as long.
BASE_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
# A probe that takes longer does not keep the next one from being sent.
MAX_PROBE_S = 1.0
# Pause after a probe that got no response until its deadline.
UNANSWERED_PROBE_PAUSE_S = 1.0


class FailureVerdict(Enum):
    """What a failed request tells of its target."""

    # It adds to the failures in a row.
    COUNTED = 'counted'
    # The target is still down.
    PROBE_FAILED = 'probe failed'
    # The request began before the target was ejected or restarted.
    OUTDATED = 'outdated'


class Ejection:
    """Ejection of one incarnation of a target.

    All points in time are in seconds of trio's clock.

    Parameters
    ----------
    until : float
        No request is sent before this time.

    Attributes
    ----------
    probe : TargetRequest or None
        Request in flight that shows whether the target is back.
    probe_until : float
        No other request is sent before this time while there is a probe.
    """

    __slots__ = ('probe', 'probe_until', 'until')

    def __init__(self, until):
        self.until = until
        self.probe = None
        self.probe_until = 0.0

    @property
    def next_probe_at(self):
        """When the next request may be sent, if the probe does not end."""
        if self.probe is None:
            return self.until
        return max(self.until, self.probe_until)

    def begin_probe(self, request, now):
        """Make a request the probe, unless it is sent too early for that."""
        if now >= self.next_probe_at:
            self.probe = request
            self.probe_until = now + MAX_PROBE_S

    def end_probe(self, request):
        """End the probe if the request still is the probe."""
        if self.probe is request:
            self.probe = None

    def postpone(self, now):
        """Pause after a probe that got no response in time."""
        self.until = max(self.until, now + UNANSWERED_PROBE_PAUSE_S)


class FailureHistory:
    """Failures of a target since its last response.

    Attributes
    ----------
    consecutive_failures : int
        Failures since the last response.
    consecutive_ejections : int
        Ejections since the last response; each lasts twice as long as the
        one before.
    ejection : Ejection or None
        Present ejection; None if the target is not ejected.
    """

    __slots__ = ('consecutive_ejections', 'consecutive_failures', 'ejection')

    def __init__(self):
        self.clear()

    def clear(self):
        """Forget all failures; the target may be used again."""
        self.consecutive_failures = 0
        self.consecutive_ejections = 0
        self.ejection = None

    def record(self, verdict, now):
        """Record a failure and eject the target if that follows from it.

        Parameters
        ----------
        verdict : FailureVerdict
            What the failure tells.
        now : float
            Time in seconds of trio's clock.
        """
        if verdict is FailureVerdict.OUTDATED:
            return
        self.consecutive_failures += 1
        if (
            verdict is FailureVerdict.PROBE_FAILED
            or self.consecutive_failures >= FAILURES_TO_EJECT
        ):
            delay_s = min(
                MAX_EJECTION_S, BASE_EJECTION_S * 2**self.consecutive_ejections
            )
            self.consecutive_ejections += 1
            self.ejection = Ejection(now + delay_s)


class TargetRequest:
    """Request of this node to a target; a context manager that ends it.

    Parameters
    ----------
    observation : TargetObservation
        Target that the request is sent to.
    now : float
        Time in seconds of trio's clock.

    Attributes
    ----------
    incarnations : tuple of Incarnation
        See :attr:`TargetObservation.incarnations`.
    ejection : Ejection or None
        Ejection of the target when the request began.
    """

    __slots__ = ('ejection', 'incarnations', 'observation')

    def __init__(self, observation, now):
        self.observation = observation
        self.incarnations = observation.incarnations
        self.ejection = observation.ejection
        observation.in_flight += 1
        if self.ejection is not None:
            self.ejection.begin_probe(self, now)

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.end()

    def end(self):
        """Count the request as ended, and the probe if it is the probe."""
        self.observation.in_flight -= 1
        if self.ejection is not None:
            self.ejection.end_probe(self)

    @property
    def is_probe(self):
        """Whether the request is the probe of the present ejection."""
        ejection = self.ejection
        return (
            ejection is not None
            and ejection is self.observation.ejection
            and ejection.probe is self
        )

    @property
    def is_of_current_incarnation(self):
        """Whether the target has not been restarted since the request."""
        return self.incarnations == self.observation.incarnations

    def judge_failure(self):
        """Return what a failure of the request tells of its target."""
        if not self.is_of_current_incarnation:
            return FailureVerdict.OUTDATED
        if self.is_probe:
            return FailureVerdict.PROBE_FAILED
        if self.observation.ejection is not None:
            return FailureVerdict.OUTDATED
        return FailureVerdict.COUNTED

    def record_timeout(self, now):
        """Record that no response came until the deadline.

        It does not tell a slow target from one that is down, so the target
        stays as it is; as a probe the request only delays the next one.
        """
        if self.is_probe:
            self.ejection.postpone(now)
