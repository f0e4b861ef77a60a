"""A target's early answer without a length is reset on the way."""

from pathlib import Path
import socket
import struct
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from mesh import answer_on_socket  # noqa: E402
from mesh import Client  # noqa: E402
from mesh import Operator  # noqa: E402
from mesh import read_from_socket  # noqa: E402
from mesh import route  # noqa: E402
from mesh import run_case  # noqa: E402
from mesh import SocketTarget  # noqa: E402
from mesh import TROUBLE  # noqa: E402
from mesh import wait_for  # noqa: E402

HOST = 'shop.example'
# One of the two targets of the service is faulty.
SERVICES = ('reports', 'reports', 'orders')
LONG_BODY = b'x' * 2 * 1024 * 1024
WHOLE_ANSWER = b'line of the report\n' * 200
# The faulty target spoils one in so many answers, for so long.
ANSWERS_PER_FAULT = 50
FAULTS_S = 5.0
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class FaultyTarget(SocketTarget):
    """Target that spoils some of its answers while it is faulty.

    These come before it has read the body, have no length, and are reset
    half-way.

    Attributes
    ----------
    is_faulty : bool
        Whether it spoils answers now.
    answered : int
        Number of long requests answered.
    spoiled : int
        Number of answers spoiled.
    """

    is_faulty = False
    answered = 0
    spoiled = 0

    def serve_request(self, sock, buffer, first, attempt_id, length):
        """Run a request and answer it."""
        self.record.write(f'{self.target_id} runs {attempt_id} {first}')
        self.answered += length == len(LONG_BODY)
        fields = f'Attempt-Id: {attempt_id}', 'Response-Seal: 3e1b.07'
        if self.is_faulty and self.answered % ANSWERS_PER_FAULT == 0:
            self._spoil_answer(sock, attempt_id, fields)
            return False
        if len(read_from_socket(sock, buffer, length)) < length:
            return False
        answer_on_socket(sock, '200 OK', WHOLE_ANSWER, *fields)
        return True

    def _spoil_answer(self, sock, attempt_id, fields):
        self.spoiled += 1
        head = '\r\n'.join(('HTTP/1.1 200 OK', *fields, 'Connection: close'))
        half = WHOLE_ANSWER[: len(WHOLE_ANSWER) // 2]
        self.record.write(
            f'{self.target_id} answers {attempt_id} early, without a length;'
            f' it resets the connection after {len(half)} of'
            f' {len(WHOLE_ANSWER)} bytes'
        )
        sock.sendall(head.encode() + b'\r\n\r\n' + half)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


async def main(mesh, record):
    """Return whether the rule held."""
    mesh.start()
    operator = Operator(mesh, HOST, ('reports', 'orders'))
    client = Client(record, HOST)
    targets = [
        FaultyTarget(node, f'i-{i}', record)
        for i, node in enumerate(mesh.nodes)
    ]
    for target in targets:
        await target.start()
    paths = [
        route('r-reports', '/reports/', 'reports', 'unsafe', 5_000),
        route('r-orders', '/orders/', 'orders', 'unsafe', 5_000),
    ]
    await operator.submit(operator.make(paths))
    await mesh.wait_ready()

    async def is_served(node):
        return (await client.send(node, '/reports/first'))[1].status == 200

    for node in mesh.nodes:
        await wait_for(
            lambda node=node: is_served(node), f'{node.name} serves'
        )
    targets[0].is_faulty = TROUBLE
    faults_end_at = time.monotonic() + FAULTS_S
    statuses = []
    broken = 0
    while time.monotonic() < faults_end_at:
        node = mesh.nodes[len(statuses) % len(mesh.nodes)]
        _, answer = await client.send(
            node, f'/reports/{len(statuses)}', 'POST', LONG_BODY, 5_000
        )
        statuses.append(answer.status)
        if answer.status == 200 and answer.body != WHOLE_ANSWER:
            broken += 1
            record.say(
                f'{node.name} passes on a success with the seal'
                f' {answer.fields.get("response-seal")}, Content-Length'
                f' {answer.fields.get("content-length")} and a body of'
                f' {len(answer.body)} bytes, not {len(WHOLE_ANSWER)}'
            )
    record.say(
        f'{len(statuses)} long requests; {targets[0].spoiled} of'
        f' {targets[0].answered} answers of one target spoiled; {broken}'
        ' successes without the whole body of the target'
    )
    return not broken


run_case(main, SERVICES, Path(__file__).resolve().parent)
