import os
from pathlib import Path
import signal
import tempfile

from testtools import TestCase
import trio

from snipelead.daemons.reloading import watch_settings
from snipelead.settings.exceptions import SettingsError

TIMEOUT_S = 20.0


class FakeDaemon:
    def __init__(self):
        self.settings = []

    def reload(self, settings):
        self.settings.append(settings)


class ReloadingTest(TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / 'settings'
        self.path.write_text('first')
        self.daemon = FakeDaemon()

    def load(self):
        text = self.path.read_text()
        if text == 'broken':
            raise SettingsError('not settings')
        return text

    def run_watched(self, test):
        async def main():
            with trio.fail_after(TIMEOUT_S):
                # A process started by nohup ignores the signal at first.
                before = signal.getsignal(signal.SIGHUP)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(
                        watch_settings, self.daemon, self.load, self.path
                    )
                    # The signal must not come before its receiver is there.
                    while signal.getsignal(signal.SIGHUP) is before:
                        await trio.sleep(0.001)
                    await test()
                    nursery.cancel_scope.cancel()

        trio.run(main)

    async def wait_settings(self, expected, times=1):
        while self.daemon.settings.count(expected) < times:
            await trio.sleep(0.001)

    def test_change_since_the_start_is_taken(self):
        async def test():
            await self.wait_settings('first')

        self.run_watched(test)

    def test_signal_reads_the_file_again(self):
        async def test():
            await self.wait_settings('first')
            os.kill(os.getpid(), signal.SIGHUP)
            # A signal that is not taken would end the process of the tests.
            await self.wait_settings('first', times=2)

        self.run_watched(test)

    def test_change_without_a_signal_is_noticed(self):
        async def test():
            await trio.sleep(0)
            self.path.write_text('second one')
            await self.wait_settings('second one')

        self.run_watched(test)

    def test_broken_file_keeps_the_former_settings(self):
        async def test():
            self.path.write_text('broken')
            os.kill(os.getpid(), signal.SIGHUP)
            await trio.sleep(0)
            self.path.write_text('mended')
            await self.wait_settings('mended')
            self.assertNotIn('broken', self.daemon.settings)

        self.run_watched(test)
