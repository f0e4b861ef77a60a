"""Child processes of the hot path benchmark."""

import cProfile
from enum import Enum
import multiprocessing
import pstats
import time

import trio

from snipelead.callers.call_path import CallPath
from snipelead.callers.connections import ConnectionServer
from snipelead.daemons.process import tune_garbage_collector
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
RESPONSE = (
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
    """Command to a child process."""

    REPORT_CPU_TIME = 'report processor time'
    STOP = 'stop'


class BenchProcess:
    """Child process; a context manager that stops it.

    Parameters
    ----------
    function : callable
        Function to run in the child. Its first argument is a pipe that it
        sends its addresses on; ``args`` follow.
    """

    def __init__(self, function, *args):
        self.function = function
        self.args = args

    def __enter__(self):
        context = multiprocessing.get_context('spawn')
        self.pipe, child_pipe = context.Pipe()
        self.process = context.Process(
            target=self.function, args=(child_pipe, *self.args), daemon=True
        )
        self.process.start()
        self.addresses = self.pipe.recv()
        return self

    def __exit__(self, *exc_info):
        self.pipe.send(_Command.STOP)
        self.process.join()

    def cpu_s(self):
        """Return the CPU time of the child so far, in seconds."""
        self.pipe.send(_Command.REPORT_CPU_TIME)
        return self.pipe.recv()


async def _handle_commands(pipe, cancel_scope):
    """Handle commands of the parent until told to stop."""
    while True:
        await trio.lowlevel.wait_readable(pipe.fileno())
        match pipe.recv():
            case _Command.REPORT_CPU_TIME:
                pipe.send(time.process_time())
            case _Command.STOP:
                cancel_scope.cancel()
                return


async def _respond(connection, request):
    while await request.read():
        pass
    await connection.send(RESPONSE)


async def _serve_target(pipe):
    listener = listen(ANY_PORT)
    server = ConnectionServer(listener, _respond, NodeLimits(), 600.0)
    host, port = listener.getsockname()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.run, nursery)
        pipe.send((f'{host}:{port}',))
        await _handle_commands(pipe, nursery.cancel_scope)


def run_bench_target(pipe):
    """Run a target that responds immediately."""
    tune_garbage_collector()
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
    """Rejects all claims; the benchmark sends no idempotency keys."""

    async def claim(self, request):
        raise InvariantError(
            'claim requested, but the benchmark sends no idempotency keys'
        )


async def _serve_node(pipe, node_id, target_address, owner):
    settings = NodeSettings(
        node_id=node_id,
        zone='a',
        caller_address=ANY_PORT,
        address=ANY_PORT,
        admin_address=ANY_PORT,
        controls=(),
    )
    holder = ReleaseHolder()
    holder.replace(RELEASE)
    holder.ready = True
    directory = TargetDirectory()
    local_targets = LocalTargets(node_id, 'a', ANY_PORT)
    call_path = CallPath(
        settings, holder, directory, local_targets, _NoClaims(), NodeMetrics()
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(call_path.run)
        if target_address is not None:
            local_targets.address = call_path.address
            local_targets.announce(
                't1',
                'stock',
                target_address,
                SLOTS,
                1_000,
                TargetState.SERVING,
            )
            directory.merge(local_targets.targets['t1'].entry)
        if owner is not None:
            directory.merge(_make_entry('n1', 't1', *owner))
        pipe.send(
            (
                call_path.caller_address,
                call_path.address,
                local_targets.incarnation,
            )
        )
        await _handle_commands(pipe, nursery.cancel_scope)


def run_bench_node(pipe, node_id, target_address, owner, tuned, profiled):
    """Run a node without controls.

    Parameters
    ----------
    pipe : multiprocessing.connection.Connection
        Pipe to the parent process.
    node_id : NodeId
        Id of the node.
    target_address : Address or None
        Address of the local target, if any.
    owner : tuple of (Address, Incarnation) or None
        Node that owns the target, if it is another node.
    tuned : bool
        Whether to tune the garbage collector as the daemons do.
    profiled : bool
        Whether to print a CPU profile at the end.
    """
    configure_logs(level='error')
    if tuned:
        tune_garbage_collector()
    profiler = cProfile.Profile() if profiled else None
    if profiler is None:
        trio.run(_serve_node, pipe, node_id, target_address, owner)
        return
    profiler.runcall(
        trio.run, _serve_node, pipe, node_id, target_address, owner
    )
    print(f'Profile of {node_id}')
    stats = pstats.Stats(profiler).strip_dirs().sort_stats('tottime')
    stats.print_stats(PROFILE_ROWS)
