"""Benchmark of convergence time and control traffic.

Results are given by fleet size, update strategy and preference. One process
runs a voter and the distribution service. Other processes run the sync
clients of the nodes as tasks, connected by gRPC over loopback. Convergence
time runs from the acceptance of a note to the swap on each node, on the
monotonic clock of the machine.
"""

from contextlib import AsyncExitStack
from math import inf
import tempfile
import time

from msgspec import Struct
from msgspec.structs import astuple
import trio

from snipelead.bench.baselines import UpdateStrategy
from snipelead.bench.control import BenchControl
from snipelead.bench.fleet_hosts import FleetHosts
from snipelead.bench.fleet_hosts import TIMEOUT_S
from snipelead.bench.message_loss import run_with_message_loss
from snipelead.bench.options import parse_choices
from snipelead.bench.options import parse_number
from snipelead.bench.options import with_defaults
from snipelead.bench.tables import print_header
from snipelead.bench.tables import print_row
from snipelead.bench.tables import summarize_ms
from snipelead.logs import configure_logs
from snipelead.rpc.grpc import open_grpc_transport
from snipelead.types import Preference
from snipelead.utils.validation import Interval

__all__ = ['CASES', 'OPTIONS', 'DistributionOptions', 'run', 'run_cases']

OPTIONS = {
    'nodes': ('10,50,100,200', 'fleet sizes'),
    'services': (
        '230',
        'number of services in the release, each with one route',
    ),
    'hosts': ('3', 'number of processes that run the nodes'),
    'ways': ('net-delta', 'net-delta, snapshot, steps'),
    'preferences': ('convergence', 'convergence, bytes'),
    'cases': ('change,burst,missed,herd,down,idle,loss', 'cases to run'),
    'changes': ('5', 'number of repetitions of the case change'),
    'idle_s': ('20', 'duration of the case idle, in seconds'),
    'wire': ('no', 'yes counts bytes on the wire with a TCP relay'),
}
BENCH = 'bench distribution'
# Runs on a simulated network instead of in processes.
MESSAGE_LOSS_CASE = 'loss'
IDLE_S = Interval(float, 0.1, 3_600.0)
SETTLING_TIME_S = 1.0
KEY_COLUMNS = ('nodes', 'way', 'preference', 'case')


class DistributionOptions(Struct, frozen=True, kw_only=True):
    """Options of one run.

    Parameters
    ----------
    nodes, services, hosts : int
        Number of nodes, services and node processes.
    strategy : UpdateStrategy
        How nodes are updated.
    preference : Preference
        Whether to optimise convergence time or bytes.
    changes, burst_changes, missed_changes : int
        Number of changes in the cases change, burst and missed.
    outage_s, idle_s : float
        Duration of the cases down and idle, in seconds.
    wire : bool
        Whether to count bytes on the wire.
    """

    nodes: int
    services: int = 230
    hosts: int = 3
    strategy: UpdateStrategy = UpdateStrategy.NET_DELTA
    preference: Preference = Preference.CONVERGENCE
    changes: int = 5
    burst_changes: int = 100
    missed_changes: int = 500
    outage_s: float = 3.0
    idle_s: float = 20.0
    wire: bool = False


class Measurement(Struct, frozen=True):
    """Result of one case.

    Parameters
    ----------
    p50_ms, p99_ms, max_ms : float
        Percentiles of the convergence time over all nodes, in milliseconds;
        for the case change over all nodes and changes.
    node_bytes : float
        Payload bytes per node in both directions; per second for the case
        idle.
    wire_bytes : float
        Bytes per node on the wire without TCP and IP headers; 0 if not
        counted.
    source_ms : float
        CPU time of the control process in milliseconds; per node and second
        for the case idle.
    note : str
        Additional remarks.
    """

    p50_ms: float
    p99_ms: float
    max_ms: float
    node_bytes: float
    wire_bytes: float
    source_ms: float
    note: str = ''


NOT_FINISHED = Measurement(
    inf, inf, inf, 0.0, 0.0, 0.0, f'not finished within {TIMEOUT_S:g} s'
)


