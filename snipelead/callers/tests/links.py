"""A stand-in link between two processes that can go silent."""

import trio

from snipelead.callers.tests.fakes import ANY_PORT
from snipelead.callers.tests.fakes import bound
from snipelead.http.connection import connect
from snipelead.http.connection import Connection
from snipelead.http.connection import listen
from snipelead.http.exceptions import ConnectionLostError


class SilentLink:
    """Forwards connections until told to lose track of them.

    ``lose_requests`` and ``lose_answers`` hold the numbers of connections
    whose bytes are dropped without notice in that direction.
    """

    def __init__(self, address):
        self.target = address
        self.listener = listen(ANY_PORT)
        self.address = bound(self.listener)
        self.connections = 0
        self.lose_requests = set()
        self.lose_answers = set()
        # How connections ended: number, whether by the near end, and
        # 'closed' or 'reset'.
        self.ends = []

    async def run(self, task_status):
        async with trio.open_nursery() as nursery:
            task_status.started()
            while True:
                await trio.lowlevel.wait_readable(self.listener)
                sock, _ = self.listener.accept()
                number = self.connections
                self.connections += 1
                nursery.start_soon(self.serve, number, Connection(sock))

    async def serve(self, number, near):
        with near, await connect(self.target) as far:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self.pump, near, far, near, number, self.lose_requests
                )
                nursery.start_soon(
                    self.pump, far, near, near, number, self.lose_answers
                )

    async def pump(self, source, sink, near, number, lost):
        try:
            while data := await source.receive():
                if number not in lost:
                    await sink.send(data)
            self.ends.append((number, source is near, 'closed'))
            if number not in lost:
                sink.close()
        except ConnectionLostError:
            self.ends.append((number, source is near, 'reset'))
            sink.close()
