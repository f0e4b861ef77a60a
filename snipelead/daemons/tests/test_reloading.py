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
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / 'settings'
        self.path.write_text('first')
        self.daemon = FakeDaemon()

    def load_settings(self):
        text = self.path.read_text()
        if text == 'invalid':
            raise SettingsError('not settings')
        return text

    def run_while_watching(self, test):
        async def main():
            with trio.fail_after(TIMEOUT_S):
                # The initial handler may be SIG_IGN, for example under nohup.
                initial_handler = signal.getsignal(signal.SIGHUP)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(
                        watch_settings,
                        self.daemon,
                        self.load_settings,
                        self.path,
                    )
                    # Wait until the receiver of the signal is installed.
                    while signal.getsignal(signal.SIGHUP) is initial_handler:
                        await trio.sleep(0.001)
                    await test()
                    nursery.cancel_scope.cancel()

        trio.run(main)

    async def wait_for_settings(self, expected, count=1):
        while self.daemon.settings.count(expected) < count:
            await trio.sleep(0.001)

    def test_change_before_watching_is_loaded(self):
        async def test():
            await self.wait_for_settings('first')

        self.run_while_watching(test)

    def test_signal_reloads_the_file(self):
        async def test():
            await self.wait_for_settings('first')
            os.kill(os.getpid(), signal.SIGHUP)
            # Wait, since an unhandled SIGHUP would end the test process.
            await self.wait_for_settings('first', count=2)

        self.run_while_watching(test)

    def test_change_without_a_signal_is_loaded(self):
        async def test():
            await trio.sleep(0)
            self.path.write_text('second one')
            await self.wait_for_settings('second one')

        self.run_while_watching(test)

    def test_invalid_file_keeps_the_previous_settings(self):
        async def test():
            self.path.write_text('invalid')
            os.kill(os.getpid(), signal.SIGHUP)
            await trio.sleep(0)
            self.path.write_text('changed')
            await self.wait_for_settings('changed')
            self.assertNotIn('invalid', self.daemon.settings)

        self.run_while_watching(test)
