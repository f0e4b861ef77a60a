"""The two deployments of today, as presets of the benches."""

from msgspec import Struct

from snipelead.emulator.load import CallKind
from snipelead.releases.document import Release
from snipelead.releases.document import Route
from snipelead.releases.document import Service
from snipelead.types import ReleaseNumber
from snipelead.types import RequestClass
from snipelead.types import RouteName
from snipelead.types import ServiceName
from snipelead.types import ZoneName

__all__ = ['DEPLOYMENTS', 'Deployment']

ZONE_COUNT = 3
CALL_DEADLINE_MS = 2_000


class Deployment(Struct, frozen=True, kw_only=True):
    """Size and calls of a deployment.

    Parameters
    ----------
    name : str
        Name of the preset.
    services : dict of ServiceName to int
        Targets of each service.
    slots, connections : int
        Limits of each target.
    service_time_ms : float
        Mean service time. It is longer than in the field, so that the
        capacity of all targets is within reach of one process.
    routes : tuple of Route
        Routes of its release.
    kinds : tuple of CallKind
        Mix of the calls of the day.
    """

    name: str
    services: dict[ServiceName, int]
    slots: int
    connections: int
    service_time_ms: float
    routes: tuple[Route, ...]
    kinds: tuple[CallKind, ...]

    @property
    def zones(self):
        """Names of the availability zones."""
        return [ZoneName(f'{self.name}-{n}') for n in range(ZONE_COUNT)]

    @property
    def capacity_per_s(self):
        """Calls that all targets together can run in a second."""
        slots = self.slots * sum(self.services.values())
        return slots * 1_000 / self.service_time_ms

    def make_release(self):
        """Return the release that the nodes hold."""
        return Release(
            ReleaseNumber(1),
            {
                name: Service(name, self.slots, self.connections)
                for name in self.services
            },
            {route.name: route for route in self.routes},
        )


def _route(name, service, request_class, repeatable=True):
    return Route(
        RouteName(name),
        ServiceName(service),
        f'/{name}',
        request_class=request_class,
        repeatable=repeatable,
        deadline_ms=CALL_DEADLINE_MS,
    )


def _kinds(name, request_class, tenants, weight):
    once = request_class is RequestClass.ONCE
    return tuple(
        CallKind(
            path=f'/{name}',
            method='POST' if once else 'GET',
            tenant=tenant,
            request_class=request_class.value,
            weight=weight / len(tenants),
            repeatable=not once,
            keyed=once,
            deadline_ms=CALL_DEADLINE_MS,
            body_bytes=200 if once else 0,
        )
        for tenant in tenants
    )


_SUPPLIERS = ('alfa', 'beta', 'gama')
_FAIRS = ('centro', 'cerro')

DEPLOYMENTS = {
    'dozators': Deployment(
        name='dozators',
        services={ServiceName('contracts'): 5, ServiceName('stock'): 7},
        slots=20,
        connections=130,
        service_time_ms=100.0,
        routes=(
            _route('schedules', 'contracts', RequestClass.INTERACTIVE),
            _route('refills', 'contracts', RequestClass.ONCE, False),
            _route('levels', 'stock', RequestClass.INTERACTIVE),
            _route('billing', 'stock', RequestClass.BATCH),
        ),
        # Weights keep both services equally loaded for their slots.
        kinds=(
            *_kinds('schedules', RequestClass.INTERACTIVE, _SUPPLIERS, 4.0),
            *_kinds('refills', RequestClass.ONCE, _SUPPLIERS, 1.0),
            *_kinds('levels', RequestClass.INTERACTIVE, _SUPPLIERS, 6.0),
            *_kinds('billing', RequestClass.BATCH, _SUPPLIERS, 1.0),
        ),
    ),
    'feriasoft': Deployment(
        name='feriasoft',
        services={ServiceName('cobranza'): 4, ServiceName('padron-ferias'): 4},
        slots=6,
        connections=110,
        service_time_ms=50.0,
        routes=(
            _route('balances', 'cobranza', RequestClass.INTERACTIVE),
            _route('payments', 'cobranza', RequestClass.ONCE, False),
            _route('stalls', 'padron-ferias', RequestClass.INTERACTIVE),
            _route('arrears', 'padron-ferias', RequestClass.BATCH),
        ),
        kinds=(
            *_kinds('balances', RequestClass.INTERACTIVE, _FAIRS, 3.0),
            *_kinds('payments', RequestClass.ONCE, _FAIRS, 1.0),
            *_kinds('stalls', RequestClass.INTERACTIVE, _FAIRS, 3.5),
            *_kinds('arrears', RequestClass.BATCH, _FAIRS, 0.5),
        ),
    ),
}
