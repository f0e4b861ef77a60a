"""Processes that the benchmark of the call path starts."""

import cProfile
from enum import Enum
import multiprocessing
import pstats
import time

import trio

from snipelead.callers.connections import ConnectionServer
from snipelead.callers.path import CallPath
from snipelead.daemons.process import tune_collector
from snipelead.exceptions import InvariantError
from snipelead.http.connection import listen
from snipelead.logs import configure_logs
from snipelead.messages import TargetEntry
from snipelead.metrics import NodeMetrics
from snipelead.nodes.directory import TargetDirectory
from snipelead.nodes.holder import ReleaseHolder
from snipelead.releases.document import Release
from snipelead.releases.document import Route
from snipelead.releases.document import Service
from snipelead.settings.schema import NodeLimits
from snipelead.settings.schema import NodeSettings
from snipelead.targets.local import LocalTargets
from snipelead.types import TargetState

__all__ = ['BenchProcess', 'run_bench_node', 'run_bench_target']

ANY_PORT = '127.0.0.1:0'
BODY = b'{"level": 42}'
ANSWER = (
    b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
    b'Content-Length: %d\r\n\r\n%b' % (len(BODY), BODY)
)
SLOTS = 200
PROFILE_ROWS = 25
RELEASE = Release(
    1,
    {'stock': Service('stock', SLOTS, 1_000)},
    {
        'levels': Route('levels', 'stock', '/levels', repeatable=True),
        'orders': Route('orders', 'stock', '/orders'),
    },
)


class _Command(Enum):
    """What a child process is told."""

    REPORT_PROCESSOR_TIME = 'report processor time'
    STOP = 'stop'


class BenchProcess:
    """A child process; a context manager that ends it.

    Parameters
    ----------
    function : callable
        Runs in the child; gets a pipe to report its addresses on, then
        ``args``.
    """

    def __init__(self, function, *args):
        self.function = function
        self.args = args

    def __enter__(self):
        context = multiprocessing.get_context('spawn')
        self.pipe, other = context.Pipe()
        self.process = context.Process(
            target=self.function, args=(other, *self.args), daemon=True
        )
        self.process.start()
        self.addresses = self.pipe.recv()
        return self

    def __exit__(self, *exc_info):
        self.pipe.send(_Command.STOP)
        self.process.join()

    def processor_s(self):
        """Return the processor time used so far, in seconds."""
        self.pipe.send(_Command.REPORT_PROCESSOR_TIME)
        return self.pipe.recv()


async def _obey(pipe, scope):
    """Carry out the parent's commands until told to stop."""
    while True:
        await trio.lowlevel.wait_readable(pipe.fileno())
        match pipe.recv():
            case _Command.REPORT_PROCESSOR_TIME:
                pipe.send(time.process_time())
            case _Command.STOP:
                scope.cancel()
                return


async def _answer(connection, request):
    while await request.read():
        pass
    await connection.send(ANSWER)


async def _serve_target(pipe):
    listener = listen(ANY_PORT)
    server = ConnectionServer(listener, _answer, NodeLimits(), 600.0)
    host, port = listener.getsockname()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.run, nursery)
        pipe.send((f'{host}:{port}',))
        await _obey(pipe, nursery.cancel_scope)


def run_bench_target(pipe):
    """Serve a target that answers at once."""
    tune_collector()
    trio.run(_serve_target, pipe)


def _make_entry(node_id, target_id, address, incarnation):
    return TargetEntry(
        target_id,
        node_id,
        'a',
        'stock',
        address,
        incarnation,
        1,
        TargetState.SERVING,
        SLOTS,
        1_000,
    )


class _NoClaims:
    """Refuses claims; the benchmark sends no keys."""

    async def claim(self, request):
        raise InvariantError('the benchmark sends no keys')


async def _serve_node(pipe, node_id, target_address, peer):
    settings = NodeSettings(
        node_id=node_id,
        zone='a',
        caller_address=ANY_PORT,
        address=ANY_PORT,
        admin_address=ANY_PORT,
        controls=(),
    )
    holder = ReleaseHolder()
    holder.swap(RELEASE)
    holder.ready = True
    directory = TargetDirectory()
    local = LocalTargets(node_id, 'a', ANY_PORT)
    path = CallPath(
        settings, holder, directory, local, _NoClaims(), NodeMetrics()
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(path.run)
        if target_address is not None:
            local.address = path.address
            local.announce(
                't1',
                'stock',
                target_address,
                SLOTS,
                1_000,
                TargetState.SERVING,
            )
            directory.merge(local.targets['t1'].entry)
        if peer is not None:
            directory.merge(_make_entry('n1', 't1', *peer))
        pipe.send((path.caller_address, path.address, local.incarnation))
        await _obey(pipe, nursery.cancel_scope)


def run_bench_node(pipe, node_id, target_address, peer, tuned, profiled):
    """Serve a node without controls.

    Parameters
    ----------
    pipe : multiprocessing.connection.Connection
        To the parent.
    node_id : NodeId
        Its id.
    target_address : Address or None
        Target beside it.
    peer : tuple of (Address, Incarnation) or None
        Node beside the target when that is another one.
    tuned : bool
        Whether the garbage collector is set up as in the daemon.
    profiled : bool
        Whether to print a profile at the end.
    """
    configure_logs(level='error')
    if tuned:
        tune_collector()
    profiler = cProfile.Profile() if profiled else None
    if profiler is None:
        trio.run(_serve_node, pipe, node_id, target_address, peer)
        return
    profiler.runcall(
        trio.run, _serve_node, pipe, node_id, target_address, peer
    )
    print(f'Profile of {node_id}')
    stats = pstats.Stats(profiler).strip_dirs().sort_stats('tottime')
    stats.print_stats(PROFILE_ROWS)
