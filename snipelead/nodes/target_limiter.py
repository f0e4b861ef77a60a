"""Concurrency limiting of the requests to a local target."""

import trio

from snipelead.admission.events import TARGET_CAPACITY_LOWERED
from snipelead.callers.events import CALL_ADMITTED
from snipelead.callers.events import CALL_NOT_ADMITTED
from snipelead.callers.exceptions import DuplicateAttemptError
from snipelead.callers.exceptions import MisdirectedRequestError
from snipelead.callers.exceptions import OverloadedError
from snipelead.callers.exceptions import ResponseLostError
from snipelead.callers.exceptions import TargetBusyError
from snipelead.callers.exceptions import TargetUnreachableError
from snipelead.callers.exceptions import WrongIncarnationError
from snipelead.callers.request_log import log_decision
from snipelead.callers.request_log import log_failure
from snipelead.http.exceptions import ConnectionLostError
from snipelead.logs import log_event
from snipelead.nodes.admission import TargetAdmission
from snipelead.nodes.attempts import AttemptState
from snipelead.nodes.local_response import LocalResponse
from snipelead.nodes.peer_messages import Load
from snipelead.quarantine.admission import check_quarantine
from snipelead.quarantine.admission import make_crash_error
from snipelead.quarantine.detector import CrashDetector
from snipelead.quarantine.ledger import CrashLedger
from snipelead.types import Ran

__all__ = ['TargetLimiter']

_ERROR_RATE_DIGITS = 3


