"""The weights of a traffic split change, and a part gets the weight 0."""

import asyncio
from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from mesh import Client  # noqa: E402
from mesh import Operator  # noqa: E402
from mesh import route  # noqa: E402
from mesh import run_case  # noqa: E402
from mesh import Target  # noqa: E402
from mesh import TROUBLE  # noqa: E402
from mesh import wait_for  # noqa: E402

HOST = 'shop.example'
SERVICES = ('stable', 'canary', 'stable')
ROUTES = 4
REQUESTS_BEFORE = 30
REQUESTS_AFTER = 50
CONFIG_APPLY_S = 2.0


def split(stable, canary):
    """Return the routes, with the weights of the two services."""
    parts = [
        {'service': 'stable', 'weight': stable},
        {'service': 'canary', 'weight': canary},
    ]
    return [
        route(f'r-{i}', f'/main{i}/', None, **{'traffic-split': parts})
        for i in range(ROUTES)
    ] + [route('r-canary', '/canary/', 'canary')]


async def send_to_all(mesh, client, name, count):
    """Send requests on each split route to each node; return the answers."""
    return [
        await client.send(node, f'/main{i}/{name}{number}')
        for number in range(count)
        for i in range(ROUTES)
        for node in mesh.nodes
    ]


async def main(mesh, record):
    """Return whether the rule held."""
    mesh.start()
    operator = Operator(mesh, HOST, ('stable', 'canary'))
    client = Client(record, HOST)
    targets = [
        Target(node, f'i-{i}', record) for i, node in enumerate(mesh.nodes)
    ]
    for target in targets:
        await target.start()
    if TROUBLE:
        await operator.submit(operator.make(split(90, 10)))
    else:
        await operator.submit(operator.make(split(1, 0)))
    await mesh.wait_ready()

    async def is_served(node, path):
        return (await client.send(node, path))[1].status == 200

    for node in mesh.nodes:
        for path in ('/main0/first', '/canary/first'):
            await wait_for(
                lambda node=node, path=path: is_served(node, path),
                f'{node.name} serves {path}',
            )
    await send_to_all(mesh, client, 'before', REQUESTS_BEFORE)
    if TROUBLE:
        await operator.submit(operator.make(split(1, 0)))
    record.say(f'version {operator.version} acknowledged: weights 1 and 0')
    await asyncio.sleep(CONFIG_APPLY_S + 3.0)
    versions = {await operator.read(c) for c in mesh.controls}
    record.say(f'the controls read back {sorted(map(str, versions))}')
    late = await send_to_all(mesh, client, 'after', REQUESTS_AFTER)
    ran_by_canary = {attempt_id for _, attempt_id in targets[1].runs}
    wrong = [i for i, answer in late if i in ran_by_canary]
    served = [i for i, answer in late if answer.status == 200]
    record.say(
        f'{len(late)} requests later than config-apply after the ack:'
        f' {len(served)} served, {len(wrong)} run by the service with'
        ' weight 0'
    )
    return not wrong


run_case(main, SERVICES, Path(__file__).resolve().parent)