class UsageMeter:
    """Context manager that measures traffic and CPU time."""

    def __init__(self, hosts):
        self.hosts = hosts

    async def __aenter__(self):
        self.stats_before = await self.hosts.stats()
        self.cpu_s = time.process_time()
        return self

    async def __aexit__(self, *exc_info):
        self.cpu_s = time.process_time() - self.cpu_s
        after = await self.hosts.stats()
        nodes = self.hosts.nodes
        payload = after.payload_bytes - self.stats_before.payload_bytes
        wire = after.wire_bytes - self.stats_before.wire_bytes
        self.node_bytes = payload / nodes
        self.wire_bytes = wire / nodes

    def measure(self, delays_s, repetitions=1, note=''):
        """Return the measurement per repetition."""
        return Measurement(
            *summarize_ms(delays_s),
            round(self.node_bytes / repetitions, 1),
            round(self.wire_bytes / repetitions, 1),
            round(1_000 * self.cpu_s / repetitions, 3),
            note,
        )


async def measure_change(control, hosts, options):
    """Measure single-route changes, one after another."""
    delays_s = []
    async with UsageMeter(hosts) as meter:
        for _ in range(options.changes):
            number = await control.change_routes(1)
            swap_times_ns = await hosts.wait_swapped(number)
            delays_s += [
                (ns - control.accepted_ns) / 1e9 for ns in swap_times_ns
            ]
    return meter.measure(delays_s, options.changes)


async def measure_burst(control, hosts, options):
    """Measure a burst of changes."""
    async with UsageMeter(hosts) as meter:
        number = await control.change_routes(options.burst_changes)
        swap_times_ns = await hosts.wait_swapped(number)
    delays_s = [(ns - control.accepted_ns) / 1e9 for ns in swap_times_ns]
    return meter.measure(delays_s, note='measured from the last acceptance')


async def measure_catch_up(control, hosts, options):
    """Measure the catch-up of nodes that missed many changes."""
    await hosts.pause()
    number = await control.change_routes(options.missed_changes)
    await trio.sleep(SETTLING_TIME_S)
    async with UsageMeter(hosts) as meter:
        started_ns = time.monotonic_ns()
        await hosts.resume()
        swap_times_ns = await hosts.wait_swapped(number)
    delays_s = [(ns - started_ns) / 1e9 for ns in swap_times_ns]
    return meter.measure(delays_s, note='measured from the resumption')


async def measure_mass_restart(control, hosts, options):
    """Measure a simultaneous restart of all nodes without state."""
    limiter = control.service.snapshot_limiter
    limiter.peak_in_flight = 0
    refusals_before = limiter.refusals
    certifications = control.service.publisher.certification.rounds
    async with UsageMeter(hosts) as meter:
        started_ns = time.monotonic_ns()
        await hosts.restart()
        ready_times_ns = await hosts.wait_ready()
    certifications = (
        control.service.publisher.certification.rounds - certifications
    )
    note = (
        f'concurrent snapshots {limiter.peak_in_flight} of {limiter.limit},'
        f' deferred {limiter.refusals - refusals_before},'
        f' certifications {certifications}'
    )
    delays_s = [(ns - started_ns) / 1e9 for ns in ready_times_ns]
    return meter.measure(delays_s, note=note)


async def measure_outage(control, hosts, options):
    """Measure a change right after an outage of the distribution service."""
    await control.stop()
    await trio.sleep(options.outage_s)
    async with UsageMeter(hosts) as meter:
        await control.start()
        number = await control.change_routes(1)
        swap_times_ns = await hosts.wait_swapped(number)
    delays_s = [(ns - control.accepted_ns) / 1e9 for ns in swap_times_ns]
    return meter.measure(delays_s, note=f'down for {options.outage_s:g} s')


