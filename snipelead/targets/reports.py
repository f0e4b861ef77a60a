"""Reports of the target beside a node, ordered by life and sequence.

A target repeats what it says of itself. Reports may come late, also those
of a former life at the same address, so only newer ones change anything.
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

DEFAULT_CONNECTIONS = 130
# A target that cannot be asked, or says wrongly that it does not serve, is
# taken to serve after so many further reports. Reports are late by seconds,
# which is less than the time between three of them.
UNPROVED_REPORTS = 2


class TargetReport(Struct, frozen=True):
    """What a target says of itself.

    Parameters
    ----------
    target_id : TargetId
        Its id; a later life may have the same one.
    service : ServiceName
        Service that it belongs to.
    address : Address
        Where it listens.
    slots : int
        Requests that it runs at a time.
    state : TargetState
        SERVING or LEAVING.
    started_ms : int
        Start of this life, in milliseconds since the epoch.
    sequence : int
        Grows with each report of a life.
    cold_ms : int
        Time for which it is still slow after its start, in milliseconds.
    """

    target_id: TargetId
    service: ServiceName
    address: Address
    slots: int
    state: TargetState
    started_ms: int
    sequence: int
    cold_ms: int = 0


class ReportOutcome(Enum):
    """What became of a report."""

    TAKEN = 'taken'
    # A newer report of the same life came before.
    STALE = 'stale'
    # The target has ended; a later life came before.
    FORMER_LIFE = 'former life'
    # The target withdrew itself in this life.
    WITHDRAWN = 'withdrawn'
    # It names a service that nobody knows.
    UNKNOWN_SERVICE = 'unknown service'


class TargetReports:
    """Takes the reports of the one target beside a node.

    Parameters
    ----------
    local : LocalTargets
        Told of the target.
    is_known : callable
        Tells whether a service is known.
    knows_past : bool
        Whether no earlier process beside the target took its reports. After
        a restart the target may have told that it leaves, and a report from
        before that may come late; so it has to be proved to serve.

    Attributes
    ----------
    newest : TargetReport or None
        Last report that was taken.
    leaving : bool
        Whether the target said in this life that it leaves, or its node
        stops.
    withdrawn : bool
        Whether the target withdrew itself in this life.
    node_stops : bool
        Whether no target beside the node takes new work any more.
    unproved : int
        Further reports after which the target is taken to serve though that
        was not proved; 0 when it is proved.
    """

    def __init__(self, local, is_known, knows_past=True):
        self.local = local
        self.is_known = is_known
        self.knows_past = knows_past
        self.unproved = 0
        self.newest = None
        self.leaving = False
        self.withdrawn = False
        self.node_stops = False

    def take(self, report):
        """Take a report unless a newer one came before.

        Returns
        -------
        ReportOutcome
        """
        outcome = self._judge(report)
        if outcome is not ReportOutcome.TAKEN:
            log_event(
                REPORT_DROPPED,
                target=report.target_id,
                reason=outcome.value,
                sequence=report.sequence,
                started_ms=report.started_ms,
            )
            return outcome
        if not self._is_same_life(report):
            self._begin_life(report)
        elif self.unproved > 1:
            self.unproved -= 1
        else:
            self._end_proof()
        self.newest = report
        self._apply(report)
        return outcome

    def prove(self, report):
        """Take a target to serve that said so itself after a report of it."""
        if self.unproved and self._is_same_life(report):
            self._end_proof()
            if not self.withdrawn:
                self._apply(self.newest)

    def _end_proof(self):
        # All reports of later lives come to this process.
        self.knows_past = True
        self.unproved = 0

    def leave(self):
        """Let the target take no new work, since its node stops."""
        self.node_stops = True
        self.leaving = True
        for target_id in list(self.local.targets):
            self.local.change_state(target_id, TargetState.LEAVING)

    def withdraw(self, target_id):
        """End the target; later reports of this life change nothing."""
        if self.newest is None or self.newest.target_id != target_id:
            return
        if not self.withdrawn:
            log_event(TARGET_GONE, target=target_id)
        self.withdrawn = True
        self.local.change_state(target_id, TargetState.GONE)

    def _is_same_life(self, report):
        newest = self.newest
        return newest is not None and (
            (newest.target_id, newest.started_ms)
            == (report.target_id, report.started_ms)
        )

    def _judge(self, report):
        if not self.is_known(report.service):
            return ReportOutcome.UNKNOWN_SERVICE
        if self._is_same_life(report):
            if report.sequence <= self.newest.sequence:
                return ReportOutcome.STALE
            if self.withdrawn:
                return ReportOutcome.WITHDRAWN
        elif (
            self.newest is not None
            and report.started_ms <= self.newest.started_ms
        ):
            return ReportOutcome.FORMER_LIFE
        return ReportOutcome.TAKEN

    def _begin_life(self, report):
        self.unproved = 0 if self.knows_past else UNPROVED_REPORTS
        # Only one target runs beside a node, so the former one has ended.
        if self.newest is not None:
            self.local.change_state(self.newest.target_id, TargetState.GONE)
        self.leaving = self.node_stops
        self.withdrawn = False

    def _apply(self, report):
        leaves = report.state is TargetState.LEAVING
        if leaves and not self.leaving:
            self.leaving = True
            log_event(TARGET_LEAVING, target=report.target_id)
        if self.unproved and not self.leaving:
            log_event(TARGET_UNPROVED, target=report.target_id)
            return
        state = TargetState.LEAVING if self.leaving else TargetState.SERVING
        if self._is_announced(report, state):
            self.local.renew(report.target_id)
            return
        self.local.announce(
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

    def _is_announced(self, report, state):
        known = self.local.targets.get(report.target_id)
        return known is not None and (
            (known.target_address, known.entry.service)
            == (report.address, report.service)
            and known.entry.slots == report.slots
            and known.entry.state is state
        )
