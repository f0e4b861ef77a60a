"""Replicated state of the rollouts, a function of the log alone."""

from msgspec.structs import replace

from snipelead.messages import OrderReply
from snipelead.messages import Rollout
from snipelead.messages import RolloutPhase
from snipelead.messages import RolloutUpdate

__all__ = ['Rollouts']

# An order may be sent again for 4 s; a copy may be delayed on its way.
RESEND_WINDOW_MS = 5_000
# Oldest rejected versions beyond this number are forgotten. They get traffic
# only if no approved version is in service.
MAX_REJECTED_VERSIONS = 20


class Rollouts:
    """Newest rollout of each service.

    Parameters
    ----------
    rollouts : iterable of Rollout
        Known rollouts.
    version : LogIndex
        Index of the last entry that changed a phase.

    Attributes
    ----------
    by_service : dict of ServiceName to Rollout
        Newest rollout of each service.
    """

    def __init__(self, rollouts=(), version=0):
        self.by_service = {r.service: r for r in rollouts}
        self.version = version

    def start(self, command, index, log_time_ms):
        """Apply an order.

        Parameters
        ----------
        command : StartRollout
            The order.
        index : LogIndex
            Index of its entry.
        log_time_ms : int
            Log time of the entry in ms.

        Returns
        -------
        OrderReply
            Not accepted if another rollout of the service is in progress.
        """
        known = self.by_service.get(command.service)
        if known is None:
            approved, rejected = command.approved, ()
        elif self._is_resend(known, command, log_time_ms):
            return OrderReply(True)
        elif not known.phase.is_final:
            return OrderReply(False)
        else:
            approved, rejected = known.approved, known.rejected
        phase = RolloutPhase.RUNNING
        if approved == (command.version,):
            phase = RolloutPhase.COMPLETED
        rejected = tuple(v for v in rejected if v != command.version)
        self.by_service[command.service] = Rollout(
            index,
            command.service,
            command.version,
            command.duration_ms,
            log_time_ms,
            phase,
            approved,
            rejected,
        )
        self.version = index
        return OrderReply(True)

    def _is_resend(self, known, command, log_time_ms):
        if (known.version, known.duration_ms) != (
            command.version,
            command.duration_ms,
        ):
            return False
        age_ms = log_time_ms - known.accepted_ms
        return not known.phase.is_final or age_ms <= RESEND_WINDOW_MS

    def advance(self, command, index):
        """Apply a decision of a leader.

        Decisions about an earlier order and those that come after the end
        of the rollout have no effect.

        Parameters
        ----------
        command : AdvanceRollout
            The decision.
        index : LogIndex
            Index of its entry.

        Returns
        -------
        OrderReply
        """
        known = self.by_service.get(command.service)
        if (
            known is None
            or known.order != command.order
            or known.phase.is_final
            or command.phase.value < known.phase.value
        ):
            return OrderReply(False)
        changed = replace(
            known,
            phase=command.phase,
            reserved=max(known.reserved, command.reserved),
            total=max(known.total, command.total),
            counts=command.counts or known.counts,
        )
        if command.phase is RolloutPhase.COMPLETED:
            changed = replace(changed, approved=(known.version,))
        elif command.phase is RolloutPhase.ROLLED_BACK:
            rejected = (*known.rejected, known.version)
            changed = replace(
                changed, rejected=rejected[-MAX_REJECTED_VERSIONS:]
            )
        self.by_service[command.service] = changed
        if changed.phase is not known.phase:
            self.version = index
        return OrderReply(True)

    def update_since(self, version):
        """Return what a node with a version of the rollouts lacks.

        Returns
        -------
        RolloutUpdate or None
            None if the node lacks nothing.
        """
        if self.version <= version:
            return None
        return RolloutUpdate(
            self.version,
            tuple(
                replace(rollout, reserved=0, total=0, counts=())
                for rollout in self.by_service.values()
            ),
        )
