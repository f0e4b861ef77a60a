"""Heartbeats of the local target, ordered by incarnation and sequence.

Targets send heartbeats periodically. An incarnation of a target is identified
by its id and start time. Heartbeats may be delayed, including those of a
previous incarnation at the same address, so only newer heartbeats take effect.
"""

from enum import Enum

from msgspec import Struct

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
# A target that cannot be checked, or whose health check is wrongly negative,
# is considered serving after this number of further heartbeats. They are
# delayed by seconds, which is less than the time between three of them.
HEARTBEATS_UNTIL_VERIFIED = 2


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
        Whether all earlier heartbeats of the target were sent to this process.
        If the node was restarted, the target may have announced before that it
        is leaving, and an older heartbeat may arrive late. Therefore the
        target must first be verified to serve.

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
    heartbeats_until_verified : int
        Number of further heartbeats after which the target is considered
        serving without a successful health check; 0 once it is verified.
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
        self.history_complete = history_complete
        self.heartbeats_until_verified = 0
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
        outcome = self._classify(heartbeat)
        if outcome is not HeartbeatOutcome.ACCEPTED:
            log_event(
                REPORT_DROPPED,
                target=heartbeat.target_id,
                reason=outcome.value,
                sequence=heartbeat.sequence,
                started_ms=heartbeat.started_ms,
            )
            return outcome
        if not self._is_same_incarnation(heartbeat):
            self._start_incarnation(heartbeat)
        elif self.heartbeats_until_verified > 1:
            self.heartbeats_until_verified -= 1
        else:
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
        if self.heartbeats_until_verified and self._is_same_incarnation(
            heartbeat
        ):
            self._mark_verified()
            if not self.withdrawn:
                self._apply(self.newest)

    def _mark_verified(self):
        # All heartbeats of later incarnations are sent to this process.
        self.history_complete = True
        self.heartbeats_until_verified = 0

    def mark_leaving(self):
        """Mark the target as leaving, since its node is stopping."""
        self.node_stopping = True
        self.leaving = True
        for target_id in list(self.local_targets.targets):
            self.local_targets.change_state(target_id, TargetState.LEAVING)

    def withdraw(self, target_id):
        """Remove a target; later heartbeats of its incarnation have no effect.

        Parameters
        ----------
        target_id : TargetId
            Target to remove; ignored if it is not the current one.
        """
        if self.newest is None or self.newest.target_id != target_id:
            return
        if not self.withdrawn:
            log_event(TARGET_GONE, target=target_id)
        self.withdrawn = True
        self.local_targets.change_state(target_id, TargetState.GONE)

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
        self.heartbeats_until_verified = (
            0 if self.history_complete else HEARTBEATS_UNTIL_VERIFIED
        )
        # A node has only one local target, so the previous one has ended.
        if self.newest is not None:
            self.local_targets.change_state(
                self.newest.target_id, TargetState.GONE
            )
        self.leaving = self.node_stopping
        self.withdrawn = False

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
        if self.heartbeats_until_verified and not self.leaving:
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
