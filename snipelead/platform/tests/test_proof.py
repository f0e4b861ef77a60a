from types import SimpleNamespace

from testtools import TestCase
import trio
import trio.testing

from snipelead.callers.tests.fakes import until
from snipelead.emulator.platform import PlatformTarget
from snipelead.nodes.holder import ReleaseHolder
from snipelead.platform.front import PlatformNodeFront
from snipelead.releases.document import Release
from snipelead.releases.document import Service
from snipelead.targets.local import LocalTargets
from snipelead.targets.reports import TargetReport
from snipelead.targets.reports import TargetReports
from snipelead.types import TargetState

RELEASE = Release(
    1, {'stock': Service('stock', health_path='/health')}, {}, {}
)


class ProofTest(TestCase):
    def test_target_that_reports_before_the_release_is_asked_with_it(self):
        async def main():
            target = PlatformTarget('i-1')
            local = LocalTargets('n', 'z', '10.0.0.1:1')
            reports = TargetReports(local, bool, knows_past=False)
            front = PlatformNodeFront(None)
            front.daemon = SimpleNamespace(
                holder=ReleaseHolder(), reports=reports
            )
            report = TargetReport(
                'i-1', 'stock', target.address, 9, TargetState.SERVING, 1, 1
            )
            async with trio.open_nursery() as nursery:
                await nursery.start(target.run)
                reports.take(report)
                nursery.start_soon(front.prove, report)
                await trio.testing.wait_all_tasks_blocked()
                self.assertEqual({}, local.targets)
                front.daemon.holder.swap(RELEASE)
                # No further report is needed.
                await until(lambda: 'i-1' in local.targets)
                nursery.cancel_scope.cancel()

        trio.run(main)
