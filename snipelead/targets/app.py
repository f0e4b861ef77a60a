"""HTTP interface of a node for its local target and for status requests."""

from msgspec import Struct
from quart import Response

from snipelead.logs import log_event
from snipelead.targets.events import TARGET_ANNOUNCED
from snipelead.targets.events import TARGET_GONE
from snipelead.targets.events import TARGET_LEAVING
from snipelead.targets.exceptions import UnknownTargetError
from snipelead.types import Address
from snipelead.types import ServiceName
from snipelead.types import TargetId
from snipelead.types import TargetState
from snipelead.utils.http import error_response
from snipelead.utils.http import json_response
from snipelead.utils.http import make_http_app
from snipelead.utils.http import metrics_response
from snipelead.utils.http import read_json
from snipelead.utils.validation import check_address
from snipelead.utils.validation import check_name
from snipelead.utils.validation import check_parameters
from snipelead.utils.validation import Interval
from snipelead.utils.validation import Options

__all__ = ['Announcement', 'make_target_app']

MAX_BODY_BYTES = 64 * 1024
MAX_CAPACITY = 100_000


class Announcement(Struct, frozen=True, forbid_unknown_fields=True):
    """Registration of a target with its node.

    Parameters
    ----------
    target_id : TargetId
        Unique id.
    service : ServiceName
        Service that the target belongs to.
    address : Address
        Listening address of the target.
    slots, connections : int
        Maximum numbers of concurrent requests and of connections.
    state : TargetState
        ``starting`` during warm-up, otherwise ``serving``.
    """

    target_id: TargetId
    service: ServiceName
    address: Address
    slots: int = 20
    connections: int = 130
    state: TargetState = TargetState.SERVING


_CAPACITY_RANGE = Interval(int, 1, MAX_CAPACITY)
_CONSTRAINTS = {
    'slots': [_CAPACITY_RANGE],
    'connections': [_CAPACITY_RANGE],
    'state': [Options((TargetState.STARTING, TargetState.SERVING))],
}


def check_announcement(announcement):
    """Check the values of an announcement.

    Parameters
    ----------
    announcement : Announcement
        Announcement to check.

    Raises
    ------
    InvalidParameterError
        If a value is not allowed; the message names the parameter, the value
        and the allowed values.
    """
    owner = 'announcement'
    check_name(owner, 'target_id', announcement.target_id)
    check_name(owner, 'service', announcement.service)
    check_address(owner, 'address', announcement.address)
    values = {name: getattr(announcement, name) for name in _CONSTRAINTS}
    check_parameters(owner, values, _CONSTRAINTS)


def _announce(local_targets, announcement):
    check_announcement(announcement)
    local_targets.announce(
        announcement.target_id,
        announcement.service,
        announcement.address,
        announcement.slots,
        announcement.connections,
        announcement.state,
    )
    log_event(
        TARGET_ANNOUNCED,
        target=announcement.target_id,
        service=announcement.service,
        state=announcement.state.value,
    )


def _check_registered(local_targets, target_id):
    if target_id not in local_targets.targets:
        raise UnknownTargetError(
            f'target_id {target_id!r} is not registered with this node'
        )


def _no_content():
    return Response(b'', status=204)


def make_target_app(local_targets, metrics=None, status=None):
    """Create the application served on a node's admin address.

    Parameters
    ----------
    local_targets : LocalTargets
        Registry of the node's local targets.
    metrics : NodeMetrics or None
        Metrics served at ``/metrics``.
    status : callable or None
        Returns the JSON-compatible object served at ``/v1/status``.

    Returns
    -------
    QuartTrio
    """
    app = make_http_app(__name__, MAX_BODY_BYTES)

    @app.post('/v1/targets')
    async def announce():
        _announce(local_targets, await read_json(Announcement))
        return _no_content()

    @app.post('/v1/targets/<target_id>/renew')
    async def renew(target_id):
        _check_registered(local_targets, target_id)
        local_targets.renew(target_id)
        return _no_content()

    @app.post('/v1/targets/<target_id>/leaving')
    async def leave(target_id):
        _check_registered(local_targets, target_id)
        local_targets.change_state(target_id, TargetState.LEAVING)
        log_event(TARGET_LEAVING, target=target_id)
        return _no_content()

    @app.delete('/v1/targets/<target_id>')
    async def withdraw(target_id):
        if target_id in local_targets.targets:
            local_targets.change_state(target_id, TargetState.GONE)
            log_event(TARGET_GONE, target=target_id)
        return _no_content()

    @app.get('/v1/status')
    async def show_status():
        return json_response({} if status is None else status())

    @app.get('/metrics')
    async def show_metrics():
        return metrics_response(metrics)

    @app.errorhandler(UnknownTargetError)
    async def handle_unknown_target(error):
        return error_response(error, 404)

    return app
