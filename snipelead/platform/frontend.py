"""HTTP interfaces that nodes and controls offer to the platform."""

import msgspec
import trio

from snipelead.callers.call_path import Protocols
from snipelead.controls.exceptions import NoQuorumError
from snipelead.exceptions import InvariantError
from snipelead.exceptions import SnipeleadError
from snipelead.logs import log_event
from snipelead.platform.configuration import decode_configuration
from snipelead.platform.configuration import encode_configuration
from snipelead.platform.events import ORDER_ANSWERED
from snipelead.platform.events import READ_ANSWERED
from snipelead.platform.events import REPORT_UNREADABLE
from snipelead.platform.exceptions import UnreadableConfigurationError
from snipelead.platform.exceptions import UnreadableHeartbeatError
from snipelead.platform.health import check_health
from snipelead.platform.heartbeats import decode_heartbeat
from snipelead.platform.protocols import PlatformCallerProtocol
from snipelead.platform.protocols import PlatformTargetProtocol
from snipelead.platform.rollouts import handle_rollouts
from snipelead.platform.rollouts import ROLLOUTS_PATH
from snipelead.platform.server import HttpResponse
from snipelead.platform.server import serve_interface
from snipelead.releases.exceptions import BaseNotCurrentError
from snipelead.releases.exceptions import DanglingReferenceError
from snipelead.releases.exceptions import InvalidNoteError
from snipelead.releases.exceptions import ReleaseNumberTooLowError
from snipelead.targets.heartbeats import HeartbeatOutcome
from snipelead.targets.status import StatusSource
from snipelead.types import OutcomeKind
from snipelead.types import TargetId

__all__ = ['PlatformControlFrontend', 'PlatformNodeFrontend']

# A health check waits this long for the first release, which names its path;
# after that the next heartbeat of the target triggers another check.
FIRST_RELEASE_WAIT_S = 2.0
# Heartbeats and readiness checks are small.
MAX_NODE_BODY_BYTES = 1024 * 1024
_METRICS_CONTENT_TYPE = b'text/plain; version=0.0.4'
_HEARTBEAT_PATH_PREFIX = b'/instances/'
_CONFIGURATION_PATH = b'/config'
_NOT_FOUND = HttpResponse(404)
_INVALID_ERRORS = (
    UnreadableConfigurationError,
    InvalidNoteError,
    DanglingReferenceError,
)
_INVALID_CODES = frozenset(error.code for error in _INVALID_ERRORS)
_CONFLICT_CODES = frozenset(
    (BaseNotCurrentError.code, ReleaseNumberTooLowError.code)
)
_STATUS_BY_OUTCOME = {
    HeartbeatOutcome.ACCEPTED: 200,
    # The sender is alive, and its newer heartbeat has been accepted.
    HeartbeatOutcome.STALE: 200,
    HeartbeatOutcome.WITHDRAWN: 200,
    HeartbeatOutcome.PREVIOUS_INCARNATION: 409,
    HeartbeatOutcome.UNKNOWN_SERVICE: 400,
}


def _error_response(status, error):
    return HttpResponse(status, msgspec.json.encode(error.to_info()))


async def _serve_metrics(host, port, metrics, nursery, budget):
    if port is None:
        return

    async def handle(method, path, body):
        text, _ = metrics.render()
        return HttpResponse(200, text, _METRICS_CONTENT_TYPE)

    await nursery.start(
        serve_interface,
        f'{host}:{port}',
        handle,
        budget,
        MAX_NODE_BODY_BYTES,
    )


