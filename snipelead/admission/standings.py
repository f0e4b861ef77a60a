"""Judgement of the requests that enter the system at a node."""

import trio

from snipelead.admission.standing import RequestStanding
from snipelead.admission.usual_rates import UsualRates
from snipelead.admission.work_calls import WorkCallTracker

__all__ = ['StandingTracker']

# Tenants of requests without a customer.
_NO_CUSTOMER = ('', 'default')


class StandingTracker:
    """Judges the standing of each request of a route with an objective.

    Parameters
    ----------
    limiters : TargetLimiters
        Tell whether the local target is running work.

    Attributes
    ----------
    work_calls : WorkCallTracker
        Learns which routes are called by work in progress.
    usual_rates : UsualRates
        Learns the usual rates of customers.
    """

    def __init__(self, limiters):
        self.limiters = limiters
        self.work_calls = WorkCallTracker()
        self.usual_rates = UsualRates()

    def assess(self, call):
        """Set the standing of a call that has just entered the system."""
        if (
            call.latency_deadline is None
            or not self.limiters.limits.sheds_load
        ):
            return
        now = trio.current_time()
        if call.tenant in _NO_CUSTOMER:
            is_running = self.limiters.running > 0
            call.standing = RequestStanding(
                from_work=self.work_calls.record(call.route, is_running, now)
            )
        else:
            call.standing = RequestStanding(
                beyond_usual=self.usual_rates.record(call.tenant, now)
            )
