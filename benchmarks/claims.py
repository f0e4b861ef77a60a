"""Cost of claims on idempotency keys."""

import time

import trio

from benchmarks.deployment import make_changes
from benchmarks.deployment import read_disk_bytes
from benchmarks.deployment import running_fleet
from benchmarks.points import ClaimPoint
from benchmarks.processor import ProcessorTimes
from benchmarks.swarm import open_swarm
from snipelead.messages import ClaimRequest

__all__ = ['measure_claims']

CLAIM_TASKS = 32


def measure_claims(counts):
    """Measure claims made by many tasks at once.

    Returns
    -------
    list of ClaimPoint
    """
    with running_fleet(services=[]) as fleet:
        return trio.run(_measure_claims, fleet, counts)


async def _measure_claims(fleet, counts):
    points = []
    async with open_swarm(fleet, 1) as swarm:
        await swarm.submit(make_changes(1))
        await swarm.converge()
        [node] = swarm.nodes
        for count in counts:
            points.append(await _time_claims(fleet, node.client, count))
    return points


async def _time_claims(fleet, client, count):
    times = ProcessorTimes([c.popen.pid for c in fleet.controls])
    times.start()
    disk_bytes = read_disk_bytes(fleet)
    started = time.monotonic()

    async def make_claims(task):
        for number in range(count // CLAIM_TASKS):
            key = f'{count}-{task}-{number}'
            await client.claim(ClaimRequest('r', key, f'c-{key}'))

    async with trio.open_nursery() as nursery:
        for task in range(CLAIM_TASKS):
            nursery.start_soon(make_claims, task)
    elapsed_s = time.monotonic() - started
    # The leader is the busiest control.
    return ClaimPoint(
        count,
        max(times.spent_s()),
        elapsed_s,
        read_disk_bytes(fleet) - disk_bytes,
    )
