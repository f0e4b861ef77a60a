"""Heartbeats of the local target, ordered by incarnation and sequence.

Targets send heartbeats periodically. An incarnation of a target is identified
by its id and start time. Heartbeats may be delayed, including those of a
previous incarnation at the same address, so only newer heartbeats take effect.

A withdrawal names a target but no incarnation, and may overtake heartbeats. A
target that was withdrawn, or may have been before the node was restarted, is
therefore used only once it is verified to serve.
"""

from enum import Enum
from math import inf

from msgspec import Struct
import trio

from snipelead.logs import log_event
from snipelead.targets.events import REPORT_DROPPED
from snipelead.targets.events import TARGET_ANNOUNCED
from snipelead.targets.events import TARGET_GONE
from snipelead.targets.events import TARGET_LEAVING
from snipelead.targets.events import TARGET_UNPROVED
from snipelead.targets.status import TargetStatuses
from snipelead.types import Address
from snipelead.types import Incarnation
from snipelead.types import ServiceName
from snipelead.types import TargetId
from snipelead.types import TargetState

__all__ = ['HeartbeatOutcome', 'TargetHeartbeat', 'HeartbeatTracker']

# Assumed connection limit, since heartbeats do not contain one.
DEFAULT_CONNECTIONS = 130
# Heartbeats are delayed by less than this. One that arrives later was sent
# after the withdrawal or the restart, so that the target serves even if its
# health check is wrongly negative.
MAX_HEARTBEAT_DELAY_S = 10.0
# Withdrawals of more targets than this are kept as a time, which applies to
# all targets.
MAX_WITHDRAWALS = 64


class TargetHeartbeat(Struct, frozen=True):
    """Heartbeat of a target, which contains its status.

    Parameters
    ----------
    target_id : TargetId
        Id of the target; a later incarnation may reuse it.
    service : ServiceName
        Service that the target belongs to.
    address : Address
        Listening address of the target.
    slots : int
        Maximum number of concurrent requests.
    state : TargetState
        SERVING or LEAVING.
    started_ms : int
        Start of this incarnation, in milliseconds since the epoch.
    sequence : int
        Increases with each heartbeat of an incarnation.
    cold_remaining_ms : int
        Remaining warm-up time, in which the target responds slowly, in
        milliseconds.
    version : str
        Version of the target's software; '' if not known.
    """

    target_id: TargetId
    service: ServiceName
    address: Address
    slots: int
    state: TargetState
    started_ms: int
    sequence: int
    cold_remaining_ms: int = 0
    version: str = ''


class HeartbeatOutcome(Enum):
    """Result of processing a heartbeat."""

    ACCEPTED = 'taken'
    # A newer heartbeat of the same incarnation was processed before.
    STALE = 'stale'
    # The target has ended; a later incarnation has sent heartbeats.
    PREVIOUS_INCARNATION = 'former life'
    # The target withdrew itself in this incarnation.
    WITHDRAWN = 'withdrawn'
    # The heartbeat names an unknown service.
    UNKNOWN_SERVICE = 'unknown service'


