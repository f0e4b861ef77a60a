"""Concurrency limiters of all local targets of a node."""

import trio

from snipelead.callers.exceptions import TargetLeavingError
from snipelead.nodes.attempts import AttemptTable
from snipelead.nodes.target_limiter import TargetLimiter
from snipelead.releases.document import MAX_DEADLINE_MS
from snipelead.targets.status import TargetStatuses

__all__ = ['TargetLimiters']

# An attempt is remembered for longer than it can be in flight. That is limited
# by its deadline and the timeout of idle connections.
ATTEMPT_RETENTION_S = 2 * MAX_DEADLINE_MS / 1_000


class TargetLimiters:
    """Concurrency limiters of the local targets.

    Parameters
    ----------
    local_targets : LocalTargets
        Local targets of the node.
    sender : TargetSender
        Connections to the local targets.
    limits : NodeLimits
        Limits of the queues.
    tick_s : float
        Interval at which :meth:`tick` is called, in seconds.
    holder : ReleaseHolder or None
        Holds the release with the latency objectives of the routes.
    statuses : TargetStatuses or None
        Statuses that targets have stated.
    crash_detector : CrashDetector or None
        Notices when a local target crashes.

    Attributes
    ----------
    attempts : AttemptTable
        Attempts to all targets that must not be admitted twice.
    by_target : dict of TargetId to TargetLimiter
        Limiters of the targets that have received requests.
    stopping : bool
        Whether the node is stopping and refuses requests of other nodes.
    """

    def __init__(
        self,
        local_targets,
        sender,
        limits,
        tick_s,
        holder=None,
        statuses=None,
        crash_detector=None,
    ):
        self.local_targets = local_targets
        self.sender = sender
        self.limits = limits
        self.holder = holder
        self.statuses = statuses or TargetStatuses()
        self.crash_detector = crash_detector
        self.attempts = AttemptTable(int(ATTEMPT_RETENTION_S / tick_s))
        self.by_target = {}
        self.stopping = False

    @property
    def in_flight(self):
        """Number of requests that run at local targets or wait for them."""
        return sum(
            limiter.in_flight + limiter.waiting
            for limiter in self.by_target.values()
        )

    @property
    def running(self):
        """Number of requests that run at local targets."""
        return sum(limiter.in_flight for limiter in self.by_target.values())

    def target_slots(self):
        """Return the requests that each target gets at a time, by id."""
        return {
            target_id: limiter.slots
            for target_id, limiter in self.by_target.items()
        }

    def rate_limits(self):
        """Return the limits that targets of this node state, by id."""
        limits = {}
        for target_id, target in self.local_targets.targets.items():
            limit = self.statuses.find_rate_limit(
                target_id, target.entry.target_incarnation
            )
            if limit is not None:
                limits[target_id] = limit
        return limits

    def find(self, target_id):
        """Return the limiter of a target; create it at first use.

        Raises
        ------
        TargetLeavingError
            If the node has no such target.
        """
        limiter = self.by_target.get(target_id)
        if limiter is not None:
            return limiter
        if target_id not in self.local_targets.targets:
            raise TargetLeavingError(
                f'{target_id} is no longer a target of this node'
            )
        limiter = TargetLimiter(
            target_id,
            self.local_targets,
            self.sender,
            self.attempts,
            self.limits,
            self.holder,
            self.statuses,
            self.crash_detector,
        )
        self.by_target[target_id] = limiter
        return limiter

    def tick(self):
        """Age attempts, evict requests, and drop limiters of gone targets."""
        self.attempts.tick()
        now = trio.current_time()
        for limiter in self.by_target.values():
            limiter.tick(now)
            limiter.publish_relative_service_time(now)
        for target_id, limiter in tuple(self.by_target.items()):
            if (
                target_id not in self.local_targets.targets
                and not limiter.in_flight
            ):
                del self.by_target[target_id]
