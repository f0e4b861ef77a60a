"""Measurements of the slopes that docs/CAPACITY.md is worked out from."""

from contextlib import contextmanager
from pathlib import Path
import tempfile
import time
import tracemalloc

from msgspec import field
from msgspec import Struct
import trio
import yaml

from benchmarks.processor import read_cpu_s
from benchmarks.processor import read_rss_mb
from benchmarks.swarm import open_swarm
from benchmarks.swarm import SERVICE
from snipelead.emulator.load import CallKind
from snipelead.emulator.load import ClosedLoop
from snipelead.messages import ClaimRequest
from snipelead.messages import DirectoryUpdate
from snipelead.messages import TargetEntry
from snipelead.nodes.directory import TargetDirectory
from snipelead.releases.changes import apply_note
from snipelead.releases.document import EMPTY_RELEASE
from snipelead.releases.note import load_note
from snipelead.testing.processes import Fleet
from snipelead.testing.processes import wait_for
from snipelead.testing.relay import RelayThread
from snipelead.types import Address
from snipelead.types import Incarnation
from snipelead.types import NodeId
from snipelead.types import ServiceName
from snipelead.types import TargetId
from snipelead.types import TargetState
from snipelead.types import ZoneName

__all__ = [
    'CallPoint',
    'ClaimPoint',
    'FleetPoint',
    'SizePoint',
    'make_changes',
    'measure_calls',
    'measure_claims',
    'measure_fleet',
    'measure_sizes',
]

CALLERS = 8
IDLE_S = 15.0
# So many entries are never compacted, so that the growth of the log shows.
NO_COMPACTION = 100_000
CHANGES = 10
RESTARTS = 5
FLEET_READS = 10
CLAIM_TASKS = 32
ROUTES_PER_SERVICE = 2
SERVICES = 230
ZONES = 12
RESTART_SETTLE_S = 1.0


class CallPoint(Struct, frozen=True):
    """Processor time of nodes for a number of calls, in seconds."""

    calls: int
    local_s: float
    origin_s: float
    owner_s: float


class FleetPoint(Struct, kw_only=True):
    """What controls and nodes need for a number of nodes.

    Rates are per second of the idle time; the others per change.

    Parameters
    ----------
    nodes : int
        Nodes of the swarm.
    idle_bytes_per_s, idle_control_cpu, idle_node_cpu : float
        Bytes on all links of the nodes, both ways; shares of a core of the
        busiest control and of the whole swarm.
    control_mb : float
        Resident memory of the largest control.
    change_bytes, change_control_s, change_node_s : float
        Bytes on all links, processor seconds of the busiest control and of
        the whole swarm, for each change of one setting.
    change_disk_bytes : float
        Growth of a control's data folder for each change.
    convergence_s : float
        Longest time from acceptance to in force on all nodes.
    restart_bytes, restart_control_s : float
        Bytes on all links and processor seconds of the busiest control for
        each target that leaves and comes back, all nodes subscribed.
    read_control_s, read_bytes : float
        Processor seconds and bytes of one read of the fleet.
    """

    nodes: int
    idle_bytes_per_s: float = 0.0
    idle_control_cpu: float = 0.0
    idle_node_cpu: float = 0.0
    control_mb: float = 0.0
    change_bytes: float = 0.0
    change_control_s: float = 0.0
    change_node_s: float = 0.0
    change_disk_bytes: float = 0.0
    convergence_s: float = 0.0
    restart_bytes: float = 0.0
    restart_control_s: float = 0.0
    read_control_s: float = 0.0
    read_bytes: float = 0.0


class ClaimPoint(Struct, frozen=True):
    """Cost of a number of claims on the leader; times in seconds."""

    claims: int
    leader_s: float
    elapsed_s: float
    disk_bytes: int


class SizePoint(Struct, frozen=True):
    """Memory and time for a number of services, or of targets."""

    count: int
    release_bytes: int
    directory_bytes: int
    directory_s: float


class Counters(Struct):
    """Readings of all parties at one moment."""

    at: float
    bytes: int
    controls_s: list[float] = field(default_factory=list)
    swarm_s: float = 0.0


def make_changes(services):
    """Return the changes of a first release of some size."""
    changes = [{'action': 'add', 'setting': {'name': 'revision', 'value': 1}}]
    for number in range(services):
        service = f'service-{number}'
        changes.append({'action': 'add', 'service': {'name': service}})
        changes += [
            {
                'action': 'add',
                'route': {
                    'name': f'{service}-{part}',
                    'service': service,
                    'path_prefix': f'/{service}/{part}',
                    'repeatable': True,
                },
            }
            for part in range(ROUTES_PER_SERVICE)
        ]
    return changes


def change_revision(number):
    """Return the changes of a later release: one setting."""
    setting = {'name': 'revision', 'value': number}
    return [{'action': 'change', 'setting': setting}]


