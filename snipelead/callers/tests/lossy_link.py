"""Simulated network link that can lose data without notice."""

import trio

from snipelead.callers.tests.fakes import ANY_PORT
from snipelead.callers.tests.fakes import bound_address
from snipelead.http.connection import connect
from snipelead.http.connection import Connection
from snipelead.http.connection import listen
from snipelead.http.exceptions import ConnectionLostError


class LossyLink:
    """TCP proxy that can silently drop the data of a connection.

    Parameters
    ----------
    address : Address
        Destination of the forwarded connections.

    Attributes
    ----------
    address : Address
        Address that the link listens on.
    connection_count : int
        Number of connections accepted so far.
    dropped_requests : set of int
        Indexes of connections whose data towards the destination is dropped.
    dropped_responses : set of int
        Indexes of connections whose data from the destination is dropped.
    closures : list of tuple of (int, bool, str)
        Index of the connection, whether the client closed it, and
        ``'closed'`` or ``'reset'``.
    """

    def __init__(self, address):
        self.destination = address
        self.listener = listen(ANY_PORT)
        self.address = bound_address(self.listener)
        self.connection_count = 0
        self.dropped_requests = set()
        self.dropped_responses = set()
        self.closures = []

    async def run(self, task_status):
        async with trio.open_nursery() as nursery:
            task_status.started()
            while True:
                await trio.lowlevel.wait_readable(self.listener)
                sock, _ = self.listener.accept()
                index = self.connection_count
                self.connection_count += 1
                nursery.start_soon(self.serve, index, Connection(sock))

    async def serve(self, index, client):
        with client, await connect(self.destination) as server:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self.forward,
                    client,
                    server,
                    client,
                    index,
                    self.dropped_requests,
                )
                nursery.start_soon(
                    self.forward,
                    server,
                    client,
                    client,
                    index,
                    self.dropped_responses,
                )

    async def forward(self, source, sink, client, index, dropped):
        try:
            while data := await source.receive():
                if index not in dropped:
                    await sink.send(data)
            self.closures.append((index, source is client, 'closed'))
            if index not in dropped:
                sink.close()
        except ConnectionLostError:
            self.closures.append((index, source is client, 'reset'))
            sink.close()