class HeartbeatTracker:
    """Tracks the single local target of a node by its heartbeats.

    Parameters
    ----------
    local_targets : LocalTargets
        Registry that is kept up to date.
    is_known_service : callable
        Tells whether a service, given by name, is known.
    history_complete : bool
        Whether all earlier heartbeats and withdrawals were sent to this
        process. If the node was restarted, the target may have announced
        before that it is leaving, and an older heartbeat may arrive late.
        Therefore the target must first be verified to serve.

    Attributes
    ----------
    newest : TargetHeartbeat or None
        Last accepted heartbeat.
    leaving : bool
        Whether the target announced in this incarnation that it is leaving, or
        the node is stopping.
    withdrawn : bool
        Whether the target withdrew itself in this incarnation.
    node_stopping : bool
        Whether the node is stopping, so that no target receives new requests.
    withdrawals : dict of TargetId to float
        Targets that withdrew themselves, and when, in seconds of trio's clock.
    gap_end : float
        Until when heartbeats may arrive that were sent before a withdrawal
        that is not known; infinite until the first heartbeat after a restart.
    unverified_until : float
        Until when heartbeats of the current incarnation do not show that the
        target serves; minus infinity once it is verified.
    """

    def __init__(
        self,
        local_targets,
        is_known_service,
        history_complete=True,
        statuses=None,
    ):
        self.local_targets = local_targets
        self.statuses = statuses or TargetStatuses()
        self.is_known_service = is_known_service
        self.withdrawals = {}
        self.gap_end = -inf if history_complete else inf
        self.unverified_until = -inf
        self.newest = None
        self.leaving = False
        self.withdrawn = False
        self.node_stopping = False

    def process(self, heartbeat):
        """Apply a heartbeat unless it is outdated or names an unknown service.

        Parameters
        ----------
        heartbeat : TargetHeartbeat
            Received heartbeat.

        Returns
        -------
        HeartbeatOutcome
        """
        if self.gap_end == inf:
            self.gap_end = trio.current_time() + MAX_HEARTBEAT_DELAY_S
        outcome = self._classify(heartbeat)
        if outcome is not HeartbeatOutcome.ACCEPTED:
            log_event(
                REPORT_DROPPED,
                target=heartbeat.target_id,
                reason=outcome.value,
                sequence=heartbeat.sequence,
                started_ms=heartbeat.started_ms,
            )
            if outcome is HeartbeatOutcome.STALE:
                self._keep_leaving(heartbeat)
            return outcome
        if not self._is_same_incarnation(heartbeat):
            self._start_incarnation(heartbeat)
        elif (
            self.is_unverified and trio.current_time() >= self.unverified_until
        ):
            self._mark_verified()
        self.newest = heartbeat
        self._apply(heartbeat)
        return outcome

    def confirm_serving(self, heartbeat):
        """Consider the target serving after a successful health check.

        Parameters
        ----------
        heartbeat : TargetHeartbeat
            Heartbeat that was received before the health check; ignored if the
            target has been replaced since.
        """
        if (
            self.is_unverified
            and not self.withdrawn
            and self._is_same_incarnation(heartbeat)
        ):
            self._mark_verified()
            self._apply(self.newest)

    @property
    def is_unverified(self):
        """Whether the target must be verified to serve before it is used."""
        return self.unverified_until != -inf

    @property
    def needs_check(self):
        """Whether a health check may verify the target."""
        return self.is_unverified and not (self.withdrawn or self.leaving)

    def _mark_verified(self):
        # Heartbeats and withdrawals of later incarnations are sent to this
        # process.
        self.gap_end = self.unverified_until = -inf

    def mark_leaving(self):
        """Mark the target as leaving, since its node is stopping."""
        self.node_stopping = True
        self.leaving = True
        for target_id in list(self.local_targets.targets):
            self.local_targets.change_state(target_id, TargetState.LEAVING)

    def withdraw(self, target_id):
        """Remove a target; heartbeats of its incarnation have no effect.

        Parameters
        ----------
        target_id : TargetId
            Target to remove. Its heartbeats may not have arrived yet, whether
            or not those of an earlier incarnation have.
        """
        self._record_withdrawal(target_id)
        if self.newest is None or self.newest.target_id != target_id:
            return
        if not self.withdrawn:
            log_event(TARGET_GONE, target=target_id)
        self.withdrawn = True
        self.local_targets.change_state(target_id, TargetState.GONE)

    def _record_withdrawal(self, target_id):
        now = trio.current_time()
        # The time of the newest one counts, so it moves to the end.
        self.withdrawals.pop(target_id, None)
        self.withdrawals[target_id] = now
        if len(self.withdrawals) > MAX_WITHDRAWALS:
            oldest = next(iter(self.withdrawals))
            end = self.withdrawals.pop(oldest) + MAX_HEARTBEAT_DELAY_S
            self.gap_end = max(self.gap_end, end)

    def _find_verification_end(self, target_id):
        """Return until when heartbeats do not show that a target serves."""
        withdrawn_at = self.withdrawals.get(target_id, -inf)
        end = max(self.gap_end, withdrawn_at + MAX_HEARTBEAT_DELAY_S)
        return end if end > trio.current_time() else -inf

    def _is_same_incarnation(self, heartbeat):
        newest = self.newest
        return newest is not None and (
            (newest.target_id, newest.started_ms)
            == (heartbeat.target_id, heartbeat.started_ms)
        )

    def _classify(self, heartbeat):
        if not self.is_known_service(heartbeat.service):
            return HeartbeatOutcome.UNKNOWN_SERVICE
        if self._is_same_incarnation(heartbeat):
            if heartbeat.sequence <= self.newest.sequence:
                return HeartbeatOutcome.STALE
            if self.withdrawn:
                return HeartbeatOutcome.WITHDRAWN
        elif (
            self.newest is not None
            and heartbeat.started_ms <= self.newest.started_ms
        ):
            return HeartbeatOutcome.PREVIOUS_INCARNATION
        return HeartbeatOutcome.ACCEPTED

    def _start_incarnation(self, heartbeat):
        self.unverified_until = self._find_verification_end(
            heartbeat.target_id
        )
        # A node has only one local target, so the previous one has ended.
        if self.newest is not None:
            self.local_targets.change_state(
                self.newest.target_id, TargetState.GONE
            )
        self.leaving = self.node_stopping
        self.withdrawn = False

    def _keep_leaving(self, heartbeat):
        """Apply an announcement to leave that a newer heartbeat overtook."""
        if heartbeat.state is TargetState.LEAVING and not (
            self.leaving or self.withdrawn
        ):
            self.leaving = True
            log_event(TARGET_LEAVING, target=heartbeat.target_id)
            self._apply(self.newest)

    def _apply(self, heartbeat):
        is_leaving = (
            heartbeat.state is TargetState.LEAVING
            or self.statuses.is_leaving(
                heartbeat.target_id, Incarnation(heartbeat.started_ms)
            )
        )
        if is_leaving and not self.leaving:
            self.leaving = True
            log_event(TARGET_LEAVING, target=heartbeat.target_id)
        if self.is_unverified and not self.leaving:
            log_event(TARGET_UNPROVED, target=heartbeat.target_id)
            return
        state = TargetState.LEAVING if self.leaving else TargetState.SERVING
        if self._is_up_to_date(heartbeat, state):
            self.local_targets.renew(heartbeat.target_id)
            return
        self.local_targets.announce(
            heartbeat.target_id,
            heartbeat.service,
            heartbeat.address,
            heartbeat.slots,
            DEFAULT_CONNECTIONS,
            state,
            Incarnation(heartbeat.started_ms),
            heartbeat.version,
        )
        log_event(
            TARGET_ANNOUNCED,
            target=heartbeat.target_id,
            service=heartbeat.service,
            state=state.value,
            started_ms=heartbeat.started_ms,
            sequence=heartbeat.sequence,
        )

    def _is_up_to_date(self, heartbeat, state):
        announced = self.local_targets.targets.get(heartbeat.target_id)
        return announced is not None and (
            (announced.target_address, announced.entry.service)
            == (heartbeat.address, heartbeat.service)
            and announced.entry.slots == heartbeat.slots
            and announced.entry.target_incarnation == heartbeat.started_ms
            and announced.entry.state is state
            and announced.entry.version == heartbeat.version
        )