class PlatformNodeFrontend:
    """Interfaces of a node for requests, readiness checks and heartbeats.

    Parameters
    ----------
    settings : PlatformNodeSettings
        Settings of the node.

    Attributes
    ----------
    is_checking : bool
        Whether the health of a target is being checked; one check at a time.
    """

    def __init__(self, settings):
        self.settings = settings
        self.daemon = None
        self.nursery = None
        self.is_checking = False
        self.protocols = Protocols(
            PlatformCallerProtocol(self.get_local_service),
            PlatformTargetProtocol(),
        )

    def get_local_service(self):
        """Return the service of the node's local target."""
        newest = self.daemon.heartbeat_tracker.newest
        return self.settings.service if newest is None else newest.service

    def is_known_service(self, service):
        """Tell whether targets of a service are accepted.

        Parameters
        ----------
        service : ServiceName
            Service named in a heartbeat.

        Returns
        -------
        bool
            Whether the settings or the current release name it.
        """
        services = self.daemon.holder.current.services
        return service == self.settings.service or service in services

    async def run(self, daemon, *, task_status=trio.TASK_STATUS_IGNORED):
        """Serve the interfaces until cancelled.

        Parameters
        ----------
        daemon : NodeDaemon
            Node to serve for.
        task_status : trio.TaskStatus
            Notified once all interfaces are listening.
        """
        self.daemon = daemon
        settings = self.settings
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            await nursery.start(
                serve_interface,
                settings.report_address,
                self.handle_heartbeat,
                daemon.call_path.budget,
                MAX_NODE_BODY_BYTES,
            )
            await nursery.start(
                serve_interface,
                settings.ready_address,
                self.handle_readiness,
                daemon.call_path.budget,
                MAX_NODE_BODY_BYTES,
            )
            host = settings.report_address.rpartition(':')[0]
            await _serve_metrics(
                host,
                settings.metrics_port,
                daemon.metrics,
                nursery,
                daemon.call_path.budget,
            )
            task_status.started()

    async def handle_readiness(self, method, path, body):
        """Respond to a readiness check of the platform."""
        return HttpResponse(200 if self.daemon.is_ready else 503)

    async def handle_heartbeat(self, method, path, body):
        """Process a heartbeat or the withdrawal of the local target."""
        if not path.startswith(_HEARTBEAT_PATH_PREFIX):
            return _NOT_FOUND
        target_id = TargetId(
            path[len(_HEARTBEAT_PATH_PREFIX) :].decode('latin-1')
        )
        if method == b'DELETE':
            self.daemon.heartbeat_tracker.withdraw(target_id)
            return HttpResponse(200, b'{}')
        try:
            heartbeat = decode_heartbeat(target_id, body)
        except UnreadableHeartbeatError as error:
            log_event(REPORT_UNREADABLE, target=target_id, error=str(error))
            return _error_response(400, error)
        outcome = self.daemon.heartbeat_tracker.process(heartbeat)
        if self.daemon.heartbeat_tracker.needs_check and not self.is_checking:
            self.is_checking = True
            self.nursery.start_soon(self._verify_targets)
        return HttpResponse(_STATUS_BY_OUTCOME[outcome], b'{}')

    async def _verify_targets(self):
        """Check the target's health once for all heartbeats that wait."""
        tracker = self.daemon.heartbeat_tracker
        checked = None
        try:
            while tracker.needs_check and tracker.newest is not checked:
                checked = tracker.newest
                await self.verify_target(checked)
        finally:
            self.is_checking = False

    async def verify_target(self, heartbeat):
        """Check the health of a target that must be verified to serve.

        Parameters
        ----------
        heartbeat : TargetHeartbeat
            Heartbeat of the target.
        """
        holder = self.daemon.holder
        with trio.move_on_after(FIRST_RELEASE_WAIT_S):
            # The release names the path of the health check.
            while heartbeat.service not in holder.current.services:
                await holder.wait_changed()
        service = holder.current.services.get(heartbeat.service)
        if service is None:
            return
        report = await check_health(
            heartbeat.address, service.health_path, heartbeat.target_id
        )
        self.daemon.statuses.record(
            heartbeat.target_id,
            heartbeat.started_ms,
            report.status,
            report.sent_at,
            StatusSource.OTHER_RESPONSE,
        )
        if report.serving:
            self.daemon.heartbeat_tracker.confirm_serving(heartbeat)


class PlatformControlFrontend:
    """Interface of a control for replacing and reading the configuration.

    Parameters
    ----------
    settings : PlatformControlSettings
        Settings of the control.
    """

    def __init__(self, settings):
        self.settings = settings
        self.daemon = None

    async def run(self, daemon, stop, *, task_status=trio.TASK_STATUS_IGNORED):
        """Serve the interface until ``stop`` is set.

        Parameters
        ----------
        daemon : ControlDaemon
            Control to serve for.
        stop : trio.Event
            Requests a graceful stop.
        task_status : trio.TaskStatus
            Notified once the interface is listening.
        """
        self.daemon = daemon
        settings = self.settings
        async with trio.open_nursery() as nursery:
            await nursery.start(
                serve_interface,
                settings.order_address,
                self.handle,
                daemon.budget,
            )
            await _serve_metrics(
                settings.ip,
                settings.metrics_port,
                daemon.metrics,
                nursery,
                daemon.budget,
            )
            task_status.started()
            await stop.wait()
            nursery.cancel_scope.cancel()

    async def handle(self, method, path, body):
        """Respond to a request of an operator."""
        rollouts = self.daemon.rollouts
        if rollouts is not None and path.startswith(ROLLOUTS_PATH):
            return await handle_rollouts(rollouts, method, path, body)
        if path != _CONFIGURATION_PATH:
            return _NOT_FOUND
        if method == b'PUT':
            return await self.handle_put(body)
        if method == b'GET':
            return await self.handle_get()
        return HttpResponse(405)

    async def handle_put(self, body):
        """Replace the current release by the one in the request body."""
        try:
            replacement = decode_configuration(body)
        except UnreadableConfigurationError as error:
            log_event(ORDER_ANSWERED, status=400, error=str(error))
            return _error_response(400, error)
        response = await self._replace_release(replacement)
        log_event(
            ORDER_ANSWERED,
            status=response.status,
            release=replacement.release.number,
            base=replacement.base,
            digest=replacement.release.digest,
            answer=response.body.decode(),
        )
        return response

    async def _replace_release(self, replacement):
        try:
            reply = await self.daemon.source.replace(
                replacement.base, replacement.release
            )
        except InvariantError:
            raise
        except _INVALID_ERRORS as error:
            return _error_response(400, error)
        except NoQuorumError as error:
            return _error_response(503, error)
        except SnipeleadError as error:
            return _error_response(503, error)
        if reply.outcome is OutcomeKind.ACCEPTED:
            return HttpResponse(200, b'{}')
        status = 400 if reply.code in _INVALID_CODES else 412
        if status == 412 and reply.code not in _CONFLICT_CODES:
            status = 503
        return HttpResponse(status, msgspec.json.encode(reply))

    async def handle_get(self):
        """Respond with the newest release.

        The status is 503 if the controls cannot confirm that it is still the
        newest one.
        """
        publisher = self.daemon.service.publisher
        if not await publisher.certify():
            log_event(READ_ANSWERED, status=503)
            return HttpResponse(503)
        release = publisher.newest
        if not release.number:
            return _NOT_FOUND
        log_event(READ_ANSWERED, status=200, release=release.number)
        return HttpResponse(200, encode_configuration(release))