async def measure_idle(control, hosts, options):
    """Measure traffic and CPU time without any changes."""
    await trio.sleep(SETTLING_TIME_S)
    async with UsageMeter(hosts) as meter:
        await trio.sleep(options.idle_s)
    node_seconds = options.nodes * options.idle_s
    return Measurement(
        0.0,
        0.0,
        0.0,
        round(meter.node_bytes / options.idle_s, 1),
        round(meter.wire_bytes / options.idle_s, 1),
        round(1_000 * meter.cpu_s / node_seconds, 4),
        'per node and second',
    )


CASES = {
    'change': measure_change,
    'burst': measure_burst,
    'missed': measure_catch_up,
    'herd': measure_mass_restart,
    'down': measure_outage,
    'idle': measure_idle,
}


async def run_cases(options, cases):
    """Run cases on one fleet.

    Parameters
    ----------
    options : DistributionOptions
        Fleet and update strategy.
    cases : sequence of str
        Keys of ``CASES``.

    Returns
    -------
    dict of str to Measurement
    """
    results = {}
    async with AsyncExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        transport = await stack.enter_async_context(open_grpc_transport())
        nursery = await stack.enter_async_context(trio.open_nursery())
        control = BenchControl(options, transport, nursery, directory)
        await control.start()
        await control.accept_first_release(options.services)
        hosts = await stack.enter_async_context(
            FleetHosts(options, control.settings.address)
        )
        await hosts.resume()
        await hosts.wait_ready()
        await trio.sleep(SETTLING_TIME_S)
        for case in cases:
            try:
                results[case] = await CASES[case](control, hosts, options)
            except trio.TooSlowError:
                # Later cases would start with nodes that are behind.
                results[case] = NOT_FINISHED
                break
        nursery.cancel_scope.cancel()
    return results


def _read_options(options):
    """Return the options of each combination of size, strategy, preference."""

    def parse_option(name, text, interval):
        return parse_number(BENCH, name, text, interval)

    def parse_count(name):
        return parse_option(name, options[name], Interval(int, 1))

    def parse_members(name, kind):
        allowed = [member.value for member in kind]
        return [
            kind(p) for p in parse_choices(BENCH, name, options[name], allowed)
        ]

    [wire] = parse_choices(BENCH, 'wire', options['wire'], ('yes', 'no'))
    return [
        DistributionOptions(
            nodes=parse_option('nodes', nodes, Interval(int, 1)),
            services=parse_count('services'),
            hosts=parse_count('hosts'),
            strategy=strategy,
            preference=preference,
            changes=parse_count('changes'),
            idle_s=parse_option('idle_s', options['idle_s'], IDLE_S),
            wire=wire == 'yes',
        )
        for preference in parse_members('preferences', Preference)
        for strategy in parse_members('ways', UpdateStrategy)
        for nodes in options['nodes'].split(',')
    ]


def run(options):
    """Run the benchmark and print a table of results.

    Parameters
    ----------
    options : dict of str to str
        Values that differ from the defaults in :data:`OPTIONS`.

    Raises
    ------
    InvalidParameterError
        If a value is not allowed.
    """
    values = with_defaults(OPTIONS, options)
    cases = parse_choices(
        BENCH, 'cases', values['cases'], (*CASES, MESSAGE_LOSS_CASE)
    )
    runs = _read_options(values)
    configure_logs(level='error')
    print_header((*KEY_COLUMNS, *Measurement.__struct_fields__))
    for run_options in runs:
        process_cases = [case for case in cases if case in CASES]
        results = (
            trio.run(run_cases, run_options, process_cases)
            if process_cases
            else {}
        )
        if (
            MESSAGE_LOSS_CASE in cases
            and run_options.strategy is UpdateStrategy.NET_DELTA
        ):
            delays_s = run_with_message_loss(run_options)
            results[MESSAGE_LOSS_CASE] = Measurement(
                *summarize_ms(delays_s), 0.0, 0.0, 0.0, 'virtual time'
            )
        for case, result in results.items():
            print_row(
                (
                    run_options.nodes,
                    run_options.strategy.value,
                    run_options.preference.value,
                    case,
                    *astuple(result),
                )
            )


def main():
    """Run the benchmark with default options."""
    run({})


if __name__ == '__main__':
    main()
