"""Benchmark of the latency and CPU time that nodes add to a call.

Three network paths are compared within one run: directly to the target,
through the local node of the target (one hop), and through a remote node and
the local node (two hops). Calls are paced, so that they do not queue in the
client; with a rate of 0 each call starts when the previous one ends.
"""

from contextlib import ExitStack
import random

from hdrh.histogram import HdrHistogram
from msgspec import Struct
import trio

from snipelead.bench.hotpath_processes import BenchProcess
from snipelead.bench.hotpath_processes import run_bench_node
from snipelead.bench.hotpath_processes import run_bench_target
from snipelead.bench.options import parse_number
from snipelead.bench.options import with_defaults
from snipelead.daemons.process import tune_garbage_collector
from snipelead.http.connection import connect
from snipelead.http.reading import ResponseReader
from snipelead.logs import configure_logs
from snipelead.utils.validation import check_parameters
from snipelead.utils.validation import Interval
from snipelead.utils.validation import Options

__all__ = ['OPTIONS', 'HotPathOptions', 'HotPathRow', 'run', 'run_hotpath']

OPTIONS = {
    'connections': (
        '1,10,100',
        'numbers of client connections, measured one after another',
    ),
    'calls': ('1500', 'calls per network path and round'),
    'rounds': ('3', 'rounds; each measures every network path once'),
    'rate': ('300', 'total calls per second; 0 for no pauses'),
    'tuned': (
        'yes',
        'whether to tune the garbage collector as the daemons do',
    ),
    'profile': ('no', 'whether to print a CPU profile of the nodes'),
}
BENCH = 'bench hotpath'
WARM_UP_CALLS = 300
MAX_ADDED_P99_US = 480
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
REQUEST = (
    b'GET /levels/7 HTTP/1.1\r\nHost: stock.example\r\nX-Tenant: a\r\n\r\n'
)


class HotPathOptions(Struct, frozen=True):
    """Validated options.

    Parameters
    ----------
    connections : tuple of int
        Numbers of client connections to measure.
    calls, rounds : int
        Calls per network path and round, and number of rounds.
    rate : float
        Total calls per second; 0 for no pauses.
    tuned, profile : bool
        Whether to tune the garbage collector as the daemons do, and whether
        to print a CPU profile of the nodes.
    """

    connections: tuple[int, ...]
    calls: int
    rounds: int
    rate: float
    tuned: bool
    profile: bool


class HotPathRow(Struct):
    """Result for one network path and number of connections.

    Parameters
    ----------
    network_path : str
        ``direct``, ``one hop`` or ``two hops``.
    connections : int
        Number of client connections.
    calls : int
        Number of measured calls.
    p50_us, p99_us : int
        Latency percentiles in microseconds.
    added_p50_us, added_p99_us : int
        Increase of the percentile over the direct path, in microseconds.
    cpu_us : float
        CPU time of the nodes per call, in microseconds.
    """

    network_path: str
    connections: int
    calls: int
    p50_us: int
    p99_us: int
    added_p50_us: int
    added_p99_us: int
    cpu_us: float


async def _call(connection, reader):
    await connection.send(REQUEST)
    response = await reader.next_response()
    while await response.read():
        pass
    return response.status


async def _run_connection(address, calls, interval_s, histogram, rng):
    with await connect(address) as connection:
        reader = ResponseReader(connection)
        next_call_at = trio.current_time() + rng.random() * interval_s
        for _ in range(calls):
            if interval_s:
                await trio.sleep_until(next_call_at)
                next_call_at += interval_s * rng.uniform(0.5, 1.5)
            sent_at = trio.current_time()
            status = await _call(connection, reader)
            elapsed_us = int((trio.current_time() - sent_at) * 1e6)
            if status != 200:
                raise SystemExit(
                    f'{address} responded with status {status}, expected 200'
                )
            histogram.record_value(max(1, elapsed_us))


