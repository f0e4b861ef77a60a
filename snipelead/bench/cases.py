"""Cases of the bench of the call: load, and what goes wrong meanwhile."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence

import msgspec
from msgspec import Struct
import trio

from snipelead.bench.cluster import CallCluster
from snipelead.bench.deployments import Deployment
from snipelead.emulator.load import CallKind
from snipelead.settings.schema import HealthClaim
from snipelead.types import RequestClass

__all__ = ['CASES', 'FAULT_AT', 'Case']

SLOWDOWN = 5.0
COLD_START_MS = 2_000
RESTART_AFTER_S = 0.5
TENANT_SHARE = 10.0
# Batch calls of the nightly case, as a multiple of the interactive ones.
NIGHTLY_SHARE = 2.0
# Part of the run after which the fault comes.
FAULT_AT = 0.25


class Case(Struct, frozen=True, kw_only=True):
    """One case.

    Parameters
    ----------
    name, about : str
        Name and one line of explanation.
    load : float
        Arrivals as a share of the capacity of all targets.
    kinds : callable
        Takes the deployment; returns the mix.
    fault : callable or None
        Takes the cluster; runs from a quarter of the time on.
    relayed : bool
        Whether zones are linked by relays.
    """

    name: str
    about: str
    load: float = 0.6
    kinds: Callable[[Deployment], Sequence[CallKind]] = lambda d: d.kinds
    fault: Callable[[CallCluster], Awaitable[None]] | None = None
    relayed: bool = False


async def _slow_down(cluster):
    cluster.targets[0].behaviour.slowdown = SLOWDOWN


async def _lie(cluster):
    behaviour = cluster.targets[0].behaviour
    behaviour.health = HealthClaim.ALWAYS_UP
    behaviour.load = 0.0
    behaviour.fails = True


async def _start_cold(cluster):
    service = cluster.targets[0].settings.service
    number = cluster.deployment.services[service]
    await cluster.add(service, number, cold_start_ms=COLD_START_MS)


async def _restart_herd(cluster):
    herd = cluster.nodes[::2]
    for node in herd:
        node.kill()
    await trio.sleep(RESTART_AFTER_S)
    async with trio.open_nursery() as nursery:
        for node in herd:
            nursery.start_soon(cluster.restart, node)


async def _cut_zone(cluster):
    cluster.cut_off(cluster.deployment.zones[0])


def _scale(kinds, chosen, factor):
    return [
        msgspec.structs.replace(kind, weight=kind.weight * factor)
        if chosen(kind)
        else kind
        for kind in kinds
    ]


def _nightly_kinds(deployment):
    batch = RequestClass.BATCH.value
    total = sum(k.weight for k in deployment.kinds)
    now = sum(k.weight for k in deployment.kinds if k.request_class == batch)
    factor = NIGHTLY_SHARE * (total - now) / now
    return _scale(deployment.kinds, lambda k: k.request_class == batch, factor)


def _greedy_kinds(deployment):
    greedy = deployment.kinds[0].tenant
    return _scale(deployment.kinds, lambda k: k.tenant == greedy, TENANT_SHARE)


_ALL = (
    Case(name='even', about='even load on healthy targets', load=0.7),
    Case(name='overload', about='120% of the capacity arrives', load=1.2),
    Case(
        name='slow',
        about='one target becomes 5 times slower',
        fault=_slow_down,
    ),
    Case(
        name='lying',
        about='one target fails every call and claims to be well',
        fault=_lie,
    ),
    Case(name='cold', about='a cold target joins', fault=_start_cold),
    Case(
        name='herd',
        about='every second node is killed and restarted',
        fault=_restart_herd,
    ),
    Case(
        name='zone-cut',
        about='one zone is cut off from the others in silence',
        fault=_cut_zone,
        relayed=True,
    ),
    Case(
        name='nightly',
        about='reports come on top, twice the other calls; 150% in all',
        load=1.5,
        kinds=_nightly_kinds,
    ),
    Case(
        name='greedy',
        about='one tenant sends 10 times its share; 150% in all',
        load=1.5,
        kinds=_greedy_kinds,
    ),
)

CASES = {case.name: case for case in _ALL}
