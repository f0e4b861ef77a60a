"""Convergence time and control bytes, by fleet size and way.

One process runs a voter and its distribution; others host the nodes'
clients as tasks and talk to it by gRPC over loopback. Times are taken on
the machine's monotonic clock, from the acceptance of a note to the swap on
each node.
"""

from contextlib import AsyncExitStack
from math import inf
import tempfile
import time

from msgspec import Struct
from msgspec.structs import astuple
import trio

from snipelead.bench.baselines import Way
from snipelead.bench.fleet_hosts import FleetHosts
from snipelead.bench.fleet_hosts import TIMEOUT_S
from snipelead.bench.lossy import run_lossy
from snipelead.bench.options import choose
from snipelead.bench.options import parse_number
from snipelead.bench.options import with_defaults
from snipelead.bench.source_process import BenchControl
from snipelead.bench.tables import print_header
from snipelead.bench.tables import print_row
from snipelead.bench.tables import summarize_ms
from snipelead.logs import configure_logs
from snipelead.rpc.grpc import open_transport
from snipelead.types import Preference
from snipelead.utils.validation import Interval

__all__ = ['CASES', 'OPTIONS', 'DistributionOptions', 'run', 'run_bench']

OPTIONS = {
    'nodes': ('10,50,100,200', 'fleet sizes'),
    'services': ('230', 'services of the release, each with a route'),
    'hosts': ('3', 'processes that host the nodes'),
    'ways': ('net-delta', 'net-delta, snapshot, steps'),
    'preferences': ('convergence', 'convergence, bytes'),
    'cases': ('change,burst,missed,herd,down,idle,loss', 'cases to run'),
    'changes': ('5', 'repetitions of the single change'),
    'idle_s': ('20', 'length of the idle case in seconds'),
    'wire': ('no', 'yes counts bytes on the wire by a TCP relay'),
}
BENCH = 'bench distribution'
# The case that runs on a simulated network instead of processes.
LOSS = 'loss'
IDLE_S = Interval(float, 0.1, 3_600.0)
SETTLE_S = 1.0
KEYS = ('nodes', 'way', 'preference', 'case')


class DistributionOptions(Struct, frozen=True, kw_only=True):
    """One run: a fleet size, a way and a preference."""

    nodes: int
    services: int = 230
    hosts: int = 3
    way: Way = Way.NET_DELTA
    preference: Preference = Preference.CONVERGENCE
    changes: int = 5
    burst: int = 100
    missed: int = 500
    down_s: float = 3.0
    idle_s: float = 20.0
    wire: bool = False


