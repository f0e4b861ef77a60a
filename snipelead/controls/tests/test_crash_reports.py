from testtools import TestCase
import trio

from snipelead.controls.tests.mesh import open_mesh
from snipelead.controls.tests.mesh import run_mesh
from snipelead.controls.tests.mesh import wait_until
from snipelead.messages import TargetCrash

FINGERPRINT = b'f' * 16
# Polls in five seconds at the shortest pause between two of them, 0.1 s.
MAX_POLLS = 50


class CrashReportsTest(TestCase):
    def run_node(self, test):
        async def main():
            async with open_mesh() as mesh:
                self.control = await mesh.start_control()
                self.node = await mesh.start_node()
                await wait_until(lambda: self.node.holder.ready)
                await test(mesh)

        run_mesh(main)

    def crash(self):
        crash = TargetCrash('t', 1, 'n0', 1_000)
        self.node.client.ledger.record_crash(FINGERPRINT, crash, '')

    def count_crashes(self):
        return self.control.service.ledger.count_crashes(FINGERPRINT)

    def test_unreachable_control_is_polled_without_pause(self):
        # An unreported crash ended each pause between polls at once.
        async def test(mesh):
            self.control.scope.cancel()
            await trio.sleep(1.0)
            self.crash()
            polls_before = self.node.client.sequence
            await trio.sleep(5.0)
            polls = self.node.client.sequence - polls_before
            self.assertLessEqual(polls, MAX_POLLS)

        self.run_node(test)

    def test_crash_is_reported_at_once(self):
        async def test(mesh):
            await trio.sleep(1.0)
            self.crash()
            await trio.sleep(0.1)
            self.assertEqual(1, self.count_crashes())

        self.run_node(test)

    def test_crash_is_reported_once_the_control_is_back(self):
        async def test(mesh):
            self.control.scope.cancel()
            await trio.sleep(1.0)
            self.crash()
            await trio.sleep(2.0)
            self.control = await mesh.start_control()
            await trio.sleep(3.0)
            self.assertEqual(1, self.count_crashes())

        self.run_node(test)
