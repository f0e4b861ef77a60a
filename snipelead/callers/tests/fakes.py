"""Fake callers, targets, controls and nodes for tests."""

from contextlib import asynccontextmanager
from functools import partial

import msgspec
from testtools import TestCase
import trio

from snipelead.callers.call_path import CallPath
from snipelead.callers.connections import ConnectionServer
from snipelead.http.connection import connect
from snipelead.http.connection import listen
from snipelead.http.reading import ResponseReader
from snipelead.messages import ClaimReply
from snipelead.metrics import NodeMetrics
from snipelead.nodes.directory import TargetDirectory
from snipelead.nodes.holder import ReleaseHolder
from snipelead.releases.document import Release
from snipelead.releases.document import Route
from snipelead.releases.document import Service
from snipelead.settings.schema import NodeLimits
from snipelead.settings.schema import NodeSettings
from snipelead.settings.schema import NodeTimings
from snipelead.targets.local import LocalTargets
from snipelead.types import RequestClass
from snipelead.types import TargetState

ANY_PORT = '127.0.0.1:0'
TEST_TIMEOUT_S = 30.0

ROUTES = (
    Route('reads', 'stock', '/reads', repeatable=True, deadline_ms=10_000),
    Route(
        'orders',
        'stock',
        '/orders',
        request_class=RequestClass.ONCE,
        deadline_ms=10_000,
    ),
    Route(
        'reports',
        'stock',
        '/reports',
        request_class=RequestClass.BATCH,
        repeatable=True,
        deadline_ms=10_000,
    ),
)
RELEASE = Release(
    1, {'stock': Service('stock')}, {route.name: route for route in ROUTES}
)


def bound_address(listener):
    """Return the address of a listening socket."""
    host, port = listener.getsockname()
    return f'{host}:{port}'


async def wait_until(condition):
    """Wait until a condition holds; limited by the timeout of the test."""
    while not condition():
        await trio.sleep(0.001)


