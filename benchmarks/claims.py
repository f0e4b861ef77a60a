"""Cost of claims on idempotency keys."""

import time

import trio

from benchmarks.deployment import make_changes
from benchmarks.deployment import read_disk_bytes
from benchmarks.deployment import running_fleet
from benchmarks.node_simulation import open_simulation
from benchmarks.points import ClaimPoint
from benchmarks.process_usage import CpuTimer
from snipelead.messages import ClaimRequest

__all__ = ['measure_claims']

CONCURRENT_CLAIMS = 32


def measure_claims(counts):
    """Measure claims of idempotency keys that concurrent tasks make.

    Parameters
    ----------
    counts : sequence of int
        Numbers of claims, multiples of ``CONCURRENT_CLAIMS``.

    Returns
    -------
    list of ClaimPoint
    """
    with running_fleet(services=[]) as fleet:
        return trio.run(_measure_claims, fleet, counts)


async def _measure_claims(fleet, counts):
    points = []
    async with open_simulation(fleet, 1) as simulation:
        await simulation.submit(make_changes(1))
        await simulation.converge()
        [node] = simulation.nodes
        for count in counts:
            points.append(await _measure_point(fleet, node.client, count))
    return points


async def _measure_point(fleet, client, count):
    cpu_timer = CpuTimer([control.popen.pid for control in fleet.controls])
    cpu_timer.start()
    initial_disk_bytes = read_disk_bytes(fleet)
    start_time_s = time.monotonic()

    async def make_claims(task):
        for number in range(count // CONCURRENT_CLAIMS):
            key = f'{count}-{task}-{number}'
            await client.claim(ClaimRequest('r', key, f'c-{key}'))

    async with trio.open_nursery() as nursery:
        for task in range(CONCURRENT_CLAIMS):
            nursery.start_soon(make_claims, task)
    elapsed_s = time.monotonic() - start_time_s
    # The control with the most CPU time is taken to be the leader.
    return ClaimPoint(
        count,
        max(cpu_timer.cpu_s()),
        elapsed_s,
        read_disk_bytes(fleet) - initial_disk_bytes,
    )
