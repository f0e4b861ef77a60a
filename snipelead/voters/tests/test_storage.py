import resource
import shutil
import tempfile

from testtools import ExpectedException
from testtools import TestCase
import trio

from snipelead.testing.disk import MemoryDisk
from snipelead.testing.disk import MemoryFiles
from snipelead.testing.simulation import run_simulated
from snipelead.voters.exceptions import CorruptStorageError
from snipelead.voters.exceptions import DataDirInUseError
from snipelead.voters.exceptions import StorageWriteError
from snipelead.voters.exceptions import WrongDataDirError
from snipelead.voters.files import DiskFiles
from snipelead.voters.files import DiskFullError
from snipelead.voters.frames import HEADER_BYTES
from snipelead.voters.log import Log
from snipelead.voters.messages import Entry
from snipelead.voters.storage import Snapshot
from snipelead.voters.storage import Storage
from snipelead.voters.storage import Vote


def make_entries(first, last, term=1):
    return tuple(Entry(i, term, 0, b'x') for i in range(first, last + 1))


class StorageTest(TestCase):
    """Storage written by one process and read by the next one."""

    def setUp(self):
        super().setUp()
        self.disk = MemoryDisk()

    def reopen(self, control_id='a'):
        async def main():
            self.disk.crash()
            storage = Storage(MemoryFiles(self.disk))
            return storage, await storage.open(control_id)

        return run_simulated(main)

    def write(self, *batches):
        async def main():
            self.disk.crash()
            storage = Storage(MemoryFiles(self.disk))
            await storage.open('a')
            await storage.save_vote(Vote(9))
            for batch in batches:
                await storage.append(batch)

        run_simulated(main)
        self.log_name = self.disk.last_file('log-')

    def test_vote_log_and_identity_survive_a_restart(self):
        self.write(make_entries(1, 3), make_entries(4, 4))
        storage, log = self.reopen()
        self.assertEqual(4, log.last_index)
        self.assertEqual(9, storage.vote.term)
        self.assertEqual(storage.identity, self.reopen()[0].identity)

    def test_empty_directory_gets_a_new_member_identity(self):
        self.write()
        old, _ = self.reopen()
        self.disk.erase()
        self.assertNotEqual(old.identity, self.reopen()[0].identity)

    def test_appended_entries_override_those_they_overlap(self):
        self.write(make_entries(1, 5), make_entries(3, 3, term=2))
        _, log = self.reopen()
        self.assertEqual((3, 2), (log.last_index, log.last_term))

    def test_torn_tail_of_any_length_is_truncated(self):
        self.write(make_entries(1, 2))
        valid_size = len(self.disk.contents[self.log_name])
        self.write(make_entries(3, 4))
        data = bytes(self.disk.contents[self.log_name])
        for size in range(valid_size, len(data)):
            self.disk.contents[self.log_name] = bytearray(data[:size])
            _, log = self.reopen()
            self.assertEqual(2, log.last_index)
            self.assertEqual(
                valid_size, len(self.disk.contents[self.log_name])
            )

    def test_damage_before_the_last_frame_is_refused(self):
        self.write(make_entries(1, 2))
        start = len(self.disk.contents[self.log_name])
        self.write(make_entries(3, 4), make_entries(5, 5))
        for offset in range(start, start + HEADER_BYTES + 5):
            self.disk.corrupt_byte(self.log_name, offset)
            with ExpectedException(CorruptStorageError):
                self.reopen()
            self.disk.corrupt_byte(self.log_name, offset)
        self.assertEqual(5, self.reopen()[1].last_index)

    def test_damaged_or_missing_vote_or_identity_is_refused(self):
        self.write(make_entries(1, 2, term=3))
        for name in ('vote', 'identity'):
            self.disk.corrupt_byte(name, 20)
            with ExpectedException(CorruptStorageError):
                self.reopen()
            self.disk.corrupt_byte(name, 20)
            data = self.disk.contents.pop(name)
            with ExpectedException(CorruptStorageError):
                self.reopen()
            self.disk.contents[name] = data

    def test_unrelated_files_in_an_empty_directory_are_ignored(self):
        self.disk.contents['lost+found'] = bytearray()
        self.write(make_entries(1, 1))
        self.assertEqual(1, self.reopen()[1].last_index)

    def test_directory_of_another_control_is_refused(self):
        self.write()
        with ExpectedException(WrongDataDirError):
            self.reopen('b')

    def test_broken_disk_stops_all_further_writes(self):
        async def main():
            storage = Storage(MemoryFiles(self.disk))
            await storage.open('a')
            self.disk.is_failing = True
            with ExpectedException(StorageWriteError):
                await storage.append(make_entries(1, 1))
            self.disk.is_failing = False
            with ExpectedException(StorageWriteError):
                await storage.save_vote(Vote(1))

        run_simulated(main)

    def test_write_waits_while_the_disk_is_full(self):
        async def main():
            storage = Storage(MemoryFiles(self.disk))
            await storage.open('a')
            await storage.save_vote(Vote(1))
            self.disk.free_bytes = 10
            async with trio.open_nursery() as nursery:
                nursery.start_soon(storage.append, make_entries(1, 2))
                await trio.sleep(5)
                self.assertEqual(10, self.disk.free_bytes)
                self.disk.free_bytes = None
            await storage.close()
            self.disk.crash()

        run_simulated(main)
        self.assertEqual(2, self.reopen()[1].last_index)

    def test_write_cancelled_on_a_full_disk_stops_all_further_writes(self):
        async def main():
            storage = Storage(MemoryFiles(self.disk))
            await storage.open('a')
            self.disk.free_bytes = 10
            with trio.move_on_after(1):
                await storage.append(make_entries(1, 2))
            self.disk.free_bytes = None
            with ExpectedException(StorageWriteError):
                await storage.save_vote(Vote(1))
            await storage.close()

        run_simulated(main)
        self.assertEqual(0, self.reopen()[1].last_index)

    def test_crash_between_snapshot_and_log_rewrite_is_recovered(self):
        self.write(make_entries(1, 4))
        old_log = bytes(self.disk.contents[self.log_name])

        async def main():
            self.disk.crash()
            storage = Storage(MemoryFiles(self.disk))
            await storage.open('a')
            await storage.save_snapshot(Snapshot(9, 2, b's'), Log(9, 2))

        run_simulated(main)
        del self.disk.contents[self.disk.last_file('log-')]
        self.disk.contents[self.log_name] = bytearray(old_log)
        storage, log = self.reopen()
        self.assertEqual((9, 2), (log.last_index, log.last_term))
        self.assertEqual(9, storage.snapshot.index)