class TargetLimiter(TargetAdmission):
    """Limits concurrent requests to one local target and sends them.

    Parameters
    ----------
    target_id : TargetId
        Target that the requests are sent to.
    local_targets : LocalTargets
        Local targets with their slots and states.
    sender : TargetSender
        Connections to local targets.
    attempts : AttemptTable
        Attempts that must not be admitted twice.
    limits : NodeLimits
        Limits of the queue.
    holder : ReleaseHolder or None
        Holds the release with the latency objectives of the routes.
    statuses : TargetStatuses or None
        Statuses that targets have stated.
    crash_detector : CrashDetector or None
        Notices when the target crashes.
    """

    def __init__(
        self,
        target_id,
        local_targets,
        sender,
        attempts,
        limits,
        holder=None,
        statuses=None,
        crash_detector=None,
    ):
        super().__init__(target_id, local_targets, limits, holder, statuses)
        self.crash_detector = crash_detector or CrashDetector(
            local_targets.node_id, local_targets, CrashLedger()
        )
        self.sender = sender
        self.attempts = attempts

    async def send(self, call, request, attempt_id, incarnation):
        """Admit a request, send it and return its response.

        Parameters
        ----------
        call : Call
            Call that the request belongs to.
        request : Request
            Request to send.
        attempt_id : AttemptId
            Unique id of the attempt.
        incarnation : Incarnation
            Incarnation of this node that the attempt was sent to.

        Returns
        -------
        LocalResponse
            Must be closed; the slot is held until then.

        Raises
        ------
        CallError
            If the request was refused or its response was lost.
        """
        self.get_accepting_target(incarnation)
        self._check_quarantine(call, request)
        if call.at_most_once:
            self.begin_attempt(call, attempt_id)
        try:
            await self.admit(call)
        except OverloadedError as error:
            if self.limits.sheds_load:
                error.load = self.report_load(call)
            self.mark_attempt(call, attempt_id, AttemptState.REFUSED)
            log_failure(
                CALL_NOT_ADMITTED,
                call,
                retry_after_ms=error.retry_after_ms,
                **self.describe(call),
            )
            raise
        except BaseException:
            self.mark_attempt(call, attempt_id, AttemptState.REFUSED)
            raise
        if call.is_sampled:
            log_decision(CALL_ADMITTED, call, **self.describe(call))
        try:
            return await self.send_admitted(
                call, request, attempt_id, incarnation
            )
        except trio.Cancelled:
            if call.ran is Ran.NO or not self.limits.sheds_load:
                self.release_slot(call)
            else:
                # The target runs the request until it notices.
                self.capacity.hold(call, trio.current_time())
            raise
        except BaseException:
            self.release_slot(call)
            raise

    def describe(self, call):
        """Return the inputs of the admission decision, for the log."""
        return {
            'target': self.target_id,
            'in_flight': self.in_flight,
            'slots': self.slots,
            'waiting': self.waiting,
            'waited_ms': int(call.queue_wait_s * 1_000),
            'expected_ms': int(
                self.statistics.service_times.estimate_s(call.route) * 1_000
            ),
            'deadline_ms': call.remaining_ms(),
            **self.status.describe(),
        }

    def begin_attempt(self, call, attempt_id):
        """Record an attempt that must not be repeated.

        Raises
        ------
        AttemptFencedError, DuplicateAttemptError
            If the attempt was fenced or received before.
        """
        try:
            self.attempts.begin(attempt_id)
        except DuplicateAttemptError as error:
            # The first copy of the attempt may be running, so the default
            # value `no` could be wrong.
            call.ran = error.ran
            raise

    def mark_attempt(self, call, attempt_id, state):
        """Set the state of an attempt that must not be repeated.

        A fenced attempt stays fenced.
        """
        if not call.at_most_once:
            return
        if self.attempts.find(attempt_id) is not AttemptState.FENCED:
            self.attempts.set_state(attempt_id, state)

    def get_accepting_target(self, incarnation):
        """Return the target if it accepts new requests.

        Raises
        ------
        WrongIncarnationError
            If this node was restarted since the attempt was sent.
        TargetLeavingError
            If the target is leaving or gone.
        """
        if incarnation != self.local_targets.incarnation:
            raise WrongIncarnationError(
                'the node of the target was restarted',
                current=self.local_targets.incarnation,
            )
        target = self.local_targets.targets.get(self.target_id)
        if self.status.is_leaving():
            raise self.make_leaving_error()
        return target

    async def send_admitted(self, call, request, attempt_id, incarnation):
        """Send an admitted request and wait for the response head."""
        try:
            # The target may have started leaving while the request waited.
            target = self.get_accepting_target(incarnation)
            address = target.target_address
            reader = await self.sender.acquire(address)
        except TargetUnreachableError as error:
            self.mark_attempt(call, attempt_id, AttemptState.REFUSED)
            if error.__cause__.is_refused:
                self.crash_detector.record_down(target)
            raise
        except BaseException:
            self.mark_attempt(call, attempt_id, AttemptState.REFUSED)
            raise
        try:
            # It may also have left while the connection was being opened.
            target = self.get_accepting_target(incarnation)
            call.check_sendable()
            self._check_quarantine(call, request)
        except BaseException:
            self.mark_attempt(call, attempt_id, AttemptState.REFUSED)
            reader.connection.close()
            raise
        try:
            if call.at_most_once:
                self.attempts.mark_sent(attempt_id)
            response = await self._send_tracked(reader, call, request, target)
        except TargetBusyError as error:
            if self.limits.sheds_load:
                self._record_refusal(target)
                error.load = self.report_load(call)
            self.sender.release(address, reader, error.response)
            self.mark_attempt(call, attempt_id, AttemptState.REFUSED)
            raise
        except MisdirectedRequestError:
            reader.connection.close()
            self.mark_attempt(call, attempt_id, AttemptState.REFUSED)
            raise
        except BaseException:
            reader.connection.close()
            raise
        self.mark_attempt(call, attempt_id, AttemptState.ANSWERED)
        return LocalResponse(self, call, address, reader, response)

    def _check_quarantine(self, call, request):
        # The node that received the request has checked it as well, with the
        # start of its body if that is still arriving here.
        ledger = self.crash_detector.ledger
        if ledger.records and request.complete:
            check_quarantine(ledger, call, request)

    async def _send_tracked(self, reader, call, request, target):
        """Send a request; find out whether the target crashes meanwhile."""
        detector = self.crash_detector
        sent_at = trio.current_time()
        with detector.track(self.target_id, call, request):
            try:
                response = await self.sender.send_request(
                    reader, call, request, target.entry
                )
            except ResponseLostError as error:
                lost_at = trio.current_time()
                in_flight = self.in_flight
                reader.connection.close()
                crash = await detector.find_crash(
                    target, lost_at, self.status.is_leaving()
                )
                if crash is None:
                    self._record_reset(
                        error, target, in_flight, (sent_at, lost_at)
                    )
                    raise
                raise make_crash_error(
                    detector.ledger, crash, call, request, error.ran
                ) from error
            detector.record_completion(call, request)
            return response

    def _record_reset(self, error, target, in_flight, times):
        """Learn from a connection that the target closed when full."""
        is_reset = isinstance(error.__cause__, ConnectionLostError)
        if self.limits.sheds_load and is_reset and error.ran is Ran.UNKNOWN:
            self._log_capacity(
                self.capacity.record_reset(
                    in_flight, target.entry.slots, *times
                )
            )

    def _record_refusal(self, target):
        self._log_capacity(
            self.capacity.record_refusal(
                self.in_flight, target.entry.slots, trio.current_time()
            )
        )

    def _log_capacity(self, was_lowered):
        if was_lowered:
            log_event(
                TARGET_CAPACITY_LOWERED,
                target_id=self.target_id,
                slots=self.slots,
            )

    def report_load(self, call):
        """Return the load of the target to report with a response."""
        return Load(
            self.in_flight,
            self.waiting,
            self.slots,
            int(call.queue_wait_s * 1e6),
            int(call.target_time_s * 1e6),
            round(self.statistics.error_rate, _ERROR_RATE_DIGITS),
            int(self.estimate_service_s() * 1e6)
            if self.statistics.has_observed_service
            else 0,
            int(
                self.statistics.service_times.reliable_mean_s(call.route) * 1e6
            ),
        )

    def estimate_service_s(self):
        """Return the estimated service time over all routes, in seconds.

        It is at least the mean age of the running requests, which reveals a
        slow target before the slow requests end.
        """
        if not self.in_flight:
            return self.statistics.mean_service_s
        mean_start_at = self.slot_start_sum_s / self.in_flight
        return max(
            self.statistics.mean_service_s, trio.current_time() - mean_start_at
        )

    def publish_relative_service_time(self, now):
        """Tell the other nodes if the target has become slower or faster."""
        value = self.statistics.relative_service_time.take_update(now)
        if value is not None:
            self.local_targets.set_relative_service_time(self.target_id, value)
