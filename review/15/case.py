"""A backend leaves before its first check-ins have arrived."""

import asyncio
import json
from pathlib import Path
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from testbed import ACK_LIMIT_S  # noqa: E402
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

SERVICE = 'contracts'
NODES = 4
HEARTBEAT_S = 1.5
# The backend sends this many check-ins before it leaves.
CHECK_INS = 3
# When the first of them arrives; the others follow in their order.
ARRIVAL_S = 5.6
ARRIVAL_STEP_S = 0.1
DRAIN_S = 2.0
OBSERVED_S = 14.0
RATE_PER_S = 40


class LeavingBackend(Backend):
    """Backend that never reports that it drains; its check-ins are late."""

    async def leave(self):
        """Send ``DELETE``; return whether it is acknowledged."""
        self.state = 'leaving'
        status, *_ = await call(
            self.node.report,
            'DELETE',
            f'/instances/{self.backend_id}',
            limit_s=ACK_LIMIT_S,
        )
        self.record.write('DELETE', self.backend_id, status)
        return status == 200

    def make_check_in(self):
        """Return the body of the next check-in."""
        self.sequence += 1
        return json.dumps(
            {
                'address': self.node.app_address,
                'info': {
                    'service': self.service,
                    'version': self.version,
                    'zone': self.node.fields['zone'],
                    'slots': self.slots,
                },
                'status': {
                    'state': 'ready',
                    'seq': self.sequence,
                    'cold-remaining': '0ms',
                },
                'born': self.born,
            }
        ).encode()

    async def _send_check_ins(self):
        """Send check-ins at the usual times; they arrive late, or at once."""
        started_at = time.monotonic()
        check_ins = []
        for _ in range(CHECK_INS):
            check_ins.append((time.monotonic(), self.make_check_in()))
            if not has_trouble():
                await self._deliver(*check_ins.pop())
            await asyncio.sleep(HEARTBEAT_S)
        for number, (sent_at, body) in enumerate(check_ins):
            arrival_at = started_at + ARRIVAL_S + number * ARRIVAL_STEP_S
            await asyncio.sleep(max(0.0, arrival_at - time.monotonic()))
            await self._deliver(sent_at, body)

    async def _deliver(self, sent_at, body):
        status, *_ = await call(
            self.node.report,
            'PUT',
            f'/instances/{self.backend_id}',
            {'Content-Type': 'application/json'},
            body,
        )
        late_s = time.monotonic() - sent_at
        self.record.write(f'check-in {late_s:.1f} s late', status)


async def send_requests(client, nodes, sent_at):
    """Send requests at a steady rate until cancelled."""

    async def send(node):
        now = time.monotonic()
        attempt, *_ = await client.send(node, '/schedules/7')
        sent_at[attempt] = now

    number = 0
    tasks = set()
    while True:
        task = asyncio.create_task(send(nodes[number % len(nodes)]))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        number += 1
        await asyncio.sleep(1 / RATE_PER_S)


async def main(record):
    """Let a backend start and leave while its check-ins are on the way."""
    with Fleet(record, [SERVICE] * NODES) as fleet:
        # The machine of the leaving backend is added later, with the backend.
        added = fleet.nodes.pop()
        fleet.start()
        for number, node in enumerate(fleet.nodes):
            await Backend(record, node, f'backend-{number}').start()
        operator = Operator(record, fleet.seeds)
        configuration = operator.make_configuration(
            [make_route('lookup', '/schedules/', SERVICE)], [SERVICE]
        )
        if await operator.put(configuration) != 200:
            return UNABLE
        if not await fleet.wait_ready():
            return UNABLE
        sent_at = {}
        client = Client(record, 'a')
        sending = asyncio.create_task(
            send_requests(client, fleet.nodes[:], sent_at)
        )
        await asyncio.sleep(4)
        fleet.nodes.append(added)
        added.start()
        if not await fleet.wait_ready([added]):
            return UNABLE
        backend = LeavingBackend(record, added, 'backend-leaving')
        await backend.start()
        await asyncio.sleep(CHECK_INS * HEARTBEAT_S - 1.0)
        acknowledged = await backend.leave()
        acknowledged_at = time.monotonic()
        await asyncio.sleep(OBSERVED_S)
        sending.cancel()
        await backend.stop()
        await asyncio.sleep(2.5)
        late = [
            run_at - acknowledged_at
            for run_at, *_ in backend.runs
            if run_at > acknowledged_at + DRAIN_S
        ]
        record.write('requests', len(sent_at), 'at it', len(backend.runs))
        record.write('later than drain after the ack', len(late))
        if not sent_at or not acknowledged:
            return UNABLE
        return BROKEN if late else HELD


run_case(Path(__file__).resolve().parent, main)
