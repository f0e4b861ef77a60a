"""Detection of local targets that crash while they run requests."""

from contextlib import contextmanager
from math import inf
import time

from msgspec import Struct
import trio

from snipelead.callers.request_log import log_failure
from snipelead.http.connection import connect
from snipelead.http.exceptions import ConnectFailedError
from snipelead.logs import log_event
from snipelead.messages import TargetCrash
from snipelead.quarantine.events import REQUEST_SUSPECTED
from snipelead.quarantine.events import TARGET_CRASHED
from snipelead.quarantine.events import TARGET_DOWN
from snipelead.quarantine.fingerprint import fingerprint_request
from snipelead.quarantine.fingerprint import identify_request
from snipelead.quarantine.fingerprint import summarize_request
from snipelead.types import TargetState
from snipelead.utils.bounded_dict import BoundedDict

__all__ = ['CrashDetector']

# A process that ends may close its connections before its listening socket.
CHECK_COUNT = 2
CHECK_INTERVAL_S = 0.02
CONNECT_TIMEOUT_S = 0.1
MAX_COMPLETED_REQUESTS = 1_000
MAX_TRACKED_TARGETS = 100
_MS_PER_S = 1_000


class _Run(Struct, eq=False):
    """A request that a target is running.

    Parameters
    ----------
    call, request : Call, Request
        The request.
    started_at : float
        When it was sent, in seconds of trio's clock.
    """

    call: object
    request: object
    started_at: float


class CrashDetector:
    """Notices that a local target has ended and which requests it was running.

    A target has crashed if a connection with a request in flight breaks and
    the target refuses new connections. Neither a reset connection nor a target
    that is leaving counts as a crash.

    Parameters
    ----------
    node_id : NodeId
        Id of this node.
    local_targets : LocalTargets
        Local targets; one that has crashed is removed.
    ledger : CrashLedger
        Receives the evidence.

    Attributes
    ----------
    runs : dict of TargetId to list of _Run
        Requests that each target is running.
    crashes : BoundedDict of tuple to TargetCrash
        Crashes by id and incarnation of the target.
    completed : BoundedDict of int to None
        Hashes of the requests that were completed most recently. A request
        that is completed between two crashes caused neither.
    crash_count : int
        Number of crashes of local targets.
    """

    def __init__(self, node_id, local_targets, ledger):
        self.node_id = node_id
        self.local_targets = local_targets
        self.ledger = ledger
        self.runs = {}
        self.crashes = BoundedDict(MAX_TRACKED_TARGETS)
        self.completed = BoundedDict(MAX_COMPLETED_REQUESTS)
        self.crash_count = 0
        self._checks = BoundedDict(MAX_TRACKED_TARGETS)

    @contextmanager
    def track(self, target_id, call, request):
        """Track a request while a target runs it.

        Parameters
        ----------
        target_id : TargetId
            The target.
        call, request : Call, Request
            The request; its body must not have been read yet.
        """
        request.keep_body_start()
        runs = self.runs.setdefault(target_id, [])
        run = _Run(call, request, trio.current_time())
        runs.append(run)
        try:
            yield
        finally:
            runs.remove(run)
            if not runs:
                self.runs.pop(target_id, None)

    def record_completion(self, call, request):
        """Record that a target has responded to a request.

        Parameters
        ----------
        call, request : Call, Request
            The request.
        """
        self.completed[hash(identify_request(request, call.tenant))] = None
        if self.ledger.records:
            self.ledger.record_completion(
                fingerprint_request(request, call.tenant), self.node_id
            )

    def record_down(self, target):
        """Record that no process listens at the address of a target.

        Parameters
        ----------
        target : LocalTarget
            The target; removed until it announces itself again.
        """
        if self._withdraw(target):
            log_event(TARGET_DOWN, target=target.entry.target_id)

    async def find_crash(self, target, lost_at, is_leaving=False):
        """Return the crash that explains a lost connection.

        Parameters
        ----------
        target : LocalTarget
            The target as it was when the request was sent.
        lost_at : float
            When the connection was lost, in seconds of trio's clock.
        is_leaving : bool
            Whether the target is leaving or was removed.

        Returns
        -------
        TargetCrash or None
            None if the target still accepts connections or is leaving.
        """
        entry = target.entry
        key = (entry.target_id, target.incarnation)
        if is_leaving:
            # One that has crashed was removed with the first lost connection.
            return self.crashes.get(key)
        check = self._checks.get(key)
        if check is None:
            check = self._checks[key] = _Check()
        async with check.lock:
            crash = self.crashes.get(key)
            if crash is not None or check.listened_at >= lost_at:
                return crash
            if not await _refuses_connections(target.target_address):
                check.listened_at = trio.current_time()
                return None
            return self._record_crash(target, lost_at)

    def _record_crash(self, target, lost_at):
        entry = target.entry
        crash = TargetCrash(
            entry.target_id,
            target.incarnation,
            self.node_id,
            int(time.time() * _MS_PER_S),
        )
        self.crashes[crash.target_id, crash.incarnation] = crash
        self.crash_count += 1
        runs = [
            run
            for run in self.runs.get(entry.target_id, ())
            if run.started_at <= lost_at
        ]
        log_event(
            TARGET_CRASHED,
            target=entry.target_id,
            service=entry.service,
            running=len(runs),
        )
        for run in runs:
            self._suspect(run, crash)
        self._withdraw(target)
        return crash

    def _suspect(self, run, crash):
        call, request = run.call, run.request
        fingerprint = fingerprint_request(request, call.tenant)
        key = hash(identify_request(request, call.tenant))
        if key in self.completed and fingerprint not in self.ledger.records:
            # Only a further completion clears it of the next crash.
            del self.completed[key]
            return
        summary = summarize_request(request, call.tenant)
        self.ledger.record_crash(fingerprint, crash, summary)
        log_failure(
            REQUEST_SUSPECTED,
            call,
            fingerprint=fingerprint.hex(),
            summary=summary,
            target=crash.target_id,
            ran_ms=int((trio.current_time() - run.started_at) * _MS_PER_S),
            crashes=self.ledger.count_crashes(fingerprint),
        )

    def _withdraw(self, target):
        """Remove a target that has ended; return whether it was registered.

        It is ignored if another incarnation is registered by now.
        """
        target_id = target.entry.target_id
        registered = self.local_targets.targets.get(target_id)
        if registered is None or registered.incarnation != target.incarnation:
            return False
        self.local_targets.change_state(target_id, TargetState.GONE)
        return True


class _Check:
    """State of the checks whether one incarnation of a target has ended.

    Attributes
    ----------
    lock : trio.Lock
        Held during a check.
    listened_at : float
        When the target last accepted a connection of a check.
    """

    def __init__(self):
        self.lock = trio.Lock()
        self.listened_at = -inf


async def _refuses_connections(address):
    """Return whether no process listens at an address."""
    for attempt in range(CHECK_COUNT):
        if attempt:
            await trio.sleep(CHECK_INTERVAL_S)
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            try:
                connection = await connect(address)
            except ConnectFailedError as error:
                if error.is_refused:
                    return True
            else:
                connection.close()
    return False
