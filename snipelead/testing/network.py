"""In-memory transport that can drop, delay and duplicate messages."""

from math import inf
import random

import trio

from snipelead.rpc.base import Channel
from snipelead.rpc.base import CONNECT_TIMEOUT_S
from snipelead.rpc.base import dispatch
from snipelead.rpc.base import Transport
from snipelead.rpc.exceptions import RpcNotSentError
from snipelead.rpc.exceptions import RpcUnreachableError
from snipelead.rpc.stream import USER_TIMEOUT_MS

__all__ = ['MemoryNetwork', 'MemoryTransport']


class MemoryNetwork:
    """Simulated network that connects all transports of a test.

    Parameters
    ----------
    seed : int
        Seed of delays, losses and duplications.
    min_delay_s, max_delay_s : float
        Bounds of the one-way delay of each message, in seconds; unequal delays
        reorder messages.
    loss_probability : float
        Probability that a message is dropped silently.
    duplication_probability : float
        Probability that a request is delivered twice.
    handshakes : bool
        Whether channels behave like TCP connections: the first call, and the
        first one after a failure, opens a connection and is not sent if the
        server cannot be reached, and a request that stays unacknowledged
        ends its connection.

    Attributes
    ----------
    servers : dict of str to _MemoryServer
        Running servers, by address.
    dropping_links : set of (str, str)
        Links, as source and destination addresses, that drop all messages.
    frozen : dict of str to trio.Event
        Events that are set when the frozen address is thawed.
    """

    def __init__(
        self,
        seed=0,
        min_delay_s=0.001,
        max_delay_s=0.001,
        loss_probability=0.0,
        duplication_probability=0.0,
        handshakes=False,
    ):
        self.rng = random.Random(seed)
        self.min_delay_s = min_delay_s
        self.max_delay_s = max_delay_s
        self.loss_probability = loss_probability
        self.duplication_probability = duplication_probability
        self.handshakes = handshakes
        self.servers = {}
        self.dropping_links = set()
        self.frozen = {}

    def transport(self, address):
        """Return the transport of the process at an address."""
        return MemoryTransport(self, address)

    def cut(self, one, other):
        """Silently drop all messages between two addresses."""
        self.dropping_links |= {(one, other), (other, one)}

    def isolate(self, address, others):
        """Silently drop all messages between an address and some others."""
        for other in others:
            self.cut(address, other)

    def freeze(self, address):
        """Hold all messages from and to an address until it is thawed."""
        self.frozen.setdefault(address, trio.Event())

    def thaw(self, address):
        """Deliver the messages held since the address was frozen."""
        frozen = self.frozen.pop(address, None)
        if frozen is not None:
            frozen.set()

    def heal(self):
        """Remove all cuts and freezes."""
        self.dropping_links.clear()
        for address in list(self.frozen):
            self.thaw(address)

    async def wait_thawed(self, *addresses):
        """Wait until none of the addresses is frozen."""
        for address in addresses:
            while address in self.frozen:
                await self.frozen[address].wait()

    async def transmit(self, source, destination):
        """Wait until a message arrives; never return if it is lost."""
        delay_s = self.rng.uniform(self.min_delay_s, self.max_delay_s)
        lost = self.rng.random() < self.loss_probability
        await trio.sleep(delay_s)
        await self.wait_thawed(source, destination)
        if lost or (source, destination) in self.dropping_links:
            await trio.sleep_forever()


class MemoryChannel(Channel):
    """Channel of the in-memory network.

    Attributes
    ----------
    connected : bool
        Whether a connection is open, as far as this end knows.
    """

    def __init__(self, network, source, address, stats):
        super().__init__(address, stats)
        self.network = network
        self.source = source
        self.connected = False

    async def reset(self):
        """Forget the connection, so that the next call opens another."""
        self.connected = False

    async def connect(self):
        """Exchange the packets that open a connection.

        Raises
        ------
        RpcNotSentError
            If there is no reply in time.
        """
        if self.connected or not self.network.handshakes:
            return
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            await self.network.transmit(self.source, self.address)
            await self.network.transmit(self.address, self.source)
            self.connected = True
            return
        raise RpcNotSentError(f'cannot connect to {self.address}')

    async def transmit_request(self):
        """Transmit a request; fail if it stays unacknowledged for long.

        Raises
        ------
        RpcUnreachableError
            If the network models connections and the request is lost.
        """
        timeout_s = USER_TIMEOUT_MS / 1_000
        if not self.network.handshakes:
            timeout_s = inf
        with trio.move_on_after(timeout_s):
            await self.network.transmit(self.source, self.address)
            return
        self.connected = False
        raise RpcUnreachableError(f'the connection to {self.address} is lost')

    async def send_request(self, method, payload):
        """Transmit a request, execute it and transmit its response."""
        await self.connect()
        await self.transmit_request()
        server = self.network.servers.get(self.address)
        if server is None:
            self.connected = False
            raise RpcNotSentError(f'no server listens on {self.address}')
        if self.network.rng.random() < self.network.duplication_probability:
            server.deliver(method, payload)
        answer = await server.run(method, payload)
        await self.network.transmit(self.address, self.source)
        return answer


class _MemoryServer:
    """Runs handlers in the nursery of the serving process."""

    def __init__(self, handlers, nursery):
        self.handlers = handlers
        self.nursery = nursery

    def deliver(self, method, payload):
        """Execute a duplicate of a request and discard the response."""
        self.nursery.start_soon(dispatch, self.handlers, method, payload)

    async def run(self, method, payload):
        """Execute a request; cancelled when its client or the server is."""
        answers = []

        async def run_handler():
            try:
                with scope:
                    answers.append(
                        await dispatch(self.handlers, method, payload)
                    )
            finally:
                done.set()

        scope = trio.CancelScope()
        done = trio.Event()
        self.nursery.start_soon(run_handler)
        try:
            await done.wait()
        finally:
            scope.cancel()
        if not answers:
            raise RpcUnreachableError('the server stopped before it responded')
        return answers[0]


class MemoryTransport(Transport):
    """Transport of one process on a :class:`MemoryNetwork`."""

    def __init__(self, network, address):
        super().__init__()
        self.network = network
        self.address = address

    def connect(self, address):
        """Return a channel to an address."""
        return MemoryChannel(self.network, self.address, address, self.stats)

    async def serve(
        self, address, handlers, *, task_status=trio.TASK_STATUS_IGNORED
    ):
        """Serve requests with some handlers until cancelled."""
        async with trio.open_nursery() as nursery:
            self.network.servers[address] = _MemoryServer(handlers, nursery)
            try:
                task_status.started(address)
                await trio.sleep_forever()
            finally:
                self.network.servers.pop(address, None)
