"""Status reports of the local target, ordered by generation and sequence.

Targets send reports periodically. A generation of a target is identified by
its id and start time. Reports may be delayed, including those of a previous
generation at the same address, so only newer reports take effect.
"""

from enum import Enum

from msgspec import Struct

from snipelead.logs import log_event
from snipelead.targets.events import REPORT_DROPPED
from snipelead.targets.events import TARGET_ANNOUNCED
from snipelead.targets.events import TARGET_GONE
from snipelead.targets.events import TARGET_LEAVING
from snipelead.targets.events import TARGET_UNPROVED
from snipelead.types import Address
from snipelead.types import ServiceName
from snipelead.types import TargetId
from snipelead.types import TargetState

__all__ = ['ReportOutcome', 'TargetReport', 'TargetReports']

# Assumed connection limit, since reports do not contain one.
DEFAULT_CONNECTIONS = 130
# A target that cannot be checked, or whose health check is wrongly negative,
# is considered serving after this number of further reports. Reports are
# delayed by seconds, which is less than the time between three of them.
REPORTS_UNTIL_VERIFIED = 2


class TargetReport(Struct, frozen=True):
    """Status report of a target.

    Parameters
    ----------
    target_id : TargetId
        Id of the target; a later generation may reuse it.
    service : ServiceName
        Service that the target belongs to.
    address : Address
        Listening address of the target.
    slots : int
        Maximum number of concurrent requests.
    state : TargetState
        SERVING or LEAVING.
    started_ms : int
        Start of this generation, in milliseconds since the epoch.
    sequence : int
        Increases with each report of a generation.
    cold_remaining_ms : int
        Remaining warm-up time, in which the target responds slowly, in
        milliseconds.
    """

    target_id: TargetId
    service: ServiceName
    address: Address
    slots: int
    state: TargetState
    started_ms: int
    sequence: int
    cold_remaining_ms: int = 0


class ReportOutcome(Enum):
    """Result of processing a report."""

    ACCEPTED = 'taken'
    # A newer report of the same generation was processed before.
    STALE = 'stale'
    # The target has ended; a later generation has reported.
    PREVIOUS_GENERATION = 'former life'
    # The target withdrew itself in this generation.
    WITHDRAWN = 'withdrawn'
    # The report names an unknown service.
    UNKNOWN_SERVICE = 'unknown service'


class TargetReports:
    """Tracks the single local target of a node by its reports.

    Parameters
    ----------
    local_targets : LocalTargets
        Registry that is kept up to date.
    is_known_service : callable
        Tells whether a service, given by name, is known.
    history_complete : bool
        Whether all earlier reports of the target were sent to this process.
        If the node was restarted, the target may have reported before that it
        is leaving, and an older report may arrive late. Therefore the target
        must first be verified to serve.

    Attributes
    ----------
    newest : TargetReport or None
        Last accepted report.
    leaving : bool
        Whether the target reported in this generation that it is leaving, or
        the node is stopping.
    withdrawn : bool
        Whether the target withdrew itself in this generation.
    node_stopping : bool
        Whether the node is stopping, so that no target receives new requests.
    reports_until_verified : int
        Number of further reports after which the target is considered serving
        without a successful health check; 0 once it is verified.
    """

    def __init__(self, local_targets, is_known_service, history_complete=True):
        self.local_targets = local_targets
        self.is_known_service = is_known_service
        self.history_complete = history_complete
        self.reports_until_verified = 0
        self.newest = None
        self.leaving = False
        self.withdrawn = False
        self.node_stopping = False

    def process(self, report):
        """Apply a report unless it is outdated or names an unknown service.

        Parameters
        ----------
        report : TargetReport
            Received report.

        Returns
        -------
        ReportOutcome
        """
        outcome = self._classify(report)
        if outcome is not ReportOutcome.ACCEPTED:
            log_event(
                REPORT_DROPPED,
                target=report.target_id,
                reason=outcome.value,
                sequence=report.sequence,
                started_ms=report.started_ms,
            )
            return outcome
        if not self._is_same_generation(report):
            self._start_generation(report)
        elif self.reports_until_verified > 1:
            self.reports_until_verified -= 1
        else:
            self._mark_verified()
        self.newest = report
        self._apply(report)
        return outcome

    def confirm_serving(self, report):
        """Consider the target serving after a successful health check.

        Parameters
        ----------
        report : TargetReport
            Report that was received before the health check; ignored if the
            target has been replaced since.
        """
        if self.reports_until_verified and self._is_same_generation(report):
            self._mark_verified()
            if not self.withdrawn:
                self._apply(self.newest)

    def _mark_verified(self):
        # All reports of later generations are sent to this process.
        self.history_complete = True
        self.reports_until_verified = 0

    def mark_leaving(self):
        """Mark the target as leaving, since its node is stopping."""
        self.node_stopping = True
        self.leaving = True
        for target_id in list(self.local_targets.targets):
            self.local_targets.change_state(target_id, TargetState.LEAVING)

    def withdraw(self, target_id):
        """Remove a target; later reports of its generation have no effect.

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

    def _is_same_generation(self, report):
        newest = self.newest
        return newest is not None and (
            (newest.target_id, newest.started_ms)
            == (report.target_id, report.started_ms)
        )

    def _classify(self, report):
        if not self.is_known_service(report.service):
            return ReportOutcome.UNKNOWN_SERVICE
        if self._is_same_generation(report):
            if report.sequence <= self.newest.sequence:
                return ReportOutcome.STALE
            if self.withdrawn:
                return ReportOutcome.WITHDRAWN
        elif (
            self.newest is not None
            and report.started_ms <= self.newest.started_ms
        ):
            return ReportOutcome.PREVIOUS_GENERATION
        return ReportOutcome.ACCEPTED

    def _start_generation(self, report):
        self.reports_until_verified = (
            0 if self.history_complete else REPORTS_UNTIL_VERIFIED
        )
        # A node has only one local target, so the previous one has ended.
        if self.newest is not None:
            self.local_targets.change_state(
                self.newest.target_id, TargetState.GONE
            )
        self.leaving = self.node_stopping
        self.withdrawn = False

    def _apply(self, report):
        is_leaving = report.state is TargetState.LEAVING
        if is_leaving and not self.leaving:
            self.leaving = True
            log_event(TARGET_LEAVING, target=report.target_id)
        if self.reports_until_verified and not self.leaving:
            log_event(TARGET_UNPROVED, target=report.target_id)
            return
        state = TargetState.LEAVING if self.leaving else TargetState.SERVING
        if self._is_up_to_date(report, state):
            self.local_targets.renew(report.target_id)
            return
        self.local_targets.announce(
            report.target_id,
            report.service,
            report.address,
            report.slots,
            DEFAULT_CONNECTIONS,
            state,
        )
        log_event(
            TARGET_ANNOUNCED,
            target=report.target_id,
            service=report.service,
            state=state.value,
            started_ms=report.started_ms,
            sequence=report.sequence,
        )

    def _is_up_to_date(self, report, state):
        announced = self.local_targets.targets.get(report.target_id)
        return announced is not None and (
            (announced.target_address, announced.entry.service)
            == (report.address, report.service)
            and announced.entry.slots == report.slots
            and announced.entry.state is state
        )
