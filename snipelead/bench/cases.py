"""Cases of the call benchmark: a workload and a fault."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence

import msgspec
from msgspec import Struct
import trio

from snipelead.bench.cluster import CallCluster
from snipelead.bench.deployments import Deployment
from snipelead.emulator.load import CallSpec
from snipelead.settings.schema import HealthMode
from snipelead.types import RequestClass

__all__ = ['CASES', 'FAULT_START_FRACTION', 'Case']

SLOWDOWN = 5.0
COLD_START_MS = 2_000
RESTART_DELAY_S = 0.5
GREEDY_TENANT_FACTOR = 10.0
# Batch calls of the nightly case as a multiple of all other calls.
NIGHTLY_BATCH_RATIO = 2.0
# The fault starts after this fraction of the run.
FAULT_START_FRACTION = 0.25


class Case(Struct, frozen=True, kw_only=True):
    """One case of the call benchmark.

    Parameters
    ----------
    name, description : str
        Name of the case and one-line description.
    load : float
        Arrival rate as a fraction of the capacity of all targets.
    kinds : callable
        Returns the workload mix of a deployment.
    fault : callable or None
        Coroutine function that injects a fault into the cluster, called
        after :data:`FAULT_START_FRACTION` of the run.
    relayed : bool
        Whether relays connect the zones, which a network partition needs.
    """

    name: str
    description: str
    load: float = 0.6
    kinds: Callable[[Deployment], Sequence[CallSpec]] = lambda deployment: (
        deployment.kinds
    )
    fault: Callable[[CallCluster], Awaitable[None]] | None = None
    relayed: bool = False


async def _slow_down(cluster):
    cluster.targets[0].behaviour.slowdown = SLOWDOWN


async def _report_false_health(cluster):
    behaviour = cluster.targets[0].behaviour
    behaviour.health = HealthMode.ALWAYS_UP
    behaviour.load = 0.0
    behaviour.fails = True


async def _add_cold_target(cluster):
    service = cluster.targets[0].settings.service
    number = cluster.deployment.services[service]
    await cluster.add(service, number, cold_start_ms=COLD_START_MS)


async def _restart_half_of_nodes(cluster):
    restarted_nodes = cluster.nodes[::2]
    for node in restarted_nodes:
        node.kill()
    await trio.sleep(RESTART_DELAY_S)
    async with trio.open_nursery() as nursery:
        for node in restarted_nodes:
            nursery.start_soon(cluster.restart, node)


async def _partition_zone(cluster):
    cluster.partition(cluster.deployment.zones[0])


def _scale(kinds, is_selected, factor):
    return [
        msgspec.structs.replace(kind, weight=kind.weight * factor)
        if is_selected(kind)
        else kind
        for kind in kinds
    ]


def _nightly_kinds(deployment):
    batch = RequestClass.BATCH.value
    total_weight = sum(kind.weight for kind in deployment.kinds)
    batch_weight = sum(
        kind.weight for kind in deployment.kinds if kind.request_class == batch
    )
    factor = NIGHTLY_BATCH_RATIO * (total_weight - batch_weight) / batch_weight
    return _scale(
        deployment.kinds, lambda kind: kind.request_class == batch, factor
    )


def _greedy_kinds(deployment):
    greedy_tenant = deployment.kinds[0].tenant
    return _scale(
        deployment.kinds,
        lambda kind: kind.tenant == greedy_tenant,
        GREEDY_TENANT_FACTOR,
    )


_ALL = (
    Case(name='even', description='even load on healthy targets', load=0.7),
    Case(
        name='overload',
        description='calls arrive at 120% of the capacity',
        load=1.2,
    ),
    Case(
        name='slow',
        description='one target becomes 5 times slower',
        fault=_slow_down,
    ),
    Case(
        name='lying',
        description='one target fails every call but claims to be healthy',
        fault=_report_false_health,
    ),
    Case(
        name='cold', description='a cold target joins', fault=_add_cold_target
    ),
    Case(
        name='herd',
        description='every second node is killed and restarted',
        fault=_restart_half_of_nodes,
    ),
    Case(
        name='zone-cut',
        description='one zone is partitioned from the others without resets',
        fault=_partition_zone,
        relayed=True,
    ),
    Case(
        name='nightly',
        description='batch calls rise to twice the other calls; 150% in total',
        load=1.5,
        kinds=_nightly_kinds,
    ),
    Case(
        name='greedy',
        description='one tenant sends 10 times its share; 150% in total',
        load=1.5,
        kinds=_greedy_kinds,
    ),
)

CASES = {case.name: case for case in _ALL}
