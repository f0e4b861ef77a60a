"""Back end that a node never uses again after it was slow."""

import asyncio
from collections import Counter
from pathlib import Path
import socket
import struct
import sys

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from loopback import Backend
from loopback import Deployment
from loopback import encode_request
from loopback import encode_success
from loopback import HEARTBEAT_S
from loopback import make_configuration
from loopback import make_route
from loopback import read_response
from loopback import run_case

SERVICES = ('portal', 'lookup', 'orders')
FIRST_ROUTE = make_route('lookup', 'lookup', timeout='1500ms')
LATER_ROUTE = make_route('orders', 'orders', timeout='1500ms')
DEADLINE_MS = 1_500
SLOTS = 4
WORK_S = 0.15
SLOW_FACTOR = 12
SLOW_S = 9.0
CALM_S = 5.0
REQUEST_INTERVAL_S = 0.05
JUDGED_S = 6.0
MIN_REQUESTS = 20
MIN_SHARE = 0.25
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Worker:
    """Back end with a few slots, which resets connections when it is full.

    It goes on with a request whose connection is closed.
    """

    def __init__(self):
        self.slow_factor = 1
        self.in_flight = 0

    async def respond(self, backend, state, writer, path, attempt_id):
        """Run a request and send its answer."""
        if self.in_flight >= SLOTS:
            backend.record.write(
                f'{backend.instance_id}: full, resets {attempt_id}'
            )
            sock = writer.get_extra_info('socket')
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
            writer.close()
            return
        backend.run_request(attempt_id, path)
        self.in_flight += 1
        try:
            await asyncio.sleep(WORK_S * self.slow_factor)
        finally:
            self.in_flight -= 1
        writer.write(encode_success(attempt_id, b'done'))


class Client:
    """Client that sends safe requests for one route, each at its time.

    Attributes
    ----------
    statuses : Counter
        Number of answers by status; None counts those without an answer.
    """

    def __init__(self, record, node, route):
        self.record = record
        self.node = node
        self.route = route
        self.number = 0
        self.statuses = Counter()

    async def run(self):
        """Send requests until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                self.number += 1
                group.create_task(self._send(self.number))
                await asyncio.sleep(REQUEST_INTERVAL_S)

    async def _send(self, number):
        attempt_id = f'{self.route["name"]}-{number}'
        status, body = None, b''
        try:
            async with asyncio.timeout(DEADLINE_MS / 1_000 + 0.5):
                reader, writer = await asyncio.open_connection(
                    *self.node.listen('outbound')
                )
                writer.write(
                    encode_request(
                        'GET',
                        f'{self.route["path-prefix"]}1',
                        attempt_id,
                        deadline_ms=DEADLINE_MS,
                    )
                )
                status, _, body = await read_response(reader)
                writer.close()
        except (OSError, EOFError, TimeoutError):
            pass
        self.record.write(f'client: {attempt_id} got {status} {body!r}')
        self.statuses[status] += 1


async def case(record, has_trouble):
    """Return whether the later route is served too seldom when all is calm."""
    with Deployment(SERVICES) as deployment:
        deployment.start()
        workers = [Worker() for _ in deployment.nodes]
        backends = [
            Backend(node, f'i-{number}', record, worker.respond, SLOTS)
            for number, (node, worker) in enumerate(
                zip(deployment.nodes, workers, strict=True)
            )
        ]
        tasks = [asyncio.create_task(b.serve()) for b in backends]
        await deployment.submit(
            record, make_configuration(1, 0, [FIRST_ROUTE], SERVICES)
        )
        await deployment.wait_ready()
        await deployment.submit(
            record,
            make_configuration(2, 1, [FIRST_ROUTE, LATER_ROUTE], SERVICES),
        )
        await asyncio.sleep(2 * HEARTBEAT_S)
        clients = [
            Client(record, deployment.nodes[2], route)
            for route in (FIRST_ROUTE, LATER_ROUTE)
        ]
        tasks += [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(2.0)
        if has_trouble:
            record.write(f'{backends[2].instance_id} is slow')
            workers[2].slow_factor = SLOW_FACTOR
        await asyncio.sleep(SLOW_S)
        workers[2].slow_factor = 1
        record.write(f'{backends[2].instance_id} is as fast as before')
        await asyncio.sleep(CALM_S)
        record.write('all has been calm; the requests from here on count')
        for client in clients:
            client.statuses.clear()
        await asyncio.sleep(JUDGED_S)
        first, later = (Counter(client.statuses) for client in clients)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    record.write(f'first route: {dict(first)}, later route: {dict(later)}')
    if min(first.total(), later.total()) < MIN_REQUESTS:
        raise TimeoutError('too few requests were sent')
    first_share = first[200] / first.total()
    later_share = later[200] / later.total()
    return later_share < MIN_SHARE * first_share


if __name__ == '__main__':
    run_case(case, Path(__file__).resolve().parent)