@contextmanager
def running_fleet(**parameters):
    """Run a fleet in a temporary folder."""
    with (
        tempfile.TemporaryDirectory() as folder,
        Fleet(folder, **parameters) as fleet,
    ):
        for control in fleet.controls:
            fleet.settings_of(control, snapshot_entries=NO_COMPACTION)
        yield fleet.start()


# Calls


def measure_calls(counts):
    """Measure the processor time of nodes for numbers of calls.

    Returns
    -------
    list of CallPoint, float
        Points, and resident memory of a node in megabytes.
    """
    with running_fleet(
        controls=1,
        services=['service-0', None],
        target_changes={'service_time_ms': 0.0, 'slots': 100},
    ) as fleet:
        address = fleet.operator_addresses()[0]
        note = {'release': 1, 'note': 'first', 'changes': make_changes(1)}
        post = f'http://{address}/v1/releases'
        wait_for(
            lambda: (
                fleet.client.post(
                    post, content=yaml.safe_dump(note)
                ).is_success
            ),
            'release 1',
        )
        for url in fleet.caller_urls():
            wait_for(
                lambda u=url: fleet.client.get(f'{u}/service-0/0').is_success,
                f'{url} serves',
            )
        points = [_measure_calls(fleet, count) for count in counts]
        return points, read_rss_mb(fleet.nodes[0].popen.pid)


def _measure_calls(fleet, count):
    owner, origin = fleet.nodes
    pids = [owner.popen.pid, origin.popen.pid]

    def run(node):
        before = [read_cpu_s(pid) for pid in pids]
        load = ClosedLoop(
            [node.settings.caller_address],
            [CallKind(path='/service-0/0', tenant='a', request_class='i')],
            CALLERS,
            count // CALLERS,
        )
        trio.run(load.run)
        return [
            read_cpu_s(pid) - start
            for pid, start in zip(pids, before, strict=True)
        ]

    local_s, _ = run(owner)
    owner_s, origin_s = run(origin)
    return CallPoint(count, local_s, origin_s, owner_s)


# Nodes and controls


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
    disk = _disk_bytes(swarm.fleet)
    times = [
        await swarm.time_change(change_revision(n)) for n in range(CHANGES)
    ]
    after = read()
    point.convergence_s = max(times)
    disk = _disk_bytes(swarm.fleet) - disk
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


# Claims


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
    pids = [control.popen.pid for control in fleet.controls]
    before = [read_cpu_s(pid) for pid in pids]
    disk = _disk_bytes(fleet)
    started = time.monotonic()

    async def make_claims(task):
        for number in range(count // CLAIM_TASKS):
            key = f'{count}-{task}-{number}'
            await client.claim(ClaimRequest('r', key, f'c-{key}'))

    async with trio.open_nursery() as nursery:
        for task in range(CLAIM_TASKS):
            nursery.start_soon(make_claims, task)
    elapsed_s = time.monotonic() - started
    busy = [
        read_cpu_s(pid) - start
        for pid, start in zip(pids, before, strict=True)
    ]
    return ClaimPoint(count, max(busy), elapsed_s, _disk_bytes(fleet) - disk)


def _disk_bytes(fleet):
    folder = Path(fleet.controls[0].settings.data_dir)
    return sum(p.stat().st_size for p in folder.rglob('*') if p.is_file())


# Sizes


def measure_sizes(counts):
    """Measure what a release and a directory take in a node.

    Returns
    -------
    list of SizePoint
    """
    return [_measure_size(count) for count in counts]


def _measure_size(count):
    tracemalloc.start()
    note = {'release': 1, 'note': 'n', 'changes': make_changes(count)}
    text = yaml.safe_dump(note)
    before = tracemalloc.get_traced_memory()[0]
    release = apply_note(EMPTY_RELEASE, load_note(text))
    release_bytes = tracemalloc.get_traced_memory()[0] - before
    before = tracemalloc.get_traced_memory()[0]
    update = _make_update(count)
    directory = TargetDirectory()
    directory.apply(update)
    directory_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    started = time.process_time()
    TargetDirectory().apply(update)
    directory_s = time.process_time() - started
    if release.number != 1:
        raise LookupError('the release was not built')
    return SizePoint(count, release_bytes, directory_bytes, directory_s)


def _make_update(count):
    entries = tuple(
        TargetEntry(
            TargetId(f'target-{n}'),
            NodeId(f'node-{n}'),
            ZoneName(f'zone-{n % ZONES}'),
            ServiceName(f'service-{n % SERVICES}'),
            Address(f'127.0.0.1:{n}'),
            Incarnation(n),
            1,
        )
        for n in range(count)
    )
    return DirectoryUpdate('epoch', 1, True, entries)
