"""What a local target states about itself, as applied by its limiter."""

import trio

from snipelead.nodes.peer_messages import make_status_message
from snipelead.nodes.rate_limiter import RateLimiter
from snipelead.types import TargetState

__all__ = ['LocalTargetStatus']


class LocalTargetStatus:
    """Status of one local target.

    Parameters
    ----------
    target_id : TargetId
        The target.
    local_targets : LocalTargets
        Local targets with their states.
    statuses : TargetStatuses
        Statuses that targets have stated.

    Attributes
    ----------
    rate_limiter : RateLimiter
        Keeps to the rate limit that the target states.
    """

    def __init__(self, target_id, local_targets, statuses):
        self.target_id = target_id
        self.local_targets = local_targets
        self.statuses = statuses
        self.rate_limiter = RateLimiter()

    def find(self):
        """Return the known status of the target, or None."""
        target = self.local_targets.targets.get(self.target_id)
        if target is None:
            return None
        return self.statuses.find(
            self.target_id, target.entry.target_incarnation
        )

    def is_leaving(self):
        """Return whether the target is leaving or gone."""
        target = self.local_targets.targets.get(self.target_id)
        return (
            target is None
            or target.entry.state is TargetState.LEAVING
            or self.statuses.is_leaving(
                self.target_id, target.entry.target_incarnation
            )
        )

    def adopt(self, message):
        """Apply a limit that the target has stated to a former process.

        Parameters
        ----------
        message : StatusMessage
            What another node knows of the target.
        """
        target = self.local_targets.targets.get(self.target_id)
        if (
            target is not None
            and message.rate_limit is not None
            and message.target_incarnation == target.entry.target_incarnation
        ):
            self.statuses.adopt_rate_limit(
                self.target_id, message.target_incarnation, message.rate_limit
            )

    def make_message(self):
        """Return the status message for other nodes, or None."""
        return make_status_message(self.find())

    def apply_rate_limit(self, now):
        """Apply the rate limit that the target states at present.

        Parameters
        ----------
        now : float
            Time in seconds of trio's clock.
        """
        status = self.find()
        self.rate_limiter.set_rate(
            None if status is None else status.rate_limit, now
        )

    def describe(self):
        """Return the limit, its age and the recent rate, for the log."""
        status = self.find()
        if status is None or status.rate_limit is None:
            return {}
        now = trio.current_time()
        return {
            'limit': status.rate_limit,
            'limit_age_s': round(now - status.stated_at, 3),
            'rate': self.rate_limiter.measure_rate(now),
        }
