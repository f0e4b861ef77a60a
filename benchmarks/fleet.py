"""Cost of distribution on controls and nodes, by the number of nodes."""

import time

from msgspec import field
from msgspec import Struct
import trio

from benchmarks.deployment import change_revision
from benchmarks.deployment import make_changes
from benchmarks.deployment import read_disk_bytes
from benchmarks.deployment import running_fleet
from benchmarks.node_simulation import open_simulation
from benchmarks.node_simulation import SERVICE
from benchmarks.points import FleetPoint
from benchmarks.process_usage import read_cpu_s
from benchmarks.process_usage import read_rss_mb
from snipelead.testing.relay import RelayThread
from snipelead.types import TargetState

__all__ = ['measure_fleet']

IDLE_PERIOD_S = 15.0
CHANGE_COUNT = 10
RESTART_COUNT = 5
FLEET_READ_COUNT = 10
RESTART_SETTLE_S = 1.0


class Counters(Struct):
    """Cumulative counters of all processes at one time.

    Parameters
    ----------
    time_s : float
        Monotonic time of the reading.
    link_bytes : int
        Bytes carried between nodes and controls, in both directions.
    control_cpu_s : list of float
        CPU time of each control.
    nodes_cpu_s : float
        CPU time of all simulated nodes.
    """

    time_s: float
    link_bytes: int
    control_cpu_s: list[float] = field(default_factory=list)
    nodes_cpu_s: float = 0.0


def measure_fleet(count, services):
    """Measure the cost of distribution with a number of nodes.

    Parameters
    ----------
    count : int
        Number of nodes.
    services : int
        Number of services in the release that the nodes hold.

    Returns
    -------
    FleetPoint
    """
    with running_fleet(services=[]) as fleet, RelayThread() as relay_thread:
        relays = [relay_thread.add(peer.address) for peer in fleet.peers]
        return trio.run(_measure_fleet, fleet, relays, count, services)


async def _measure_fleet(fleet, relays, count, services):
    point = FleetPoint(nodes=count)
    addresses = [relay.address for relay in relays]

    def read_counters():
        return Counters(
            time.monotonic(),
            sum(relay.relayed_bytes for relay in relays),
            [read_cpu_s(control.popen.pid) for control in fleet.controls],
            time.thread_time(),
        )

    async with open_simulation(fleet, count, addresses) as simulation:
        await simulation.submit(make_changes(services))
        await simulation.converge()
        for node in simulation.nodes:
            node.directory.subscribe(SERVICE)
            node.announce()
        await simulation.wait_targets(count)
        await _measure_idle(point, simulation, read_counters)
        await _measure_changes(point, simulation, read_counters)
        await _measure_restarts(point, simulation, read_counters)
        await _measure_reads(point, simulation, read_counters)
    point.control_mb = max(
        read_rss_mb(control.popen.pid) for control in fleet.controls
    )
    return point


async def _measure_idle(point, simulation, read_counters):
    await simulation.wait_steady()
    before = read_counters()
    await trio.sleep(IDLE_PERIOD_S)
    after = read_counters()
    elapsed_s = after.time_s - before.time_s
    point.idle_bytes_per_s = (after.link_bytes - before.link_bytes) / elapsed_s
    point.idle_control_cpu = _max_control_cpu_s(before, after) / elapsed_s
    point.idle_node_cpu = (after.nodes_cpu_s - before.nodes_cpu_s) / elapsed_s


async def _measure_changes(point, simulation, read_counters):
    before = read_counters()
    disk_bytes = read_disk_bytes(simulation.fleet)
    convergence_times_s = [
        await simulation.time_change(change_revision(n))
        for n in range(CHANGE_COUNT)
    ]
    after = read_counters()
    point.convergence_s = max(convergence_times_s)
    disk_bytes = read_disk_bytes(simulation.fleet) - disk_bytes
    point.change_disk_bytes = disk_bytes / CHANGE_COUNT
    point.change_bytes = (after.link_bytes - before.link_bytes) / CHANGE_COUNT
    point.change_control_s = _max_control_cpu_s(before, after) / CHANGE_COUNT
    point.change_node_s = (
        after.nodes_cpu_s - before.nodes_cpu_s
    ) / CHANGE_COUNT


async def _measure_restarts(point, simulation, read_counters):
    before = read_counters()
    for number in range(RESTART_COUNT):
        node = simulation.nodes[number % len(simulation.nodes)]
        [target_id] = node.local_targets.targets
        node.local_targets.change_state(target_id, TargetState.GONE)
        await trio.sleep(RESTART_SETTLE_S)
        node.announce()
        await trio.sleep(RESTART_SETTLE_S)
    after = read_counters()
    elapsed_s = after.time_s - before.time_s
    restart_bytes = (
        after.link_bytes
        - before.link_bytes
        - point.idle_bytes_per_s * elapsed_s
    )
    point.restart_bytes = restart_bytes / RESTART_COUNT
    restart_cpu_s = (
        _max_control_cpu_s(before, after) - point.idle_control_cpu * elapsed_s
    )
    point.restart_control_s = restart_cpu_s / RESTART_COUNT


async def _measure_reads(point, simulation, read_counters):
    address = simulation.fleet.get_operator_addresses()[0]
    before = read_counters()
    for _ in range(FLEET_READ_COUNT):
        response = await simulation.client.get(f'http://{address}/v1/fleet')
        response.raise_for_status()
        point.read_bytes = len(response.content)
    after = read_counters()
    point.read_control_s = _max_control_cpu_s(before, after) / FLEET_READ_COUNT


def _max_control_cpu_s(before, after):
    return max(
        end_s - start_s
        for start_s, end_s in zip(
            before.control_cpu_s, after.control_cpu_s, strict=True
        )
    )