class DiskFilesTest(TestCase):
    """Storage on files of the operating system."""

    def test_deleted_directory_stops_all_further_writes(self):
        async def main(directory):
            storage = Storage(DiskFiles(directory))
            await storage.open('a')
            await storage.append(make_entries(1, 1))
            shutil.rmtree(directory)
            with ExpectedException(StorageWriteError):
                await storage.append(make_entries(2, 2))
            await storage.close()

        trio.run(main, tempfile.mkdtemp())

    def test_append_cut_short_by_a_full_disk_can_be_retried(self):
        async def main(directory):
            files = DiskFiles(directory)
            await files.open()
            await files.replace('log', b'first ')
            size = len(b'first ')
            # The file size limit leaves room for only a part of the append.
            limits = resource.getrlimit(resource.RLIMIT_FSIZE)
            resource.setrlimit(resource.RLIMIT_FSIZE, (size + 3, limits[1]))
            try:
                for _ in range(2):
                    with ExpectedException(DiskFullError):
                        await files.append('log', b'second')
                with ExpectedException(DiskFullError):
                    await files.replace('vote', b'x' * 100)
            finally:
                resource.setrlimit(resource.RLIMIT_FSIZE, limits)
            await files.append('log', b'second')
            self.assertEqual(b'first second', await files.read('log'))
            await files.close()

        trio.run(main, tempfile.mkdtemp())

    def test_restart_reads_back_state_and_lock_excludes_others(self):
        async def main(directory):
            storage = Storage(DiskFiles(directory))
            await storage.open('a')
            await storage.save_vote(Vote(2))
            await storage.append(make_entries(1, 4))
            with ExpectedException(DataDirInUseError):
                await Storage(DiskFiles(directory)).open('a')
            log = Log(2, 1, make_entries(3, 4))
            await storage.save_snapshot(Snapshot(3, 1, b's'), log)
            await storage.append(make_entries(5, 5))
            await storage.close()
            with ExpectedException(StorageWriteError):
                await storage.append(make_entries(6, 6))
            reopened = Storage(DiskFiles(directory))
            log = await reopened.open('a')
            self.assertEqual((2, 5), (log.base_index, log.last_index))
            self.assertEqual(Vote(2), reopened.vote)
            await reopened.close()

        with tempfile.TemporaryDirectory() as directory:
            trio.run(main, directory)
