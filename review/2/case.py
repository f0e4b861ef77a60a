"""A target rejects long requests before it has read their bodies."""

import asyncio
from pathlib import Path
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from mesh import answer_on_socket  # noqa: E402
from mesh import CHUNKED  # noqa: E402
from mesh import Client  # noqa: E402
from mesh import Operator  # noqa: E402
from mesh import read_from_socket  # noqa: E402
from mesh import route  # noqa: E402
from mesh import run_case  # noqa: E402
from mesh import SocketTarget  # noqa: E402
from mesh import TROUBLE  # noqa: E402
from mesh import wait_for  # noqa: E402

HOST = 'shop.example'
SERVICES = ('orders', 'stock')
LONG_BODY = b'x' * 100_000
ROUNDS = 4
# After so many short requests comes a long one, which the target rejects.
SHORT_REQUESTS = 49
# The long request follows after a quiet time.
QUIET_S = 4.5
# Time from the early answer until the target reads on.
READ_ON_AFTER_S = 0.5


class EarlyTarget(SocketTarget):
    """Target that is full for long requests while it is faulty.

    In times of trouble it says so before it has read their bodies, keeps the
    connection, reads the rest of the body later and checks it.

    Attributes
    ----------
    is_faulty : bool
        Whether it rejects long requests now.
    rejected : int
        Number of requests rejected.
    wrong_bytes : int
        Number of bytes that were not those of the body that was due.
    """

    # The window is small, and packets are as large as on a network.
    window_bytes = 4_096
    segment_bytes = 1_448
    is_faulty = False
    rejected = 0
    wrong_bytes = 0

    def serve_request(self, sock, buffer, first, attempt_id, length):
        """Run or reject a request."""
        if not self.is_faulty or length != len(LONG_BODY):
            return super().serve_request(
                sock, buffer, first, attempt_id, length
            )
        if TROUBLE:
            self._reject(sock, attempt_id, 'before it has read the body')
            time.sleep(READ_ON_AFTER_S)
        body = read_from_socket(sock, buffer, length)
        self._check_body(attempt_id, body)
        if len(body) < length:
            return False
        if not TROUBLE:
            self._reject(sock, attempt_id, 'after it has read the body')
        return True

    def _reject(self, sock, attempt_id, when):
        self.rejected += 1
        self.record.write(f'{self.target_id} rejects {attempt_id} {when}')
        answer_on_socket(
            sock,
            '503 Service Unavailable',
            b'',
            f'Attempt-Id: {attempt_id}',
            'Not-Executed: 1',
        )

    def _check_body(self, attempt_id, body):
        wrong = len(body) - body.count(b'x')
        self.wrong_bytes += wrong
        text = 'as sent'
        if wrong:
            start = next(i for i, c in enumerate(body) if c != ord('x'))
            text = f'other bytes from {start} on: {body[start:]}'
        self.record.write(
            f'{self.target_id} reads on where the body of {attempt_id} is'
            f' due: {len(body)} of {len(LONG_BODY)} bytes, {text}'
        )


async def main(mesh, record):
    """Return whether the rule held."""
    mesh.start()
    operator = Operator(mesh, HOST, SERVICES)
    client = Client(record, HOST)
    targets = [
        EarlyTarget(node, f'i-{i}', record)
        for i, node in enumerate(mesh.nodes)
    ]
    for target in targets:
        await target.start()
    paths = [route('r-orders', '/orders/', 'orders', 'unsafe', 1_000)]
    await operator.submit(operator.make(paths))
    await mesh.wait_ready()

    async def is_served(node):
        return (await client.send(node, '/orders/first'))[1].status == 200

    for node in mesh.nodes:
        await wait_for(
            lambda node=node: is_served(node), f'{node.name} serves'
        )
    faulty = targets[0]
    faulty.is_faulty = True
    statuses = []

    async def send(name, body, *fields):
        path = f'/orders/{len(statuses)}-{name}'
        _, answer = await client.send(
            faulty.node, path, 'POST', body, fields=fields
        )
        statuses.append(answer.status)

    for _ in range(ROUNDS):
        for _ in range(SHORT_REQUESTS):
            await send('short', b'order')
        await asyncio.sleep(QUIET_S)
        await send('long', LONG_BODY, CHUNKED)
        await send('next', b'order')
    unanswered = statuses.count(0)
    record.say(
        f'{len(statuses)} requests, {unanswered} without an answer;'
        f' {faulty.rejected} of the long ones rejected; where their bodies'
        f' were due, the target read {faulty.wrong_bytes} bytes of other'
        ' requests'
    )
    return not faulty.wrong_bytes


run_case(main, SERVICES, Path(__file__).resolve().parent)
