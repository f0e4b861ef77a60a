from types import SimpleNamespace

from testtools import TestCase
import trio
import trio.testing

from snipelead.callers.tests.fakes import wait_until
from snipelead.emulator.platform_target import PlatformTarget
from snipelead.nodes.holder import ReleaseHolder
from snipelead.platform.frontend import PlatformNodeFrontend
from snipelead.releases.document import Release
from snipelead.releases.document import Service
from snipelead.targets.heartbeats import HeartbeatTracker
from snipelead.targets.heartbeats import TargetHeartbeat
from snipelead.targets.local import LocalTargets
from snipelead.targets.status import TargetStatuses
from snipelead.types import TargetState

HEARTBEAT = (
    b'{"address":"10.0.0.1:80","info":{"service":"stock","zone":"z",'
    b'"slots":9,"version":"v1"},"status":{"state":"ready","seq":%d,'
    b'"cold-remaining":"0ms"},"born":1}'
)
RELEASE = Release(
    1, {'stock': Service('stock', health_path='/health')}, {}, {}
)


class SlowCheckFrontend(PlatformNodeFrontend):
    """Frontend whose health checks take a second and find nothing."""

    checks = running = max_running = 0

    async def verify_target(self, heartbeat):
        self.checks += 1
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        await trio.sleep(1.0)
        self.running -= 1


class TargetVerificationTest(TestCase):
    def test_health_checks_do_not_overlap(self):
        """Guards against a check for each heartbeat that arrives."""

        async def main():
            tracker = HeartbeatTracker(
                LocalTargets('n', 'z', '10.0.0.1:1'),
                bool,
                history_complete=False,
            )
            frontend = SlowCheckFrontend(None)
            frontend.daemon = SimpleNamespace(heartbeat_tracker=tracker)
            async with trio.open_nursery() as frontend.nursery:
                for sequence in range(1, 41):
                    response = await frontend.handle_heartbeat(
                        b'PUT',
                        b'/instances/i-1',
                        HEARTBEAT % sequence,
                    )
                    self.assertEqual(200, response.status)
                    await trio.sleep(0.1)
                # The last heartbeat is checked once the check of an earlier
                # one has ended.
                await trio.sleep(3.0)
                self.assertEqual(1, frontend.max_running)
                self.assertLessEqual(frontend.checks, 6)
                response = await frontend.handle_heartbeat(
                    b'DELETE', b'/instances/i-1', b''
                )
                checks = frontend.checks
                await frontend.handle_heartbeat(
                    b'PUT', b'/instances/i-1', HEARTBEAT % 41
                )
                await trio.sleep(3.0)
                self.assertEqual(checks, frontend.checks)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_target_is_checked_once_the_release_arrives(self):
        async def main():
            target = PlatformTarget('i-1')
            local_targets = LocalTargets('n', 'z', '10.0.0.1:1')
            tracker = HeartbeatTracker(
                local_targets, bool, history_complete=False
            )
            frontend = PlatformNodeFrontend(None)
            frontend.daemon = SimpleNamespace(
                holder=ReleaseHolder(),
                heartbeat_tracker=tracker,
                statuses=TargetStatuses(),
            )
            heartbeat = TargetHeartbeat(
                'i-1', 'stock', target.address, 9, TargetState.SERVING, 1, 1
            )
            async with trio.open_nursery() as nursery:
                await nursery.start(target.run)
                tracker.process(heartbeat)
                nursery.start_soon(frontend.verify_target, heartbeat)
                await trio.testing.wait_all_tasks_blocked()
                self.assertEqual({}, local_targets.targets)
                target.health_states_status = False
                frontend.daemon.holder.replace(RELEASE)
                # The health check does not wait for another heartbeat.
                await wait_until(lambda: 'i-1' in local_targets.targets)
                # A limit that other nodes tell still applies.
                statuses = frontend.daemon.statuses
                statuses.adopt_rate_limit('i-1', 1, 2.0)
                self.assertEqual(2.0, statuses.find_rate_limit('i-1', 1))
                nursery.cancel_scope.cancel()

        trio.run(main)
