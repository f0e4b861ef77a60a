"""TCP relay that injects network faults, for tests."""

from enum import Enum
import socket
import struct
import threading

import trio

__all__ = [
    'Direction',
    'Relay',
    'RelayThread',
    'reset_stream',
    'serve_streams',
]

CHUNK_BYTES = 65_536
# Segment size used with small buffers. The smaller it is, the less a sender's
# kernel takes in at first.
SEGMENT_BYTES = 536
# SO_LINGER with a timeout of 0 seconds makes close send a reset.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


async def serve_streams(serve, *, task_status=trio.TASK_STATUS_IGNORED):
    """Serve the connections to a free port until cancelled.

    Parameters
    ----------
    serve : callable
        Coroutine function of a stream.
    task_status : trio.TaskStatus
        Receives the address.
    """
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    host, port = listeners[0].socket.getsockname()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        task_status.started(f'{host}:{port}')


class Direction(Enum):
    """Direction of the bytes through a relay."""

    REQUESTS = 'requests'
    RESPONSES = 'answers'


class Relay:
    """TCP relay in front of one address.

    It can behave like a middlebox that has lost the state of its connections.

    Parameters
    ----------
    upstream : Address
        Address that connections are relayed to.
    address : Address
        Address at which the relay listens; port 0 lets the system choose.
    buffer_bytes : int or None
        Size of the socket buffers for requests; None for the default. A peer
        that does not read soon blocks the writer if they are small.

    Attributes
    ----------
    accepted_count : int
        Number of accepted connections.
    relayed_bytes : int
        Number of relayed bytes, in both directions together.
    stalls_new_connections : bool
        Whether new connections are accepted but not relayed.
    delay_s : float
        Additional delay of each chunk, in seconds.
    """

    def __init__(self, upstream, address='127.0.0.1:0', buffer_bytes=None):
        self.upstream = upstream
        self.buffer_bytes = buffer_bytes
        self.address = address
        self.accepted_count = 0
        self.relayed_bytes = 0
        self.stalls_new_connections = False
        self.delay_s = 0.0
        self._stalled = trio.Event()
        self._blocked = {}
        self._connections = set()

    def cut(self, *directions):
        """Block some directions, or both, until :meth:`heal`."""
        for direction in directions or Direction:
            self._blocked.setdefault(direction, trio.Event())

    def heal(self):
        """Relay blocked bytes and all further traffic without delay."""
        self.delay_s = 0.0
        self.stalls_new_connections = False
        blocked, self._blocked = self._blocked, {}
        for event in blocked.values():
            event.set()

    def reset(self):
        """Reset all open connections to clients and to the upstream."""
        connections, self._connections = self._connections, set()
        for connection in connections:
            for stream in connection:
                reset_stream(stream)

    def stall_connections(self):
        """Stop relaying on the open connections; new ones work.

        The connections stay open, so that neither end notices.
        """
        self._stalled.set()
        self._stalled = trio.Event()

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Relay until cancelled; passes the bound address to ``start``."""
        host, port = _split_address(self.address)
        listeners = await trio.open_tcp_listeners(port, host=host)
        if self.buffer_bytes is not None:
            for listener in listeners:
                listener.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, self.buffer_bytes
                )
                listener.socket.setsockopt(
                    socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES
                )
        port = listeners[0].socket.getsockname()[1]
        self.address = f'{host}:{port}'
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, self._accept, listeners)
            task_status.started(self.address)

    async def _accept(self, client):
        self.accepted_count += 1
        stalled = self._stalled
        async with client:
            if self.stalls_new_connections:
                await trio.sleep_forever()
            try:
                upstream = await trio.open_tcp_stream(
                    *_split_address(self.upstream)
                )
            except OSError:
                return
            async with upstream:
                if self.buffer_bytes is not None:
                    upstream.socket.setsockopt(
                        socket.SOL_SOCKET, socket.SO_SNDBUF, self.buffer_bytes
                    )
                connection = (client, upstream)
                self._connections.add(connection)
                try:
                    await self._copy_both_ways(client, upstream, stalled)
                finally:
                    self._connections.discard(connection)

    async def _copy(self, source, destination, direction, nursery, stalled):
        try:
            while data := await source.receive_some(CHUNK_BYTES):
                # Data may arrive before the copying tasks are cancelled.
                if stalled.is_set():
                    await trio.sleep_forever()
                await self._wait_unblocked(direction)
                await destination.send_all(data)
                self.relayed_bytes += len(data)
            await self._wait_unblocked(direction)
        except trio.BrokenResourceError:
            # Neither end may take the loss of the other for the end of its
            # stream.
            reset_stream(source)
            reset_stream(destination)
        except trio.ClosedResourceError:
            pass
        nursery.cancel_scope.cancel()

    async def _wait_unblocked(self, direction):
        """Wait for the delay, and while a direction is blocked."""
        if self.delay_s:
            await trio.sleep(self.delay_s)
        while (event := self._blocked.get(direction)) is not None:
            await event.wait()

    async def _copy_both_ways(self, client, upstream, stalled):
        async with trio.open_nursery() as nursery:
            shared_args = (nursery, stalled)
            nursery.start_soon(
                self._copy, client, upstream, Direction.REQUESTS, *shared_args
            )
            nursery.start_soon(
                self._copy, upstream, client, Direction.RESPONSES, *shared_args
            )
            await stalled.wait()
            nursery.cancel_scope.cancel()
        if stalled.is_set():
            # Keep both connections open, so that neither end sees them close.
            await trio.sleep_forever()


def reset_stream(stream):
    """Close a stream with a TCP reset; does nothing if it is closed."""
    if stream.socket.fileno() < 0:
        return
    stream.socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
    )
    stream.socket.close()


def _split_address(address):
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)


class RelayThread:
    """Thread that runs relays, for synchronous tests.

    A context manager; its exit stops the relays.
    """

    def __init__(self):
        self._ready = threading.Event()
        self._thread = threading.Thread(target=trio.run, args=(self._main,))

    def __enter__(self):
        self._thread.start()
        self._ready.wait()
        return self

    def __exit__(self, *exc_info):
        self.run_sync(self._nursery.cancel_scope.cancel)
        self._thread.join()

    def add(self, upstream):
        """Start a relay to an upstream address and return it."""
        relay = Relay(upstream)
        trio.from_thread.run(
            self._nursery.start, relay.run, trio_token=self._token
        )
        return relay

    def stall_connections(self, relays):
        """Call :meth:`Relay.stall_connections` of some relays."""
        for relay in relays:
            self.run_sync(relay.stall_connections)

    def run_sync(self, function):
        """Run a function in the thread of the relays and return its value."""
        return trio.from_thread.run_sync(function, trio_token=self._token)

    async def _main(self):
        self._token = trio.lowlevel.current_trio_token()
        async with trio.open_nursery() as self._nursery:
            self._ready.set()
            await trio.sleep_forever()