class FakeTarget:
    """HTTP server that records the requests it executes.

    Attributes
    ----------
    runs : list of str
        URLs of the requests received.
    bodies : list of bytes
        Bodies of the requests received.
    hold : trio.Event or None
        Responses are delayed until it is set.
    respond : callable
        Coroutine function of connection, request and body that sends the
        response.
    running : int
        Number of requests being executed.
    max_running : int
        Highest number of requests executed at a time.
    disconnects : int
        Number of connections closed by the node while a response was delayed.
    """

    def __init__(self):
        self.listener = listen(ANY_PORT)
        self.address = bound_address(self.listener)
        self.runs = []
        self.bodies = []
        self.hold = None
        self.respond = self.echo
        self.running = 0
        self.max_running = 0
        self.disconnects = 0

    async def run(self, task_status):
        server = ConnectionServer(
            self.listener, self.handle, NodeLimits(), 60.0
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.run, nursery)
            task_status.started()

    async def handle(self, connection, request):
        body = b''
        while data := await request.read():
            body += data
        self.runs.append(request.url.decode())
        self.bodies.append(body)
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            if self.hold is not None:
                await self.wait_for_hold(connection)
            await self.respond(connection, request, body)
        finally:
            self.running -= 1

    async def wait_for_hold(self, connection):
        """Wait until ``hold`` is set, counting a disconnect meanwhile."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.watch_disconnect, connection)
            await self.hold.wait()
            nursery.cancel_scope.cancel()

    async def watch_disconnect(self, connection):
        if not await connection.receive():
            self.disconnects += 1

    async def echo(self, connection, request, body):
        response_body = body or request.url
        await connection.send(
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b'
            % (len(response_body), response_body)
        )


class FakeClaims:
    """Claim service that grants each key once.

    Attributes
    ----------
    granted : dict of IdempotencyKey to ClaimRequest
        Granted claims.
    settled : list of SettleRequest
        Settlements received.
    error : Exception or None
        Raised by each claim if set.
    """

    def __init__(self):
        self.granted = {}
        self.settled = []
        self.error = None

    async def claim(self, request):
        if self.error is not None:
            raise self.error
        first = self.granted.setdefault(request.key, request)
        if first is request:
            return ClaimReply(True)
        return ClaimReply(
            False, mismatch=first.fingerprint != request.fingerprint
        )

    async def settle(self, request):
        self.settled.append(request)


class FakeNode:
    """Call path of a node with a local target."""

    def __init__(self, name, zone='a', slots=20, limits=None, grace_ms=5_000):
        self.settings = NodeSettings(
            node_id=name,
            zone=zone,
            caller_address=ANY_PORT,
            address=ANY_PORT,
            admin_address=ANY_PORT,
            controls=(),
            limits=limits or NodeLimits(),
            timings=NodeTimings(grace_ms=grace_ms),
        )
        self.holder = ReleaseHolder()
        self.holder.replace(RELEASE)
        self.holder.ready = True
        self.directory = TargetDirectory()
        self.local_targets = LocalTargets(name, zone, ANY_PORT)
        self.claims = FakeClaims()
        self.metrics = NodeMetrics()
        self.target = FakeTarget()
        self.target_id = f't-{name}'
        self.slots = slots
        self.path = CallPath(
            self.settings,
            self.holder,
            self.directory,
            self.local_targets,
            self.claims,
            self.metrics,
            seed=1,
        )

    @property
    def entry(self):
        return self.local_targets.targets[self.target_id].entry

    @property
    def limiter(self):
        return self.path.limiters.find(self.target_id)

    async def start(self, nursery):
        await nursery.start(self.target.run)
        await nursery.start(partial(_run_path, self.path))
        self.local_targets.address = self.path.address
        self.announce(TargetState.SERVING)

    def announce(self, state):
        self.local_targets.announce(
            self.target_id,
            'stock',
            self.target.address,
            self.slots,
            130,
            state,
        )

    def merge_targets_of(self, *nodes):
        """Add the targets of other nodes to the directory."""
        for node in nodes:
            self.directory.merge(node.entry)


async def _run_path(path, task_status):
    await path.run(task_status=task_status)


class Caller:
    """HTTP client with one connection to a node."""

    def __init__(self, connection):
        self.connection = connection
        self.reader = ResponseReader(connection)

    @classmethod
    async def open(cls, address):
        return cls(await connect(address))

    async def send(self, path, method='GET', body=b'', **fields):
        header_lines = [f'{method} {path} HTTP/1.1', 'Host: shop']
        header_lines += [
            f'{name.replace("_", "-")}: {value}'
            for name, value in fields.items()
        ]
        if body or method == 'POST':
            header_lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join((*header_lines, '', '')).encode()
        await self.connection.send(head + body)

    async def receive(self):
        """Return the next response and its body."""
        response = await self.reader.next_response()
        body = b''
        while data := await response.read():
            body += data
        return response, body

    async def call(self, path, method='GET', body=b'', **fields):
        await self.send(path, method, body, **fields)
        return await self.receive()


def parse_error_response(reply):
    """Return the code, ``ran`` and the decoded body of an error response."""
    response, body = reply
    return (
        response.fields[b'x-snipelead-code'].decode(),
        response.fields[b'x-snipelead-ran'].decode(),
        msgspec.json.decode(body),
    )


class CallPathTestCase(TestCase):
    """Base of tests that run nodes on loopback addresses."""

    def run_nodes(self, test, *nodes):
        """Run the coroutine function ``test`` while the nodes run."""

        async def main():
            with trio.fail_after(TEST_TIMEOUT_S):
                async with running_nodes(*nodes) as nursery:
                    await test(nursery)

        trio.run(main)


@asynccontextmanager
async def running_nodes(*nodes):
    """Run nodes whose directories list the targets of all of them."""
    async with trio.open_nursery() as nursery:
        for node in nodes:
            await node.start(nursery)
        for node in nodes:
            node.merge_targets_of(*nodes)
        yield nursery
        nursery.cancel_scope.cancel()
