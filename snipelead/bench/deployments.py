"""Presets of the call benchmark, modelled on the two current deployments."""

from msgspec import Struct

from snipelead.emulator.load import CallSpec
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
    """Size and workload of a deployment.

    Parameters
    ----------
    name : str
        Name of the preset.
    services : dict of ServiceName to int
        Number of targets by service.
    slots, connections : int
        Limits of each target.
    service_time_ms : float
        Mean service time. It is longer than in production, so that a single
        process can generate enough load to saturate all targets.
    routes : tuple of Route
        Routes of the release.
    kinds : tuple of CallSpec
        Workload mix during the day.
    """

    name: str
    services: dict[ServiceName, int]
    slots: int
    connections: int
    service_time_ms: float
    routes: tuple[Route, ...]
    kinds: tuple[CallSpec, ...]

    @property
    def zones(self):
        """Names of the availability zones."""
        return [ZoneName(f'{self.name}-{n}') for n in range(ZONE_COUNT)]

    @property
    def capacity_per_s(self):
        """Number of calls per second that all targets can run together."""
        slots = self.slots * sum(self.services.values())
        return slots * 1_000 / self.service_time_ms

    def make_release(self):
        """Return the release that the nodes use."""
        return Release(
            ReleaseNumber(1),
            {
                name: Service(name, self.slots, self.connections)
                for name in self.services
            },
            {route.name: route for route in self.routes},
        )


def _make_route(name, service, request_class, repeatable=True):
    return Route(
        RouteName(name),
        ServiceName(service),
        f'/{name}',
        request_class=request_class,
        repeatable=repeatable,
        deadline_ms=CALL_DEADLINE_MS,
    )


def _make_call_specs(name, request_class, tenants, weight):
    at_most_once = request_class is RequestClass.ONCE
    return tuple(
        CallSpec(
            path=f'/{name}',
            method='POST' if at_most_once else 'GET',
            tenant=tenant,
            request_class=request_class.value,
            weight=weight / len(tenants),
            repeatable=not at_most_once,
            has_idempotency_key=at_most_once,
            deadline_ms=CALL_DEADLINE_MS,
            body_bytes=200 if at_most_once else 0,
        )
        for tenant in tenants
    )


_SUPPLIER_TENANTS = ('alfa', 'beta', 'gama')
_FAIR_TENANTS = ('centro', 'cerro')

DEPLOYMENTS = {
    'dozators': Deployment(
        name='dozators',
        services={ServiceName('contracts'): 5, ServiceName('stock'): 7},
        slots=20,
        connections=130,
        service_time_ms=100.0,
        routes=(
            _make_route('schedules', 'contracts', RequestClass.INTERACTIVE),
            _make_route('refills', 'contracts', RequestClass.ONCE, False),
            _make_route('levels', 'stock', RequestClass.INTERACTIVE),
            _make_route('billing', 'stock', RequestClass.BATCH),
        ),
        # The weights load both services equally in proportion to their slots.
        kinds=(
            *_make_call_specs(
                'schedules', RequestClass.INTERACTIVE, _SUPPLIER_TENANTS, 4.0
            ),
            *_make_call_specs(
                'refills', RequestClass.ONCE, _SUPPLIER_TENANTS, 1.0
            ),
            *_make_call_specs(
                'levels', RequestClass.INTERACTIVE, _SUPPLIER_TENANTS, 6.0
            ),
            *_make_call_specs(
                'billing', RequestClass.BATCH, _SUPPLIER_TENANTS, 1.0
            ),
        ),
    ),
    'feriasoft': Deployment(
        name='feriasoft',
        services={ServiceName('cobranza'): 4, ServiceName('padron-ferias'): 4},
        slots=6,
        connections=110,
        service_time_ms=50.0,
        routes=(
            _make_route('balances', 'cobranza', RequestClass.INTERACTIVE),
            _make_route('payments', 'cobranza', RequestClass.ONCE, False),
            _make_route('stalls', 'padron-ferias', RequestClass.INTERACTIVE),
            _make_route('arrears', 'padron-ferias', RequestClass.BATCH),
        ),
        kinds=(
            *_make_call_specs(
                'balances', RequestClass.INTERACTIVE, _FAIR_TENANTS, 3.0
            ),
            *_make_call_specs(
                'payments', RequestClass.ONCE, _FAIR_TENANTS, 1.0
            ),
            *_make_call_specs(
                'stalls', RequestClass.INTERACTIVE, _FAIR_TENANTS, 3.5
            ),
            *_make_call_specs(
                'arrears', RequestClass.BATCH, _FAIR_TENANTS, 0.5
            ),
        ),
    ),
}
