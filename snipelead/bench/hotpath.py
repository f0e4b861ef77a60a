"""Benchmark of the latency and processor time that a node adds to a call.

Three ways are measured in turn within one run: straight to the target, over
the target's own node (one hop), and over another node and the target's own
node (two hops). Calls are paced, so that the clients themselves do not
queue; ``--closed`` sends the next call as soon as the last is answered.

Run with ``python -m snipelead.bench.hotpath``.
"""

import argparse
from contextlib import ExitStack
import random

from hdrh.histogram import HdrHistogram
import msgspec
from msgspec import Struct
import trio

from snipelead.bench.hotpath_processes import BenchProcess
from snipelead.bench.hotpath_processes import run_bench_node
from snipelead.bench.hotpath_processes import run_bench_target
from snipelead.daemons.process import tune_collector
from snipelead.http.connection import connect
from snipelead.http.reading import ResponseReader

__all__ = ['OPTIONS', 'HotPathRow', 'main', 'run', 'run_hotpath']

CONNECTIONS = (1, 10, 100)
CALLS_PER_S = 300
CALLS = 1_500
ROUNDS = 3
WARM_UP_CALLS = 300
ALLOWED_US = 480
MAX_US = 60_000_000
_DIGITS = 3
OPTIONS = {
    'connections': ('1,10,100', 'connections of the client'),
    'calls': (str(CALLS), 'calls of each round'),
    'rounds': (str(ROUNDS), 'rounds of each way'),
    'rate': (str(CALLS_PER_S), 'calls a second'),
    'closed': ('no', 'yes sends a call as soon as the last is answered'),
    'untuned': ('no', 'yes leaves the garbage collector as it is'),
    'profile': ('no', 'yes profiles the nodes'),
    'json': ('no', 'yes prints JSON'),
}
REQUEST = (
    b'GET /levels/7 HTTP/1.1\r\nHost: stock.example\r\nX-Tenant: a\r\n\r\n'
)


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
    rate = 0 if options.closed else options.rate
    # The ways take turns, so that a busy moment does not hit one alone.
    for turn in range(options.rounds):
        for number, way in enumerate(ways):
            before = way.processor_s()
            trio.run(
                _run_load,
                way.address,
                connections,
                options.calls,
                rate,
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
    options : argparse.Namespace
        Options of the command line, see :func:`make_parser`.

    Returns
    -------
    list of HotPathRow
    """
    tune_collector()
    tuned = not options.untuned
    with ExitStack() as stack:
        target = stack.enter_context(BenchProcess(run_bench_target))
        (target_address,) = target.addresses
        beside = stack.enter_context(
            BenchProcess(
                run_bench_node,
                'n1',
                target_address,
                None,
                tuned,
                options.profile,
            )
        )
        away = stack.enter_context(
            BenchProcess(
                run_bench_node,
                'n2',
                None,
                beside.addresses[1:],
                tuned,
                options.profile,
            )
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


def make_parser():
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(description=__doc__.split('\n')[0])
    parser.add_argument(
        '--connections', type=int, nargs='+', default=CONNECTIONS
    )
    parser.add_argument('--calls', type=int, default=CALLS)
    parser.add_argument('--rounds', type=int, default=ROUNDS)
    parser.add_argument('--rate', type=float, default=CALLS_PER_S)
    parser.add_argument('--closed', action='store_true')
    parser.add_argument('--untuned', action='store_true')
    parser.add_argument('--profile', action='store_true')
    parser.add_argument('--json', action='store_true')
    return parser


def main(arguments=None):
    """Run the benchmark from the command line."""
    options = make_parser().parse_args(arguments)
    rows = run_hotpath(options)
    if options.json:
        print(msgspec.json.encode(rows).decode())
    else:
        print_rows(rows)


def run(options):
    """Run the benchmark and print its results.

    Parameters
    ----------
    options : dict of str to str
        Values by the names of :data:`OPTIONS`.
    """
    arguments = []
    for name, value in options.items():
        if OPTIONS[name][0] == 'no':
            arguments += [f'--{name}'] * (value == 'yes')
        else:
            arguments += [f'--{name}', *value.split(',')]
    main(arguments)


if __name__ == '__main__':
    main()
