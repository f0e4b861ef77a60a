"""HTTP calls with which operators of the platform order and read rollouts."""

import msgspec
from msgspec import field
from msgspec import Struct

from snipelead.exceptions import InvariantError
from snipelead.exceptions import SnipeleadError
from snipelead.logs import log_event
from snipelead.messages import RolloutPhase
from snipelead.platform.formats import decode_duration_ms
from snipelead.platform.server import HttpResponse
from snipelead.rollouts.events import ROLLOUT_ANSWERED
from snipelead.rollouts.exceptions import InvalidRolloutError
from snipelead.rollouts.exceptions import RolloutConflictError
from snipelead.rollouts.exceptions import UnknownRolloutServiceError
from snipelead.types import ServiceName
from snipelead.utils.decoding import limit_nesting

__all__ = ['ROLLOUTS_PATH', 'handle_rollouts']

ROLLOUTS_PATH = b'/rollouts'
_STATES = {
    RolloutPhase.RUNNING: 'running',
    RolloutPhase.PROMOTING: 'running',
    RolloutPhase.COMPLETED: 'completed',
    RolloutPhase.ROLLED_BACK: 'rolled_back',
}
_STATUSES = {
    InvalidRolloutError: 400,
    UnknownRolloutServiceError: 400,
    RolloutConflictError: 409,
}
_UNAVAILABLE = 503


class _Order(Struct, frozen=True):
    service: ServiceName
    target_version: str = field(name='target-version')
    duration: str


class _State(Struct, frozen=True):
    state: str
    target_version: str = field(name='target-version')


_decode = limit_nesting(msgspec.json.Decoder(_Order, strict=True).decode)


async def handle_rollouts(coordinator, method, path, body):
    """Respond to an order of a rollout or a query of its state.

    Parameters
    ----------
    coordinator : RolloutCoordinator
        Rollouts at this control.
    method, path, body : bytes
        The request; the path starts with ``ROLLOUTS_PATH``.

    Returns
    -------
    HttpResponse
    """
    service = path[len(ROLLOUTS_PATH) :]
    if not service:
        if method != b'POST':
            return HttpResponse(405)
        return await _respond(_order(coordinator, body), body)
    if not service.startswith(b'/'):
        return HttpResponse(404)
    if method != b'GET':
        return HttpResponse(405)
    return await _respond(_read(coordinator, service[1:]), path)


async def _respond(response, request):
    """Return a response, or the one to an error, and log it."""
    try:
        response = await response
    except InvariantError:
        raise
    except SnipeleadError as error:
        status = _STATUSES.get(type(error), _UNAVAILABLE)
        response = HttpResponse(status, msgspec.json.encode(error.to_info()))
    log_event(
        ROLLOUT_ANSWERED,
        request=request.decode('utf-8', 'replace'),
        status=response.status,
        answer=response.body.decode(),
    )
    return response


async def _order(coordinator, body):
    try:
        order = _decode(body)
        duration_ms = decode_duration_ms(order.duration)
    except (msgspec.DecodeError, ValueError) as error:
        raise InvalidRolloutError(
            f'the order of a rollout is malformed: {error}'
        ) from error
    await coordinator.start_rollout(
        order.service, order.target_version, duration_ms
    )
    return HttpResponse(200, b'{}')


async def _read(coordinator, service):
    try:
        name = ServiceName(service.decode())
    except UnicodeDecodeError:
        return HttpResponse(404)
    rollout = await coordinator.read_rollout(name)
    if rollout is None:
        return HttpResponse(404)
    state = _State(_STATES[rollout.phase], rollout.version)
    return HttpResponse(200, msgspec.json.encode(state))
