"""A version that is bad under load is rolled out."""

import asyncio
from pathlib import Path
import signal
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from testbed import Backend  # noqa: E402
from testbed import BROKEN  # noqa: E402
from testbed import call  # noqa: E402
from testbed import Client  # noqa: E402
from testbed import Fleet  # noqa: E402
from testbed import has_trouble  # noqa: E402
from testbed import HELD  # noqa: E402
from testbed import make_route  # noqa: E402
from testbed import Operator  # noqa: E402
from testbed import run_case  # noqa: E402
from testbed import UNABLE  # noqa: E402

SERVICE = 'orderdesk'
KEY = 'key-of-the-tenant'
RATE_PER_S = 60
WORK_S = 0.25
DURATION_S = 12
# A backend of the bad version is under load if it runs as many requests as
# one of the old version on average; every third answer is a failure then.
LOADED_REQUESTS = 5
FAILURE_PERIOD = 3
OBSERVED_S = 24
# Bounds of the installation.
EXPOSURE_SHARE = 0.1
EXPOSURE_EXTRA = 50
ROLLBACK_S = 5.0
ROLLBACK_ANSWERS = 50
BOUNDS = {
    'strict-revoke': True,
    'revoke': '5000ms',
    'quota-window': '5s',
    'quota-overage': 0.1,
    'quota-extra': 20,
    'exposure-share': EXPOSURE_SHARE,
    'exposure-extra': EXPOSURE_EXTRA,
    'rollback': '5000ms',
    'budget-extra': 220,
}


class NewVersion:
    """Work of a new backend: under load, part of its answers are failures."""

    def __init__(self, backend, failed_at):
        self.backend = backend
        self.failed_at = failed_at
        self.loaded_count = 0

    def __call__(self, path, fields):
        """Return the status and the duration of a request's work."""
        self.loaded_count += self.backend.running >= LOADED_REQUESTS
        if (
            has_trouble()
            and self.backend.running >= LOADED_REQUESTS
            and not self.loaded_count % FAILURE_PERIOD
        ):
            # The answer comes at the end of the work.
            self.failed_at.append(time.monotonic() + WORK_S)
            return 500, WORK_S
        return 200, WORK_S


class Traffic:
    """Sends requests at a steady rate to the nodes in use."""

    def __init__(self, client, nodes):
        self.client = client
        self.nodes = nodes
        self.sent_at = {}
        self.tasks = set()

    async def run(self):
        """Send requests until cancelled."""
        number = 0
        started_at = time.monotonic()
        while True:
            node = self.nodes[number % len(self.nodes)]
            task = asyncio.create_task(self._send(node))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            number += 1
            due_at = started_at + number / RATE_PER_S
            await asyncio.sleep(max(0.0, due_at - time.monotonic()))

    async def _send(self, node):
        sent_at = time.monotonic()
        attempt, *_ = await self.client.send(
            node, '/orders/new', 'POST', Credential=KEY
        )
        self.sent_at[attempt] = sent_at


async def follow(record, operator, traffic, old, new):
    """Ask for the state of the rollout; act on its end as the platform."""
    while True:
        status, _, body = await call(
            operator.addresses[0], 'GET', f'/rollouts/{SERVICE}'
        )
        record.write('state', status, body)
        if b'"completed"' in body:
            # The old backends stop at once, then their nodes get SIGTERM.
            traffic.nodes = [backend.node for backend in new]
            for backend in old:
                await backend.stop()
                backend.node.signal(signal.SIGTERM)
            return
        if b'"rolled_back"' in body:
            return
        await asyncio.sleep(0.3)


def judge(record, traffic, ordered_at, old, new, failed_at):
    """Return whether the rule EXPOSURE was broken."""
    new_runs = {run[1] for backend in new for run in backend.runs}
    all_runs = new_runs | {run[1] for backend in old for run in backend.runs}
    within = {
        attempt
        for attempt, sent_at in traffic.sent_at.items()
        if ordered_at <= sent_at <= ordered_at + DURATION_S
    }
    total, exposed = len(within & all_runs), len(within & new_runs)
    bound = EXPOSURE_SHARE * total + EXPOSURE_EXTRA
    record.write('of', total, 'requests', exposed, 'at the new version;')
    record.write('bound if it is bad', bound, '; failures', len(failed_at))
    late = 0
    if len(failed_at) >= ROLLBACK_ANSWERS:
        limit_at = failed_at[ROLLBACK_ANSWERS - 1] + ROLLBACK_S
        late = sum(
            sent_at > limit_at and attempt in new_runs
            for attempt, sent_at in traffic.sent_at.items()
        )
    record.write('sent later than the bound on a roll-back:', late)
    return bool(failed_at) and (exposed > bound or late > 0)


async def main(record):
    """Roll out a version that fails a part of its requests."""
    with Fleet(record, [SERVICE] * 6, bounds=BOUNDS) as fleet:
        fleet.start()
        operator = Operator(record, fleet.seeds)
        failed_at = []
        old = [
            Backend(record, node, f'old-{n}')
            for n, node in enumerate(fleet.nodes[:3])
        ]
        new = [
            Backend(record, node, f'new-{n}', version='v2')
            for n, node in enumerate(fleet.nodes[3:])
        ]
        for backend in old:
            backend.answer = lambda path, fields: (200, WORK_S)
            await backend.start()
        configuration = operator.make_configuration(
            [make_route('orders', '/orders/', SERVICE, 'unsafe')],
            [SERVICE],
            [{'name': 'shop', 'api-keys': [KEY]}],
        )
        if await operator.put(configuration) != 200:
            return UNABLE
        if not await fleet.wait_ready():
            return UNABLE
        traffic = Traffic(Client(record, 'a'), [b.node for b in old])
        sending = asyncio.create_task(traffic.run())
        await asyncio.sleep(6)
        order = {
            'service': SERVICE,
            'target-version': 'v2',
            'duration': f'{DURATION_S}s',
        }
        ordered_at = time.monotonic()
        if await operator.order('POST', '/rollouts', order) != 200:
            return UNABLE
        for backend in new:
            backend.answer = NewVersion(backend, failed_at)
            await backend.start()
        following = asyncio.create_task(
            follow(record, operator, traffic, old, new)
        )
        await asyncio.sleep(OBSERVED_S)
        sending.cancel()
        following.cancel()
        await asyncio.sleep(2.5)
        if not traffic.sent_at:
            return UNABLE
        is_broken = judge(record, traffic, ordered_at, old, new, failed_at)
        return BROKEN if is_broken else HELD


run_case(Path(__file__).resolve().parent, main)
