"""Cost of distribution on controls and nodes, by number of nodes."""

import time

from msgspec import field
from msgspec import Struct
import trio

from benchmarks.deployment import change_revision
from benchmarks.deployment import make_changes
from benchmarks.deployment import read_disk_bytes
from benchmarks.deployment import running_fleet
from benchmarks.points import FleetPoint
from benchmarks.processor import read_cpu_s
from benchmarks.processor import read_rss_mb
from benchmarks.swarm import open_swarm
from benchmarks.swarm import SERVICE
from snipelead.testing.relay import RelayThread
from snipelead.types import TargetState

__all__ = ['measure_fleet']

IDLE_S = 15.0
CHANGES = 10
RESTARTS = 5
FLEET_READS = 10
RESTART_SETTLE_S = 1.0


class Counters(Struct):
    """Readings of all parties at one moment."""

    at: float
    bytes: int
    controls_s: list[float] = field(default_factory=list)
    swarm_s: float = 0.0


def measure_fleet(count, services):
    """Measure controls and nodes with a number of nodes.

    Parameters
    ----------
    count : int
        Nodes.
    services : int
        Services of the release that they hold.

    Returns
    -------
    FleetPoint
    """
    with running_fleet(services=[]) as fleet, RelayThread() as thread:
        relays = [thread.add(peer.address) for peer in fleet.peers]
        return trio.run(_measure_fleet, fleet, relays, count, services)


async def _measure_fleet(fleet, relays, count, services):
    point = FleetPoint(nodes=count)
    addresses = [relay.address for relay in relays]

    def read():
        return Counters(
            time.monotonic(),
            sum(relay.carried_bytes for relay in relays),
            [read_cpu_s(c.popen.pid) for c in fleet.controls],
            time.thread_time(),
        )

    async with open_swarm(fleet, count, addresses) as swarm:
        await swarm.submit(make_changes(services))
        await swarm.converge()
        for node in swarm.nodes:
            node.directory.subscribe(SERVICE)
            node.announce()
        await swarm.wait_targets(count)
        await _measure_idle(point, swarm, read)
        await _measure_changes(point, swarm, read)
        await _measure_restarts(point, swarm, read)
        await _measure_reads(point, swarm, read)
    point.control_mb = max(read_rss_mb(c.popen.pid) for c in fleet.controls)
    return point


async def _measure_idle(point, swarm, read):
    await swarm.wait_quiet()
    before = read()
    await trio.sleep(IDLE_S)
    after = read()
    elapsed_s = after.at - before.at
    point.idle_bytes_per_s = (after.bytes - before.bytes) / elapsed_s
    point.idle_control_cpu = _busiest(before, after) / elapsed_s
    point.idle_node_cpu = (after.swarm_s - before.swarm_s) / elapsed_s


async def _measure_changes(point, swarm, read):
    before = read()
    disk = read_disk_bytes(swarm.fleet)
    times = [
        await swarm.time_change(change_revision(n)) for n in range(CHANGES)
    ]
    after = read()
    point.convergence_s = max(times)
    disk = read_disk_bytes(swarm.fleet) - disk
    point.change_disk_bytes = disk / CHANGES
    point.change_bytes = (after.bytes - before.bytes) / CHANGES
    point.change_control_s = _busiest(before, after) / CHANGES
    point.change_node_s = (after.swarm_s - before.swarm_s) / CHANGES


async def _measure_restarts(point, swarm, read):
    before = read()
    for number in range(RESTARTS):
        node = swarm.nodes[number % len(swarm.nodes)]
        [target_id] = node.local.targets
        node.local.change_state(target_id, TargetState.GONE)
        await trio.sleep(RESTART_SETTLE_S)
        node.announce()
        await trio.sleep(RESTART_SETTLE_S)
    after = read()
    elapsed_s = after.at - before.at
    spent = after.bytes - before.bytes - point.idle_bytes_per_s * elapsed_s
    point.restart_bytes = spent / RESTARTS
    busy_s = _busiest(before, after) - point.idle_control_cpu * elapsed_s
    point.restart_control_s = busy_s / RESTARTS


async def _measure_reads(point, swarm, read):
    address = swarm.fleet.operator_addresses()[0]
    before = read()
    for _ in range(FLEET_READS):
        response = await swarm.client.get(f'http://{address}/v1/fleet')
        response.raise_for_status()
        point.read_bytes = len(response.content)
    after = read()
    point.read_control_s = _busiest(before, after) / FLEET_READS


def _busiest(before, after):
    return max(
        b - a for a, b in zip(before.controls_s, after.controls_s, strict=True)
    )