class Measurement(Struct, frozen=True):
    """Result of one case.

    Parameters
    ----------
    p50_ms, p99_ms, max_ms : float
        Convergence time over the nodes (over nodes and changes for the
        single change), in milliseconds.
    node_bytes : float
        Payload bytes per node, both ways; for the idle case per second.
    wire_bytes : float
        The same on the wire without TCP and IP headers, 0 if not counted.
    source_ms : float
        Processor time of the source in milliseconds; for the idle case per
        node and second.
    note : str
        Further facts.
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


class Meter:
    """Bytes and processor time between two moments."""

    def __init__(self, hosts):
        self.hosts = hosts

    async def __aenter__(self):
        self.before = await self.hosts.stats()
        self.cpu_s = time.process_time()
        return self

    async def __aexit__(self, *exc_info):
        self.cpu_s = time.process_time() - self.cpu_s
        after = await self.hosts.stats()
        nodes = self.hosts.nodes
        payload = after.payload_bytes - self.before.payload_bytes
        wire = after.wire_bytes - self.before.wire_bytes
        self.node_bytes = payload / nodes
        self.wire_bytes = wire / nodes

    def measure(self, delays_s, parts=1, note=''):
        """Return the measurement, divided by the number of parts."""
        return Measurement(
            *summarize_ms(delays_s),
            round(self.node_bytes / parts, 1),
            round(self.wire_bytes / parts, 1),
            round(1_000 * self.cpu_s / parts, 3),
            note,
        )


async def measure_change(control, hosts, options):
    """Accept single changes of one route, one after another."""
    delays_s = []
    async with Meter(hosts) as meter:
        for _ in range(options.changes):
            number = await control.change_routes(1)
            swaps = await hosts.wait_swapped(number)
            delays_s += [(ns - control.accepted_ns) / 1e9 for ns in swaps]
    return meter.measure(delays_s, options.changes)


async def measure_burst(control, hosts, options):
    """Accept many changes at once."""
    async with Meter(hosts) as meter:
        number = await control.change_routes(options.burst)
        swaps = await hosts.wait_swapped(number)
    delays_s = [(ns - control.accepted_ns) / 1e9 for ns in swaps]
    return meter.measure(delays_s, note='after the last acceptance')


async def measure_missed(control, hosts, options):
    """Let nodes come back that missed many changes."""
    await hosts.pause()
    number = await control.change_routes(options.missed)
    await trio.sleep(SETTLE_S)
    async with Meter(hosts) as meter:
        began_ns = time.monotonic_ns()
        await hosts.resume()
        swaps = await hosts.wait_swapped(number)
    delays_s = [(ns - began_ns) / 1e9 for ns in swaps]
    return meter.measure(delays_s, note='after the return')


async def measure_herd(control, hosts, options):
    """Restart all nodes at once, without state."""
    gate = control.service.gate
    gate.peak = 0
    refused = gate.refused
    rounds = control.service.publisher.certification.rounds
    async with Meter(hosts) as meter:
        began_ns = time.monotonic_ns()
        await hosts.restart()
        ready = await hosts.wait_ready()
    rounds = control.service.publisher.certification.rounds - rounds
    note = (
        f'snapshots at a time {gate.peak} of {gate.limit},'
        f' told to return {gate.refused - refused}, certifications {rounds}'
    )
    delays_s = [(ns - began_ns) / 1e9 for ns in ready]
    return meter.measure(delays_s, note=note)


async def measure_down(control, hosts, options):
    """Stop distribution for a while; accept a change when it is back."""
    await control.stop()
    await trio.sleep(options.down_s)
    async with Meter(hosts) as meter:
        await control.start()
        number = await control.change_routes(1)
        swaps = await hosts.wait_swapped(number)
    delays_s = [(ns - control.accepted_ns) / 1e9 for ns in swaps]
    return meter.measure(delays_s, note=f'down for {options.down_s:g} s')


async def measure_idle(control, hosts, options):
    """Do nothing for a while."""
    await trio.sleep(SETTLE_S)
    async with Meter(hosts) as meter:
        await trio.sleep(options.idle_s)
    node_s = options.nodes * options.idle_s
    return Measurement(
        0.0,
        0.0,
        0.0,
        round(meter.node_bytes / options.idle_s, 1),
        round(meter.wire_bytes / options.idle_s, 1),
        round(1_000 * meter.cpu_s / node_s, 4),
        'per node and second',
    )


CASES = {
    'change': measure_change,
    'burst': measure_burst,
    'missed': measure_missed,
    'herd': measure_herd,
    'down': measure_down,
    'idle': measure_idle,
}


async def run_bench(options, cases):
    """Run cases with one fleet.

    Parameters
    ----------
    options : DistributionOptions
        Fleet and way.
    cases : sequence of str
        Keys of ``CASES``.

    Returns
    -------
    dict of str to Measurement
    """
    results = {}
    async with AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        transport = await stack.enter_async_context(open_transport())
        nursery = await stack.enter_async_context(trio.open_nursery())
        control = BenchControl(options, transport, nursery, folder)
        await control.start()
        await control.fill(options.services)
        hosts = await stack.enter_async_context(
            FleetHosts(options, control.settings.address)
        )
        await hosts.resume()
        await hosts.wait_ready()
        await trio.sleep(SETTLE_S)
        for case in cases:
            try:
                results[case] = await CASES[case](control, hosts, options)
            except trio.TooSlowError:
                # What follows would be measured on a fleet that is behind.
                results[case] = NOT_FINISHED
                break
        nursery.cancel_scope.cancel()
    return results


def _read_options(options):
    """Return one set of options for each fleet size, way and preference."""

    def number(name, text, interval):
        return parse_number(BENCH, name, text, interval)

    def count(name):
        return number(name, options[name], Interval(int, 1))

    def parts(name, kind):
        allowed = [member.value for member in kind]
        return [kind(p) for p in choose(BENCH, name, options[name], allowed)]

    [wire] = choose(BENCH, 'wire', options['wire'], ('yes', 'no'))
    return [
        DistributionOptions(
            nodes=number('nodes', nodes, Interval(int, 1)),
            services=count('services'),
            hosts=count('hosts'),
            way=way,
            preference=preference,
            changes=count('changes'),
            idle_s=number('idle_s', options['idle_s'], IDLE_S),
            wire=wire == 'yes',
        )
        for preference in parts('preferences', Preference)
        for way in parts('ways', Way)
        for nodes in options['nodes'].split(',')
    ]


def run(options):
    """Run the bench and print tables.

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
    cases = choose(BENCH, 'cases', values['cases'], (*CASES, LOSS))
    runs = _read_options(values)
    configure_logs(level='error')
    print_header((*KEYS, *Measurement.__struct_fields__))
    for run_options in runs:
        known = [case for case in cases if case in CASES]
        results = trio.run(run_bench, run_options, known) if known else {}
        if LOSS in cases and run_options.way is Way.NET_DELTA:
            delays_s = run_lossy(run_options)
            results[LOSS] = Measurement(
                *summarize_ms(delays_s), 0.0, 0.0, 0.0, 'virtual time'
            )
        for case, result in results.items():
            print_row(
                (
                    run_options.nodes,
                    run_options.way.value,
                    run_options.preference.value,
                    case,
                    *astuple(result),
                )
            )


def main():
    """Run with the defaults."""
    run({})


if __name__ == '__main__':
    main()
