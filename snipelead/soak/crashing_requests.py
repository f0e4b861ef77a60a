"""Requests under which targets end, and how often they reach targets."""

from collections import defaultdict

from snipelead.soak.disturbances import ANY_CONTROL
from snipelead.soak.disturbances import STABILIZATION_S

__all__ = ['CRASHING_PREFIXES', 'CrashingRequests']

# Path prefixes of the crashing requests of a run, one of which is unsafe.
CRASHING_PREFIXES = {
    '/reads/crash-1': '/reads/',
    '/orders/crash-2': '/orders/',
    '/reads/crash-3': '/reads/',
}
# Bounds that the platform states: so many copies of a request reach targets
# after it has crashed some and the fleet has had time to learn of it.
CRASHES_UNTIL_BOUND = 3
MAX_FURTHER_ARRIVALS = 3


class CrashingRequests:
    """Chooses crashing requests for the clients and checks their arrivals.

    Parameters
    ----------
    checker : HistoryChecker
        Reports violations; gives the time and the disturbances.

    Attributes
    ----------
    active : list of str
        Paths of which clients send copies at present.
    crashes : dict of str to list of float
        Times at which targets ended under a request, by path.
    further_arrivals : dict of str to int
        Arrivals that count against the bound, by path.
    """

    def __init__(self, checker):
        self.checker = checker
        self.active = []
        self.crashes = defaultdict(list)
        self.further_arrivals = defaultdict(int)

    def record_crash(self, path):
        """Record that a target ends under a request."""
        self.checker.counts['crashes under requests'] += 1
        self.crashes[path].append(self.checker.clock())

    def record_arrival(self, record):
        """Record that a request reaches a target, and check the bound.

        Parameters
        ----------
        record : RequestRecord
            The request; it counts for the node that it was sent to.
        """
        crashes = self.crashes.get(record.path, ())
        if len(crashes) < CRASHES_UNTIL_BOUND:
            return
        now = self.checker.clock()
        if now <= crashes[CRASHES_UNTIL_BOUND - 1] + STABILIZATION_S:
            return
        if not self.checker.disturbances.is_undisturbed(
            (record.node, ANY_CONTROL), record.sent_at, now
        ):
            return
        self.further_arrivals[record.path] += 1
        if self.further_arrivals[record.path] > MAX_FURTHER_ARRIVALS:
            self.checker.fail(
                'BUDGET',
                f'{record.path} reached targets'
                f' {self.further_arrivals[record.path]} times more after it'
                f' had crashed three; {len(crashes)} in all',
            )
