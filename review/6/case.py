"""Back ends that answer their first health checks with wrong bytes."""

import asyncio
from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from loopback import Backend
from loopback import Deployment
from loopback import encode_request
from loopback import encode_success
from loopback import make_configuration
from loopback import make_route
from loopback import read_response
from loopback import run_case

SERVICE = 'orders'
NODES = 4
FAULTY_BACKENDS = 2
SPOILED_ANSWERS = 3
# The rule: processes end by themselves so often on so many machines.
ENDS = 3
MACHINES = 2
RESTART_DELAY_S = 0.5
POLL_S = 0.05
DURATION_S = 30.0
CLIENTS = 6
REQUEST_INTERVAL_S = 0.02
WORK_S = 0.06
ERROR_NAME = 'httptools'
WRONG_BYTES = (
    b'HTTP/1.1 101 Switching Protocols\r\n'
    b'Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n'
)


async def respond(backend, state, writer, path, attempt_id):
    """Run a request and send its answer."""
    backend.run_request(attempt_id, path)
    await asyncio.sleep(WORK_S)
    writer.write(encode_success(attempt_id, b'order'))


async def restart_ended(record, node, ends):
    """Do what the platform does: start a process again that has ended."""
    while True:
        await asyncio.sleep(POLL_S)
        status = node.process.poll()
        if status is None:
            continue
        ends[node.name] += 1
        record.write(f'{node.name} ended by itself with status {status}')
        record.write(f'its error: {node.find_log_line(ERROR_NAME)}')
        await asyncio.sleep(RESTART_DELAY_S)
        node.start()
        record.write(f'{node.name} is started again')


async def send_requests(record, node, client):
    """Send safe requests until cancelled."""
    number = 0
    while True:
        number += 1
        attempt_id = f'attempt-{client}-{number}'
        try:
            async with asyncio.timeout(5.0):
                reader, writer = await asyncio.open_connection(
                    *node.listen('outbound')
                )
                writer.write(encode_request('GET', '/orders/1', attempt_id))
                status, _, _ = await read_response(reader)
                writer.close()
        except (OSError, EOFError, TimeoutError) as error:
            record.write(f'client: no answer to {attempt_id}: {error!r}')
        else:
            record.write(f'client: {attempt_id} got {status}')
        await asyncio.sleep(REQUEST_INTERVAL_S)


async def case(record, has_trouble):
    """Return whether processes ended by themselves too often."""
    with Deployment((SERVICE,) * NODES) as deployment:
        deployment.start()
        backends = [
            Backend(node, f'i-{number}', record, respond)
            for number, node in enumerate(deployment.nodes)
        ]
        if has_trouble:
            for backend in backends[-FAULTY_BACKENDS:]:
                backend.wrong_health_answers = [WRONG_BYTES] * SPOILED_ANSWERS
        ends = {node.name: 0 for node in deployment.nodes}
        tasks = [asyncio.create_task(b.serve()) for b in backends]
        tasks += [
            asyncio.create_task(restart_ended(record, node, ends))
            for node in deployment.nodes
        ]
        await deployment.submit(
            record,
            make_configuration(
                1, 0, [make_route(SERVICE, SERVICE)], (SERVICE,)
            ),
        )
        await asyncio.sleep(1.0)
        tasks += [
            asyncio.create_task(
                send_requests(record, deployment.nodes[0], client)
            )
            for client in range(CLIENTS)
        ]
        await asyncio.sleep(DURATION_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    for backend in backends:
        record.write(
            f'{backend.instance_id}: {backend.answers} answers,'
            f' {backend.spoiled} of them spoiled'
        )
    record.write(f'ends by themselves: {ends}')
    return sum(count >= ENDS for count in ends.values()) >= MACHINES


if __name__ == '__main__':
    run_case(case, Path(__file__).resolve().parent)
