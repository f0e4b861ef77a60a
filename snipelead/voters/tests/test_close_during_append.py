import os
import random
from threading import Event
from unittest import mock

from fixtures import TempDir
from testtools import TestCase
import trio

from snipelead.settings.schema import ControlSettings
from snipelead.voters.exceptions import StorageWriteError
from snipelead.voters.files import DiskFiles
from snipelead.voters.messages import Entry
from snipelead.voters.replica import Replica
from snipelead.voters.storage import Storage

# Only a guard against a deadlock.
TIMEOUT_S = 10
# A close that has not returned by then waits for the append.
CLOSE_WAIT_S = 0.5


class CloseDuringAppendTest(TestCase):
    """Closing a replica must not break an append that is under way.

    A message handler that was cancelled still ends its append in a worker
    thread. If the close does not wait for it, the descriptor is closed too
    early, and the replica fails with EBADF.
    """

    def make_replica(self):
        directory = self.useFixture(TempDir()).path
        settings = ControlSettings(
            control_id='a',
            zone='a',
            address='a',
            operator_address='a',
            data_dir=directory,
            peers=(),
        )
        storage = Storage(DiskFiles(directory))
        replica = Replica(settings, storage, random.Random(1))
        replica.on_step_down = lambda: None
        return replica

    async def close_during_append(self, replica):
        syncing = Event()
        may_sync = Event()
        closed = trio.Event()
        sync = os.fdatasync

        def delayed_sync(descriptor):
            syncing.set()
            may_sync.wait(TIMEOUT_S)
            sync(descriptor)

        async def append():
            try:
                async with replica.exclusive():
                    await replica.storage.append((Entry(1, 1, 0, b'x'),))
            except StorageWriteError as error:
                self.error = error

        async def close():
            await replica.close()
            closed.set()

        await replica.open()
        with mock.patch('snipelead.voters.files.os.fdatasync', delayed_sync):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(append)
                self.assertTrue(
                    await trio.to_thread.run_sync(syncing.wait, TIMEOUT_S)
                )
                nursery.start_soon(close)
                with trio.move_on_after(CLOSE_WAIT_S):
                    await closed.wait()
                may_sync.set()

    def test_append_under_way_survives_the_close(self):
        self.error = None
        replica = self.make_replica()
        trio.run(self.close_during_append, replica)
        self.assertIsNone(self.error)
        self.assertIsNone(replica.failure)
