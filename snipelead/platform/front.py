"""The platform's interfaces of nodes and controls."""

import msgspec
import trio

from snipelead.callers.path import Protocols
from snipelead.controls.exceptions import NoQuorumError
from snipelead.exceptions import InvariantError
from snipelead.exceptions import SnipeleadError
from snipelead.logs import log_event
from snipelead.platform.configuration import decode_order
from snipelead.platform.configuration import encode_release
from snipelead.platform.events import ORDER_ANSWERED
from snipelead.platform.events import READ_ANSWERED
from snipelead.platform.events import REPORT_UNREADABLE
from snipelead.platform.exceptions import UnreadableConfigurationError
from snipelead.platform.exceptions import UnreadableReportError
from snipelead.platform.health import serves_now
from snipelead.platform.reports import decode_report
from snipelead.platform.requests import PlatformCallerProtocol
from snipelead.platform.requests import PlatformTargetProtocol
from snipelead.platform.server import Answer
from snipelead.platform.server import serve_interface
from snipelead.releases.exceptions import BaseReplacedError
from snipelead.releases.exceptions import DanglingReferenceError
from snipelead.releases.exceptions import InvalidNoteError
from snipelead.releases.exceptions import NumberNotAboveCurrentError
from snipelead.targets.reports import ReportOutcome
from snipelead.types import OutcomeKind
from snipelead.types import TargetId

__all__ = ['PlatformControlFront', 'PlatformNodeFront']

# Time that a question to a target waits for the first release, in seconds; by
# then its next report has come.
PROOF_WAIT_S = 2.0
_METRICS_KIND = b'text/plain; version=0.0.4'
_REPORT_PATH = b'/instances/'
_ORDER_PATH = b'/config'
_NOT_FOUND = Answer(404)
_INVALID = (
    UnreadableConfigurationError,
    InvalidNoteError,
    DanglingReferenceError,
)
_INVALID_CODES = frozenset(error.code for error in _INVALID)
_REPLACED_CODES = frozenset(
    (BaseReplacedError.code, NumberNotAboveCurrentError.code)
)
_REPORT_STATUS = {
    ReportOutcome.TAKEN: 200,
    # The sender lives and its newer report was taken.
    ReportOutcome.STALE: 200,
    ReportOutcome.WITHDRAWN: 200,
    ReportOutcome.FORMER_LIFE: 409,
    ReportOutcome.UNKNOWN_SERVICE: 400,
}


def _error_answer(status, error):
    return Answer(status, msgspec.json.encode(error.to_info()))


async def _serve_metrics(host, port, metrics, nursery):
    if port is None:
        return

    async def answer(method, path, body):
        text, _ = metrics.render()
        return Answer(200, text, _METRICS_KIND)

    await nursery.start(serve_interface, f'{host}:{port}', answer)


