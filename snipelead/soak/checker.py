"""Checks the history that clients, targets and operators observe."""

from bisect import bisect_left
from collections import defaultdict
from http import HTTPStatus
from math import inf

from snipelead.emulator.platform_client import guarantees_not_run
from snipelead.soak.crashing_requests import CrashingRequests
from snipelead.soak.customer_checker import CustomerChecker
from snipelead.soak.disturbances import ANY_CONTROL
from snipelead.soak.release_checker import CONFIG_APPLY_S
from snipelead.soak.release_checker import ReleaseChecker
from snipelead.soak.routes import BODY_BYTE
from snipelead.soak.target_status import TargetStatusChecker

__all__ = ['HistoryChecker']

# Bounds that the platform states. RETRY_BUDGET_EXTRA is a number of requests.
DRAIN_S = 2.0
# A request that was not executed may be lost if its connection closes up to
# this long after it was sent.
CLOSE_RACE_S = 0.2
DEADLINE_SLACK_S = 0.5
RETRY_BUDGET_WINDOW_S = 10.0
RETRY_BUDGET_RATIO = 0.2
RETRY_BUDGET_EXTRA = 64
# A few requests may cross a close or a timeout, which is no violation.
MAX_LATE_REQUESTS = 3


class HistoryChecker(ReleaseChecker):
    """Records the history of a run and checks it against the guarantees.

    Violations raise :class:`GuaranteeViolationError`, most as soon as they
    are observed and some at the end of the run. The rule that starts each
    message names the guarantee: CONFIG for releases and their application,
    ROUTE and DENIED for the choice of the service, TWICE and REFUSED for
    requests that may be executed only once, MIXED and UNASKED for requests
    and responses that do not belong together, BUDGET for retries and
    deadlines, GONE for abandoned requests, LOST for closed connections, DRAIN
    for leaving targets, LIMIT for targets that limit their rate, and CUSTOMER,
    REVOKED and QUOTA for API keys and limits of customers. The run itself
    reports FAULT for processes that exit unexpectedly and RECOVER for nodes
    that do not serve after the last fault.

    Parameters
    ----------
    clock : callable
        Returns the time in seconds.
    get_epoch : callable
        See :class:`~snipelead.soak.target_status.TargetStatusChecker`.

    Attributes
    ----------
    requests : dict of str to RequestRecord
        Sent requests, by attempt id.
    releases : list of ReleaseRecord
        Releases in order of submission.
    newest_seen : dict of tuple to (int, float)
        Newest release that each incarnation of a node was seen to apply, and
        the time of that observation.
    leave_acknowledged_at : dict of str to float
        Time at which a node acknowledged that a target leaves, by target id.
    execution_times, send_times : dict of str to list of float
        Times at which requests were executed, and sent, by service.
    counts : Counter
        Number of observed events of each kind.
    disturbances : Disturbances
        Faults and planned stops of the run.
    violations : list of GuaranteeViolationError
        Violations in order of detection.
    target_statuses : TargetStatusChecker
        Checks that nodes act on what targets state.
    crashing_requests : CrashingRequests
        Checks how often requests that crash targets reach them.
    customers : CustomerChecker
        Checks the API keys and the rate limits of customers.
    """

    def __init__(self, clock, get_epoch=lambda node: (0, 0)):
        super().__init__(clock)
        self.target_statuses = TargetStatusChecker(self, get_epoch)
        self.crashing_requests = CrashingRequests(self)
        self.customers = CustomerChecker(self)
        self.requests = {}
        self.leave_acknowledged_at = {}
        self.execution_times = defaultdict(list)
        self.send_times = defaultdict(list)
        self.late = []

    def record_sent(self, record, services):
        """Record a request that is about to be sent.

        Parameters
        ----------
        record : RequestRecord
            The request.
        services : iterable of str
            Services that the request may be routed to.
        """
        self.requests[record.attempt_id] = record
        for service in services:
            self.send_times[service].append(record.sent_at)

    def record_arrival(self, target, attempt_id):
        """Record that a request reaches a target, executed or not."""
        record = self.requests.get(attempt_id)
        if record is not None:
            self.target_statuses.record_arrival(target, record)
            self.crashing_requests.record_arrival(record)

    def record_late_body(self, attempt_id, body):
        """Record what came in the place of a body after an early refusal."""
        self.counts['late body'] += 1
        if body.strip(BODY_BYTE):
            self.fail(
                'UNASKED',
                f'{body.strip(BODY_BYTE)[:80]!r} in the body of {attempt_id}',
            )

    def record_execution(self, target_request, execution):
        """Record that a target begins to execute a request.

        Parameters
        ----------
        target_request : StartedRequest
            Request as the target received it.
        execution : Execution
            Target and time of the execution.
        """
        self.counts['executed'] += 1
        attempt_id = target_request.attempt_id
        record = self.requests.get(attempt_id)
        if record is None or record.path != target_request.path:
            self.fail(
                'UNASKED',
                f'{execution.target} executes unsent {target_request}',
            )
        if record.origin != target_request.origin:
            self.fail('UNASKED', f'{target_request} has the wrong origin')
        if (
            target_request.left_ms
            > (record.deadline_s + DEADLINE_SLACK_S) * 1_000
        ):
            self.fail(
                'BUDGET',
                f'{target_request} exceeds the deadline of its client',
            )
        self.execution_times[execution.service].append(execution.at)
        record.executions.append(execution)
        self._check_executions(record)
        leave_acknowledged_at = self.leave_acknowledged_at.get(
            execution.target, inf
        )
        # The acknowledgement is binding even if its node fails afterwards.
        if execution.at > leave_acknowledged_at + DRAIN_S:
            self.fail(
                'DRAIN',
                f'{execution.target} executes {attempt_id} after leaving',
            )
        if (
            record.abandoned
            and execution.at > record.ended_at + DEADLINE_SLACK_S
        ):
            self._record_late('GONE', record, execution.at)
        self._check_route(record, execution)
        self.customers.record_execution(target_request, record, execution)

    def _check_executions(self, record):
        executions = len(record.executions)
        if not record.repeatable and executions > 1:
            self.fail(
                'TWICE',
                f'{record.attempt_id} was executed by {record.executions}',
            )
        refused = guarantees_not_run(record.status)
        if executions and refused and not record.repeatable:
            self.fail(
                'REFUSED',
                f'{record.attempt_id} got status {record.status} and was'
                f' executed by {record.executions}',
            )

    def _check_route(self, record, execution):
        undisturbed = self.disturbances.is_undisturbed(
            (record.node, ANY_CONTROL), record.sent_at, execution.at
        )
        moment = record.sent_at - CONFIG_APPLY_S if undisturbed else -inf
        allowed = {
            service
            for r in self.admissible_releases(
                self.acknowledged_floor(moment), execution.at
            )
            for service in r.services_by_prefix.get(record.prefix, ())
        }
        if execution.service not in allowed:
            rule = 'CONFIG' if undisturbed else 'ROUTE'
            self.fail(
                rule,
                f'{record.path} was executed by service'
                f' {execution.service}, allowed: {allowed}',
            )

    def record_response(self, record, response):
        """Record the response to a request."""
        record.ended_at = self.clock()
        record.status = response.status
        self.counts[f'status {response.status}'] += 1
        self.target_statuses.record_response(record, response)
        if response.status == 200:
            expected = f'answer to {record.attempt_id}'.encode()
            if (
                response.body != expected
                or not response.sealed
                or not record.executions
            ):
                self.fail(
                    'MIXED',
                    f'{record.attempt_id} got the body {response.body!r}',
                )
        elif response.sealed and not record.executions:
            self.fail(
                'MIXED',
                f'{record.attempt_id} got the error of another request',
            )
        self._check_executions(record)
        self._check_rejection(record)
        if (
            record.ended_at
            > record.sent_at + record.timeout_s + DEADLINE_SLACK_S
        ):
            self._record_late('CONFIG', record, record.ended_at)

    def _check_rejection(self, record):
        if record.status == HTTPStatus.UNAUTHORIZED:
            self.customers.check_denial(record)
            return
        if 400 <= record.status < 500 and not guarantees_not_run(
            record.status
        ):
            names = (record.node, ANY_CONTROL)
            candidates = self.admissible_releases(
                self.acknowledged_floor(record.sent_at - CONFIG_APPLY_S),
                record.ended_at,
            )
            if (
                all(record.prefix in r.services_by_prefix for r in candidates)
                and candidates
            ):
                undisturbed = self.disturbances.is_undisturbed(
                    names, record.sent_at, record.ended_at
                )
                self.counts[f'denied, undisturbed {undisturbed}'] += 1
                self.fail(
                    'DENIED',
                    f'{record.path} got status {record.status}, undisturbed:'
                    f' {undisturbed}',
                )

    def _record_late(self, rule, record, at):
        if not self.disturbances.is_fault_free(record.sent_at, at):
            return
        self.counts[f'late {rule}'] += 1
        if self.counts[f'late {rule}'] > MAX_LATE_REQUESTS:
            self.fail(
                rule, f'{record.attempt_id} is late, as were others before'
            )

    def record_connection_loss(self, record, fault_free):
        """Record that a connection closed before the response to a request.

        Parameters
        ----------
        record : RequestRecord
            The request.
        fault_free : bool
            Whether no fault can explain the loss; planned stops are not
            faults.
        """
        record.ended_at = self.clock()
        self.counts['lost'] += 1
        if not fault_free:
            return
        executed = bool(record.executions)
        if executed or record.ended_at > record.sent_at + CLOSE_RACE_S:
            self.fail(
                'LOST',
                f'{record.attempt_id} at {record.node}, executed: {executed}',
            )

    def record_leave_acknowledged(self, target):
        """Record that a node acknowledged that a target leaves."""
        self.leave_acknowledged_at.setdefault(target, self.clock())

    def check_end(self, newest_read):
        """Check the guarantees that concern the whole history.

        Violations that were raised where others handle all errors, as in a
        target, are raised again.

        Parameters
        ----------
        newest_read : int
            Number of the newest release that was read.
        """
        if self.violations:
            raise self.violations[0]
        newest = self.acknowledged_floor(self.clock())
        if newest_read < newest:
            self.fail(
                'CONFIG',
                f'release {newest_read} was read at the end, not {newest}',
            )
        for record in self.requests.values():
            self._check_executions(record)
        for service, execution_times in self.execution_times.items():
            self._check_budget(service, sorted(execution_times))
        self.customers.check_end()

    def _check_budget(self, service, execution_times):
        send_times = sorted(self.send_times[service])
        for number, window_start in enumerate(execution_times):
            window_end = window_start + RETRY_BUDGET_WINDOW_S
            execution_count = bisect_left(execution_times, window_end) - number
            window_starts = [
                window_start,
                window_start - 0.5 * RETRY_BUDGET_WINDOW_S,
            ]
            window_starts.append(window_start - RETRY_BUDGET_WINDOW_S)
            send_count = max(
                bisect_left(send_times, start + RETRY_BUDGET_WINDOW_S)
                - bisect_left(send_times, start)
                for start in window_starts
            )
            if (
                execution_count
                > send_count * (1 + RETRY_BUDGET_RATIO) + RETRY_BUDGET_EXTRA
            ):
                self.fail(
                    'BUDGET',
                    f'{execution_count} executions for {send_count} requests',
                )