async def _run_load(address, connections, calls, rate, histogram, seed):
    interval_s = connections / rate if rate else 0.0
    async with trio.open_nursery() as nursery:
        for index in range(connections):
            nursery.start_soon(
                _run_connection,
                address,
                max(1, calls // connections),
                interval_s,
                histogram,
                random.Random(f'{seed}-{index}'),
            )


class _NetworkPath:
    """Network path of calls and the nodes on it."""

    def __init__(self, name, address, nodes):
        self.name = name
        self.address = address
        self.nodes = nodes

    def cpu_s(self):
        return sum(node.cpu_s() for node in self.nodes)


def _measure(network_paths, connections, options):
    histograms = [
        HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        for _ in network_paths
    ]
    cpu_times_s = [0.0 for _ in network_paths]
    # The paths alternate, so that a transient load on the machine affects all.
    for round_number in range(options.rounds):
        for index, network_path in enumerate(network_paths):
            cpu_start_s = network_path.cpu_s()
            trio.run(
                _run_load,
                network_path.address,
                connections,
                options.calls,
                options.rate,
                histograms[index],
                round_number,
            )
            cpu_times_s[index] += network_path.cpu_s() - cpu_start_s
    return _make_rows(network_paths, connections, histograms, cpu_times_s)


def _make_rows(network_paths, connections, histograms, cpu_times_s):
    direct = histograms[0]
    direct_p50 = direct.get_value_at_percentile(50)
    direct_p99 = direct.get_value_at_percentile(99)
    rows = []
    for network_path, histogram, path_cpu_s in zip(
        network_paths, histograms, cpu_times_s, strict=True
    ):
        p50 = histogram.get_value_at_percentile(50)
        p99 = histogram.get_value_at_percentile(99)
        calls = histogram.get_total_count()
        rows.append(
            HotPathRow(
                network_path.name,
                connections,
                calls,
                p50,
                p99,
                p50 - direct_p50,
                p99 - direct_p99,
                round(path_cpu_s / calls * 1e6, 1),
            )
        )
    return rows


def run_hotpath(options):
    """Run the benchmark.

    Parameters
    ----------
    options : HotPathOptions
        Network paths, load and profiling to use.

    Returns
    -------
    list of HotPathRow
    """
    tune_garbage_collector()
    node_options = (options.tuned, options.profile)
    with ExitStack() as stack:
        target = stack.enter_context(BenchProcess(run_bench_target))
        (target_address,) = target.addresses
        local_node = stack.enter_context(
            BenchProcess(
                run_bench_node, 'n1', target_address, None, *node_options
            )
        )
        owner = local_node.addresses[1:]
        remote_node = stack.enter_context(
            BenchProcess(run_bench_node, 'n2', None, owner, *node_options)
        )
        network_paths = (
            _NetworkPath('direct', target_address, ()),
            _NetworkPath('one hop', local_node.addresses[0], (local_node,)),
            _NetworkPath(
                'two hops', remote_node.addresses[0], (local_node, remote_node)
            ),
        )
        for network_path in network_paths:
            warm_up = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            trio.run(
                _run_load,
                network_path.address,
                4,
                WARM_UP_CALLS,
                0,
                warm_up,
                0,
            )
        rows = []
        for connections in options.connections:
            rows += _measure(network_paths, connections, options)
    return rows


def print_rows(rows):
    """Print the results as a table."""
    print(
        f'{"way":10}{"conns":>6}{"calls":>8}{"p50 us":>9}{"p99 us":>9}'
        f'{"+p50 us":>9}{"+p99 us":>9}{"cpu us":>9}'
    )
    for row in rows:
        print(
            f'{row.network_path:10}{row.connections:6}{row.calls:8}'
            f'{row.p50_us:9}{row.p99_us:9}{row.added_p50_us:9}{row.added_p99_us:9}'
            f'{row.cpu_us:9.1f}'
        )
    max_added_p99_us = max(row.added_p99_us for row in rows)
    print(
        f'target: at most {MAX_ADDED_P99_US} us added at the 99th percentile;'
        f' largest measured {max_added_p99_us} us'
    )


def _read_options(options):
    values = with_defaults(OPTIONS, options)
    yes_or_no = [Options(('yes', 'no'))]
    check_parameters(BENCH, values, {'tuned': yes_or_no, 'profile': yes_or_no})

    def parse_count(name, text):
        return parse_number(BENCH, name, text, Interval(int, 1))

    return HotPathOptions(
        connections=tuple(
            parse_count('connections', part)
            for part in values['connections'].split(',')
        ),
        calls=parse_count('calls', values['calls']),
        rounds=parse_count('rounds', values['rounds']),
        rate=parse_number(BENCH, 'rate', values['rate'], Interval(float, 0)),
        tuned=values['tuned'] == 'yes',
        profile=values['profile'] == 'yes',
    )


def run(options):
    """Run the benchmark and print its results.

    Parameters
    ----------
    options : dict of str to str
        Values that differ from the defaults in :data:`OPTIONS`.

    Returns
    -------
    list of HotPathRow

    Raises
    ------
    InvalidParameterError
        If a value is not allowed.
    """
    checked_options = _read_options(options)
    configure_logs(level='error')
    rows = run_hotpath(checked_options)
    print_rows(rows)
    return rows
