"""TCP relay that can lose track of its connections, for tests."""

from enum import Enum
import socket
import struct
import threading

import trio

__all__ = ['Direction', 'Relay', 'RelayThread']

CHUNK_BYTES = 65_536
# Closing with this option sends a reset: linger on, for 0 seconds.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Direction(Enum):
    """Way that bytes take through a relay."""

    REQUESTS = 'requests'
    ANSWERS = 'answers'


class Relay:
    """Relay in front of one address; a middlebox that can go silent.

    Parameters
    ----------
    upstream : Address
        Where connections are relayed to.
    address : Address
        Where the relay listens.

    Attributes
    ----------
    accepted : int
        Connections accepted so far.
    carried_bytes : int
        Bytes carried, both ways together.
    refusing : bool
        Whether new connections are accepted but go nowhere.
    delay_s : float
        Added delay of each chunk, in seconds.
    """

    def __init__(self, upstream, address='127.0.0.1:0'):
        self.upstream = upstream
        self.address = address
        self.accepted = 0
        self.carried_bytes = 0
        self.refusing = False
        self.delay_s = 0.0
        self._silenced = trio.Event()
        self._held = {}
        self._pairs = set()

    def cut(self, *directions):
        """Hold back all bytes of some directions until :meth:`heal`."""
        for direction in directions or Direction:
            self._held.setdefault(direction, trio.Event())

    def heal(self):
        """Carry what is held back, and all that follows, without delay."""
        self.delay_s = 0.0
        self.refusing = False
        held, self._held = self._held, {}
        for event in held.values():
            event.set()

    def reset(self):
        """Reset all open connections, on both sides."""
        for pair in tuple(self._pairs):
            for stream in pair:
                stream.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
                stream.socket.close()

    def silence(self):
        """Carry nothing more on open connections; new ones work.

        Neither end is told: connections stay open for good.
        """
        self._silenced.set()
        self._silenced = trio.Event()

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Relay until cancelled; reports the bound address."""
        host, port = _split(self.address)
        listeners = await trio.open_tcp_listeners(port, host=host)
        port = listeners[0].socket.getsockname()[1]
        self.address = f'{host}:{port}'
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, self._accept, listeners)
            task_status.started(self.address)

    async def _accept(self, caller):
        self.accepted += 1
        silenced = self._silenced
        async with caller:
            if self.refusing:
                await trio.sleep_forever()
            try:
                upstream = await trio.open_tcp_stream(*_split(self.upstream))
            except OSError:
                return
            async with upstream:
                pair = (caller, upstream)
                self._pairs.add(pair)
                try:
                    await self._carry_both_ways(caller, upstream, silenced)
                finally:
                    self._pairs.discard(pair)

    async def _carry(self, source, destination, direction, nursery, silenced):
        try:
            while data := await source.receive_some(CHUNK_BYTES):
                # Data may arrive before the carriers notice the silence.
                if silenced.is_set():
                    await trio.sleep_forever()
                await self._hold(direction)
                await destination.send_all(data)
                self.carried_bytes += len(data)
            await self._hold(direction)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        nursery.cancel_scope.cancel()

    async def _hold(self, direction):
        """Wait as long as a direction is delayed or cut."""
        if self.delay_s:
            await trio.sleep(self.delay_s)
        while (event := self._held.get(direction)) is not None:
            await event.wait()

    async def _carry_both_ways(self, caller, upstream, silenced):
        async with trio.open_nursery() as nursery:
            ends = (nursery, silenced)
            nursery.start_soon(
                self._carry, caller, upstream, Direction.REQUESTS, *ends
            )
            nursery.start_soon(
                self._carry, upstream, caller, Direction.ANSWERS, *ends
            )
            await silenced.wait()
            nursery.cancel_scope.cancel()
        if silenced.is_set():
            # Held open, so that neither end sees a reset or an end.
            await trio.sleep_forever()


def _split(address):
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)


class RelayThread:
    """Relays in a thread of their own, for tests that are not asynchronous.

    A context manager; the relays end with it.
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
        """Start a relay to an address and return it."""
        relay = Relay(upstream)
        trio.from_thread.run(
            self._nursery.start, relay.run, trio_token=self._token
        )
        return relay

    def silence(self, relays):
        """Silence open connections of some relays, see :class:`Relay`."""
        for relay in relays:
            self.run_sync(relay.silence)

    def run_sync(self, function):
        """Run a function in the thread of the relays."""
        return trio.from_thread.run_sync(function, trio_token=self._token)

    async def _main(self):
        self._token = trio.lowlevel.current_trio_token()
        async with trio.open_nursery() as self._nursery:
            self._ready.set()
            await trio.sleep_forever()
