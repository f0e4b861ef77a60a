"""Benchmark of the latency and processor time that a node adds to a call.

Three ways are measured in turn within one run: straight to the target, over
the target's own node (one hop), and over another node and the target's own
node (two hops). Calls are paced, so that the clients themselves do not
queue; a rate of 0 sends the next call as soon as the last is answered.
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
from snipelead.daemons.process import tune_collector
from snipelead.http.connection import connect
from snipelead.http.reading import ResponseReader
from snipelead.logs import configure_logs
from snipelead.utils.validation import check_parameters
from snipelead.utils.validation import Interval
from snipelead.utils.validation import Options

__all__ = ['OPTIONS', 'HotPathOptions', 'HotPathRow', 'run', 'run_hotpath']

OPTIONS = {
    'connections': ('1,10,100', 'connections of the client, one by one'),
    'calls': ('1500', 'calls of each way in each round'),
    'rounds': ('3', 'rounds in which the ways take turns'),
    'rate': ('300', 'calls a second in all; 0 for no pauses'),
    'tuned': ('yes', 'whether the garbage collector is set as in the daemon'),
    'profile': ('no', 'whether to print a profile of the nodes'),
}
BENCH = 'bench hotpath'
WARM_UP_CALLS = 300
ALLOWED_US = 480
MAX_US = 60_000_000
_DIGITS = 3
REQUEST = (
    b'GET /levels/7 HTTP/1.1\r\nHost: stock.example\r\nX-Tenant: a\r\n\r\n'
)


class HotPathOptions(Struct, frozen=True):
    """Checked options.

    Parameters
    ----------
    connections : tuple of int
        Numbers of connections to measure.
    calls, rounds : int
        Calls of each way in each round, and rounds.
    rate : float
        Calls a second in all; 0 for no pauses.
    tuned, profile : bool
        Whether the garbage collector is set as in the daemon, and whether
        to print a profile of the nodes.
    """

    connections: tuple[int, ...]
    calls: int
    rounds: int
    rate: float
    tuned: bool
    profile: bool


class HotPathRow(Struct):
    """Result of one way at one number of connections.

    Parameters
    ----------
    way : str
        ``direct``, ``one hop`` or ``two hops``.
    connections : int
        Connections of the client.
    calls : int
        Calls measured.
    p50_us, p99_us : int
        Latency percentiles in microseconds.
    added_p50_us, added_p99_us : int
        The same less that of the direct way.
    processor_us : float
        Processor time of the nodes for each call, in microseconds.
    """

    way: str
    connections: int
    calls: int
    p50_us: int
    p99_us: int
    added_p50_us: int
    added_p99_us: int
    processor_us: float


async def _call(connection, reader):
    await connection.send(REQUEST)
    response = await reader.next_response()
    while await response.read():
        pass
    return response.status


async def _run_connection(address, calls, interval_s, histogram, rng):
    with await connect(address) as connection:
        reader = ResponseReader(connection)
        next_at = trio.current_time() + rng.random() * interval_s
        for _ in range(calls):
            if interval_s:
                await trio.sleep_until(next_at)
                next_at += interval_s * rng.uniform(0.5, 1.5)
            sent_at = trio.current_time()
            status = await _call(connection, reader)
            elapsed_us = int((trio.current_time() - sent_at) * 1e6)
            if status != 200:
                raise SystemExit(f'{address} answered {status}')
            histogram.record_value(max(1, elapsed_us))


async def _run_load(address, connections, calls, rate, histogram, seed):
    interval_s = connections / rate if rate else 0.0
    async with trio.open_nursery() as nursery:
        for number in range(connections):
            nursery.start_soon(
                _run_connection,
                address,
                max(1, calls // connections),
                interval_s,
                histogram,
                random.Random(f'{seed}-{number}'),
            )


class _Way:
    """One way that calls take, with the nodes on it."""

    def __init__(self, name, address, nodes):
        self.name = name
        self.address = address
        self.nodes = nodes

    def processor_s(self):
        return sum(node.processor_s() for node in self.nodes)


def _measure(ways, connections, options):
    histograms = [HdrHistogram(1, MAX_US, _DIGITS) for _ in ways]
    used_s = [0.0 for _ in ways]
    # The ways take turns, so that a busy moment does not hit one alone.
    for turn in range(options.rounds):
        for number, way in enumerate(ways):
            before = way.processor_s()
            trio.run(
                _run_load,
                way.address,
                connections,
                options.calls,
                options.rate,
                histograms[number],
                turn,
            )
            used_s[number] += way.processor_s() - before
    return _make_rows(ways, connections, histograms, used_s)


def _make_rows(ways, connections, histograms, used_s):
    direct = histograms[0]
    base50 = direct.get_value_at_percentile(50)
    base99 = direct.get_value_at_percentile(99)
    rows = []
    for way, histogram, used in zip(ways, histograms, used_s, strict=True):
        p50 = histogram.get_value_at_percentile(50)
        p99 = histogram.get_value_at_percentile(99)
        calls = histogram.get_total_count()
        rows.append(
            HotPathRow(
                way.name,
                connections,
                calls,
                p50,
                p99,
                p50 - base50,
                p99 - base99,
                round(used / calls * 1e6, 1),
            )
        )
    return rows


def run_hotpath(options):
    """Run the benchmark.

    Parameters
    ----------
    options : HotPathOptions
        What to measure.

    Returns
    -------
    list of HotPathRow
    """
    tune_collector()
    switches = (options.tuned, options.profile)
    with ExitStack() as stack:
        target = stack.enter_context(BenchProcess(run_bench_target))
        (target_address,) = target.addresses
        beside = stack.enter_context(
            BenchProcess(run_bench_node, 'n1', target_address, None, *switches)
        )
        peers = beside.addresses[1:]
        away = stack.enter_context(
            BenchProcess(run_bench_node, 'n2', None, peers, *switches)
        )
        ways = (
            _Way('direct', target_address, ()),
            _Way('one hop', beside.addresses[0], (beside,)),
            _Way('two hops', away.addresses[0], (beside, away)),
        )
        for way in ways:
            warm_up = HdrHistogram(1, MAX_US, _DIGITS)
            trio.run(_run_load, way.address, 4, WARM_UP_CALLS, 0, warm_up, 0)
        rows = []
        for connections in options.connections:
            rows += _measure(ways, connections, options)
    return rows


def print_rows(rows):
    """Print a table of results."""
    print(
        f'{"way":10}{"conns":>6}{"calls":>8}{"p50 us":>9}{"p99 us":>9}'
        f'{"+p50 us":>9}{"+p99 us":>9}{"cpu us":>9}'
    )
    for row in rows:
        print(
            f'{row.way:10}{row.connections:6}{row.calls:8}{row.p50_us:9}'
            f'{row.p99_us:9}{row.added_p50_us:9}{row.added_p99_us:9}'
            f'{row.processor_us:9.1f}'
        )
    worst = max(row.added_p99_us for row in rows)
    print(
        f'target: at most {ALLOWED_US} us added for 99 in 100;'
        f' largest here {worst} us'
    )


def _read_options(options):
    values = with_defaults(OPTIONS, options)
    yes_or_no = [Options(('yes', 'no'))]
    check_parameters(BENCH, values, {'tuned': yes_or_no, 'profile': yes_or_no})

    def count(name, text):
        return parse_number(BENCH, name, text, Interval(int, 1))

    return HotPathOptions(
        connections=tuple(
            count('connections', part)
            for part in values['connections'].split(',')
        ),
        calls=count('calls', values['calls']),
        rounds=count('rounds', values['rounds']),
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
    checked = _read_options(options)
    configure_logs(level='error')
    rows = run_hotpath(checked)
    print_rows(rows)
    return rows