class PlatformNodeFront:
    """Interfaces of a node: protocols of requests, readiness, reports.

    Parameters
    ----------
    settings : PlatformNodeSettings
        What the platform tells the node.
    """

    def __init__(self, settings):
        self.settings = settings
        self.daemon = None
        self.nursery = None
        self.protocols = Protocols(
            PlatformCallerProtocol(self.service_beside),
            PlatformTargetProtocol(),
        )

    def service_beside(self):
        """Return the service of the target beside the node."""
        newest = self.daemon.reports.newest
        return self.settings.service if newest is None else newest.service

    def is_known(self, service):
        """Tell whether a target may belong to a service."""
        held = self.daemon.holder.current.services
        return service == self.settings.service or service in held

    async def run(self, daemon, *, task_status=trio.TASK_STATUS_IGNORED):
        """Serve the interfaces until cancelled."""
        self.daemon = daemon
        settings = self.settings
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            await nursery.start(
                serve_interface, settings.report_address, self.answer_report
            )
            await nursery.start(
                serve_interface, settings.ready_address, self.answer_ready
            )
            host = settings.report_address.rpartition(':')[0]
            await _serve_metrics(
                host, settings.metrics_port, daemon.metrics, nursery
            )
            task_status.started()

    async def answer_ready(self, method, path, body):
        """Answer whether clients may send requests."""
        return Answer(200 if self.daemon.is_ready else 503)

    async def answer_report(self, method, path, body):
        """Take a report of the target beside the node."""
        if not path.startswith(_REPORT_PATH):
            return _NOT_FOUND
        target_id = TargetId(path[len(_REPORT_PATH) :].decode('latin-1'))
        if method == b'DELETE':
            self.daemon.reports.withdraw(target_id)
            return Answer(200, b'{}')
        try:
            report = decode_report(target_id, body)
        except UnreadableReportError as error:
            log_event(REPORT_UNREADABLE, target=target_id, error=str(error))
            return _error_answer(400, error)
        outcome = self.daemon.reports.take(report)
        if self.daemon.reports.unproved:
            self.nursery.start_soon(self.prove, report)
        return Answer(_REPORT_STATUS[outcome], b'{}')

    async def prove(self, report):
        """Ask a target itself whether it serves."""
        holder = self.daemon.holder
        with trio.move_on_after(PROOF_WAIT_S):
            # Its path is known only with the release.
            while report.service not in holder.current.services:
                await holder.wait_changed()
        service = holder.current.services.get(report.service)
        if service is not None and await serves_now(
            report.address, service.health_path, report.target_id
        ):
            self.daemon.reports.prove(report)


class PlatformControlFront:
    """Interface of a control: whole releases, sent and read back.

    Parameters
    ----------
    settings : PlatformControlSettings
        What the platform tells the control.
    """

    def __init__(self, settings):
        self.settings = settings
        self.daemon = None

    async def run(self, daemon, stop, *, task_status=trio.TASK_STATUS_IGNORED):
        """Serve the interface until ``stop`` is set."""
        self.daemon = daemon
        settings = self.settings
        async with trio.open_nursery() as nursery:
            await nursery.start(
                serve_interface, settings.order_address, self.answer
            )
            await _serve_metrics(
                settings.ip, settings.metrics_port, daemon.metrics, nursery
            )
            task_status.started()
            await stop.wait()
            nursery.cancel_scope.cancel()

    async def answer(self, method, path, body):
        """Answer an operator."""
        if path != _ORDER_PATH:
            return _NOT_FOUND
        if method == b'PUT':
            return await self.answer_order(body)
        if method == b'GET':
            return await self.answer_read()
        return Answer(405)

    async def answer_order(self, body):
        """Take a whole release."""
        try:
            order = decode_order(body)
        except UnreadableConfigurationError as error:
            log_event(ORDER_ANSWERED, status=400, error=str(error))
            return _error_answer(400, error)
        answer = await self._submit(order)
        log_event(
            ORDER_ANSWERED,
            status=answer.status,
            release=order.release.number,
            base=order.base,
            digest=order.release.digest,
            answer=answer.body.decode(),
        )
        return answer

    async def _submit(self, order):
        try:
            reply = await self.daemon.source.replace(order.base, order.release)
        except InvariantError:
            raise
        except _INVALID as error:
            return _error_answer(400, error)
        except NoQuorumError as error:
            return _error_answer(503, error)
        except SnipeleadError as error:
            return _error_answer(503, error)
        if reply.outcome is OutcomeKind.ACCEPTED:
            return Answer(200, b'{}')
        status = 400 if reply.code in _INVALID_CODES else 412
        if status == 412 and reply.code not in _REPLACED_CODES:
            status = 503
        return Answer(status, msgspec.json.encode(reply))

    async def answer_read(self):
        """Answer with the newest release, if that can be proved."""
        publisher = self.daemon.service.publisher
        if not await publisher.certify():
            log_event(READ_ANSWERED, status=503)
            return Answer(503)
        release = publisher.newest
        if not release.number:
            return _NOT_FOUND
        log_event(READ_ANSWERED, status=200, release=release.number)
        return Answer(200, encode_release(release))
