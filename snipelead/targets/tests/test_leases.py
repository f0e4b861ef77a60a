from testtools import TestCase
import trio
from trio.testing import MockClock

from snipelead.targets.leases import expire_targets
from snipelead.targets.local import LocalTargets
from snipelead.types import TargetState

LEASE_MS = 3_000


class LeaseTest(TestCase):
    def test_only_renewed_targets_remain(self):
        async def scenario():
            local_targets = LocalTargets('n1', 'z1', '127.0.0.1:1')
            for name in ('renewed', 'expired'):
                local_targets.announce(
                    name, 's', '127.0.0.1:2', 1, 1, TargetState.SERVING
                )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(expire_targets, local_targets, LEASE_MS)
                for _ in range(5):
                    await trio.sleep(1)
                    local_targets.renew('renewed')
                nursery.cancel_scope.cancel()
            return set(local_targets.targets)

        remaining = trio.run(scenario, clock=MockClock(autojump_threshold=0))
        self.assertEqual({'renewed'}, remaining)
