"""A stand-in link between two processes that can go silent."""

import trio

from snipelead.callers.tests.fakes import ANY_PORT
from snipelead.callers.tests.fakes import bound_address
from snipelead.http.connection import connect
from snipelead.http.connection import Connection
from snipelead.http.connection import listen
from snipelead.http.exceptions import ConnectionLostError


class LossyLink:
    """Forwards connections until told to lose track of them.

    ``lose_requests`` and ``lose_answers`` hold the numbers of connections
    whose bytes are dropped without notice in that direction.
    """

    def __init__(self, address):
        self.destination = address
        self.listener = listen(ANY_PORT)
        self.address = bound_address(self.listener)
        self.connection_count = 0
        self.dropped_requests = set()
        self.dropped_responses = set()
        # How connections ended: number, whether by the near end, and
        # 'closed' or 'reset'.
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
