"""Back end that left before its node restarted, and late check-ins."""

import asyncio
from contextlib import suppress
from pathlib import Path
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from loopback import Backend
from loopback import Deployment
from loopback import encode_request
from loopback import encode_success
from loopback import HEARTBEAT_S
from loopback import make_configuration
from loopback import make_route
from loopback import POLL_S
from loopback import read_response
from loopback import run_case

SERVICES = ('portal', 'orders', 'orders')
DRAIN_S = 2.0
RESTART_DELAY_S = 0.5
LATE_CHECK_INS = 3
# The delayed check-ins arrive this long after the acknowledgement, or once the
# node listens again.
CHECK_INS_ARRIVE_S = 1.5
# From the start of the node on, in seconds. It is in touch again after 3 s.
REQUESTS_START_S = 3.5
BACKEND_EXITS_S = 7.5
REQUEST_INTERVAL_S = 0.05


async def respond(backend, state, writer, path, attempt_id):
    """Run a request and send its answer."""
    backend.run_request(attempt_id, path)
    writer.write(encode_success(attempt_id, b'order'))


async def send_requests(record, node):
    """Send safe requests until cancelled."""
    number = 0
    while True:
        number += 1
        attempt_id = f'attempt-{number}'
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


async def leave(record, deployment, backend, has_trouble):
    """Let a back end leave while its last check-ins are on their way.

    Returns
    -------
    tuple of float
        When the node acknowledged that the back end is gone, and when the
        node was last started, on the monotonic clock.
    """
    check_ins = []
    for number in range(LATE_CHECK_INS):
        if number:
            await asyncio.sleep(HEARTBEAT_S)
        check_ins.append(backend.encode_check_in())
        record.write(f'{backend.instance_id}: check-in sent, delayed')
    backend.is_leaving = True
    status = await backend.withdraw()
    gone_at = time.monotonic()
    record.write(f'{backend.instance_id}: DELETE acknowledged: {status}')
    if status != 200:
        raise TimeoutError('the node did not acknowledge the DELETE')
    if has_trouble:
        backend.node.kill()
        record.write(f'{backend.node.name} is killed')
        await asyncio.sleep(RESTART_DELAY_S)
        backend.node.start()
        record.write(f'{backend.node.name} is started again')
    started_at = time.monotonic()
    await asyncio.sleep(gone_at + CHECK_INS_ARRIVE_S - time.monotonic())
    for body in check_ins:
        while (status := await backend.send_check_in(body)) is None:
            await asyncio.sleep(POLL_S)
        record.write(f'{backend.instance_id}: late check-in: {status}')
    return gone_at, started_at


async def case(record, has_trouble):
    """Return whether a request reached the back end long after it left."""
    with Deployment(SERVICES) as deployment:
        deployment.start()
        backends = [
            Backend(node, f'i-{number}', record, respond)
            for number, node in enumerate(deployment.nodes)
        ]
        tasks = [asyncio.create_task(b.serve()) for b in backends]
        services = tuple(sorted(set(SERVICES)))
        routes = [make_route(name, name) for name in services]
        await deployment.submit(
            record, make_configuration(1, 0, routes, services)
        )
        await deployment.wait_ready()
        await asyncio.sleep(2 * HEARTBEAT_S)
        backend = backends[1]
        backend.checks_in = False
        gone_at, started_at = await leave(
            record, deployment, backend, has_trouble
        )
        await asyncio.sleep(started_at + REQUESTS_START_S - time.monotonic())
        record.write('all machines are in touch; requests begin')
        client = asyncio.create_task(
            send_requests(record, deployment.nodes[0])
        )
        await asyncio.sleep(started_at + BACKEND_EXITS_S - time.monotonic())
        for task in (client, *tasks):
            task.cancel()
        with suppress(asyncio.CancelledError):
            await client
    late = [at for at in backend.run_times if at - gone_at > DRAIN_S]
    record.write(
        f'{len(late)} requests ran at the back end later than {DRAIN_S:g} s'
        ' after the acknowledgement that it is gone'
    )
    return bool(late)


if __name__ == '__main__':
    run_case(case, Path(__file__).resolve().parent)
