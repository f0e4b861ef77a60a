"""Refusal of requests in quarantine, and the evidence in errors."""

from datetime import datetime
from datetime import UTC

from snipelead.callers.exceptions import QuarantinedError
from snipelead.callers.exceptions import TargetCrashedError
from snipelead.exceptions import read_integer_detail
from snipelead.messages import TargetCrash
from snipelead.quarantine.fingerprint import fingerprint_request
from snipelead.quarantine.fingerprint import summarize_request
from snipelead.quarantine.ledger import Verdict
from snipelead.types import Incarnation
from snipelead.types import NodeId
from snipelead.types import TargetId

__all__ = ['adopt_crash', 'check_quarantine', 'make_crash_error']

# Nothing but an operator ends a quarantine, so returning soon is of no use.
RETRY_AFTER_MS = 60_000
_MS_PER_S = 1_000
# End of the year 9999, the last that can be written as a date.
MAX_TIME_MS = 253_402_300_799_000


def check_quarantine(ledger, call, request):
    """Check that a request may be sent to a target.

    Parameters
    ----------
    ledger : CrashLedger
        Evidence on requests that crash targets.
    call, request : Call, Request
        The request; the start of its body must have been received.

    Raises
    ------
    QuarantinedError
        If copies of the request have crashed too many targets.
    """
    if not ledger.records:
        return
    fingerprint = fingerprint_request(request, call.tenant)
    if ledger.get_verdict(fingerprint) is Verdict.QUARANTINED:
        ledger.refusal_count += 1
        raise _make_error(ledger.records[fingerprint])


def make_crash_error(ledger, crash, call, request, ran):
    """Return the error of a request whose target has crashed.

    Parameters
    ----------
    ledger : CrashLedger
        Evidence on requests that crash targets.
    crash : TargetCrash
        The crash.
    call, request : Call, Request
        The request.
    ran : Ran
        Whether the request was executed.

    Returns
    -------
    TargetCrashedError
        Its details hold the evidence for the node that sent the request.
    """
    fingerprint = fingerprint_request(request, call.tenant)
    return TargetCrashedError(
        f'{crash.target_id} ended while it was running the request',
        ran=ran,
        crashes=ledger.count_crashes(fingerprint),
        target=crash.target_id,
        incarnation=crash.incarnation,
        node=crash.node_id,
        time_ms=crash.time_ms,
    )


def adopt_crash(ledger, call, request, error):
    """Record the evidence that the node beside a target has found.

    It would be lost with that node if it restarted before its next poll.

    Parameters
    ----------
    ledger : CrashLedger
        Receives the evidence.
    call, request : Call, Request
        The request.
    error : TargetCrashedError
        Error that the node responded with.

    Returns
    -------
    int
        Targets known to have crashed under copies of the request; 0 if it is
        not suspected.
    """
    crash = _read_crash(error)
    if crash is None:
        return 0
    fingerprint = fingerprint_request(request, call.tenant)
    summary = summarize_request(request, call.tenant)
    ledger.record_crash(fingerprint, crash, summary)
    return ledger.count_crashes(fingerprint)


def _read_crash(error):
    """Return the crash in the details of an error, or None."""
    crashes, incarnation, time_ms = (
        read_integer_detail(error, name)
        for name in ('crashes', 'incarnation', 'time_ms')
    )
    target_id = error.details.get('target')
    node_id = error.details.get('node')
    if not crashes or None in (incarnation, time_ms, target_id, node_id):
        return None
    return TargetCrash(
        TargetId(target_id), Incarnation(incarnation), NodeId(node_id), time_ms
    )


def _make_error(record):
    crashes = ', '.join(map(_describe_crash, record.crashes))
    return QuarantinedError(
        f'copies of the request have crashed {crashes}',
        retry_after_ms=RETRY_AFTER_MS,
        fingerprint=record.fingerprint.hex(),
    )


def _describe_crash(crash):
    time_ms = min(max(0, crash.time_ms), MAX_TIME_MS)
    noticed_at = datetime.fromtimestamp(time_ms / _MS_PER_S, UTC)
    text = noticed_at.isoformat(timespec='milliseconds')
    return f'{crash.target_id} (noticed by {crash.node_id} at {text})'
