"""In-memory data directory that simulates crashes and disk failures."""

import errno
import random

import trio

from snipelead.voters.exceptions import DataDirInUseError
from snipelead.voters.files import DiskFullError
from snipelead.voters.files import Files

__all__ = ['MemoryDisk', 'MemoryFiles']


class MemoryDisk:
    """Simulated disk whose contents outlive the process that uses it.

    Parameters
    ----------
    seed : int
        Seed of the write times and of the part of a write that survives a
        crash.
    max_write_time_s : float
        Longest duration of a write, in seconds.

    Attributes
    ----------
    contents : dict of str to bytearray
        Synced bytes, by file name.
    free_bytes : int or None
        Bytes that can still be written; None for no limit.
    is_failing : bool
        Whether all writes fail with an I/O error.
    lock_holder : MemoryFiles or None
        Open use of the disk; None when it is not locked.
    write_count : int
        Number of completed writes.
    crash_after_writes : int or None
        Number of writes that still complete before the process crashes in
        the next one; None if it does not.
    on_crash : callable or None
        Called without arguments when the process crashes for this reason.
    """

    def __init__(self, seed=0, max_write_time_s=0.002):
        self.rng = random.Random(seed)
        self.max_write_time_s = max_write_time_s
        self.contents = {}
        self.free_bytes = None
        self.is_failing = False
        self.lock_holder = None
        self.write_count = 0
        self.crash_after_writes = None
        self.on_crash = None

    def crash(self):
        """Crash the process that uses the disk; a pending append is torn."""
        self.crash_after_writes = None
        if self.lock_holder is not None:
            self.lock_holder.crashed = True
            self.lock_holder.keep_partial_append()
        self.lock_holder = None

    def erase(self):
        """Crash the process that uses the disk and remove all contents."""
        self.crash()
        self.contents.clear()
        self.free_bytes = None

    def count_write(self):
        """Count a write; crash the process if it is not to complete."""
        if self.crash_after_writes == 0:
            self.crash()
            if self.on_crash is not None:
                self.on_crash()
        elif self.crash_after_writes is not None:
            self.crash_after_writes -= 1
        self.write_count += 1

    def corrupt_byte(self, name, offset):
        """Corrupt one byte of a file."""
        self.contents[name][offset] ^= 0xFF

    def last_file(self, prefix):
        """Return the last file name with a prefix in sort order."""
        return max(n for n in self.contents if n.startswith(prefix))


class MemoryFiles(Files):
    """Use of a :class:`MemoryDisk` by one process."""

    def __init__(self, disk):
        self.disk = disk
        self.crashed = False
        self.pending_append = None

    async def open(self):
        """Lock the disk and return its file names."""
        if self.disk.lock_holder is not None:
            raise DataDirInUseError('another process uses the data directory')
        self.disk.lock_holder = self
        return sorted(self.disk.contents)

    async def close(self):
        """Release the lock."""
        if self.disk.lock_holder is self:
            self.disk.lock_holder = None

    async def read(self, name):
        """Return the bytes of a file."""
        return bytes(self.disk.contents[name])

    async def replace(self, name, data):
        """Create or replace a file atomically."""
        await self._wait_write(len(data))
        self.disk.contents[name] = bytearray(data)

    async def append(self, name, data):
        """Append to a file."""
        self.pending_append = (name, data)
        await self._wait_write(len(data))
        self.pending_append = None
        self.disk.contents[name] += data

    async def truncate(self, name, size):
        """Cut a file to a size in bytes."""
        await self._wait_write(0)
        del self.disk.contents[name][size:]

    async def remove(self, name):
        """Remove a file."""
        await self._wait_write(0)
        del self.disk.contents[name]

    def keep_partial_append(self):
        """Write a random prefix of the pending append, as a crash does."""
        if self.pending_append is None:
            return
        name, data = self.pending_append
        kept_bytes = self.disk.rng.randint(0, len(data))
        self.disk.contents[name] += data[:kept_bytes]

    async def _wait_write(self, size):
        disk = self.disk
        await trio.sleep(disk.rng.uniform(0, disk.max_write_time_s))
        self._check_running()
        if disk.free_bytes is not None and disk.free_bytes < size:
            raise DiskFullError(
                errno.ENOSPC, 'no space left on the simulated disk'
            )
        if disk.is_failing:
            raise OSError(errno.EIO, 'simulated I/O error of the disk')
        if disk.free_bytes is not None:
            disk.free_bytes -= size
        disk.count_write()
        self._check_running()

    def _check_running(self):
        if self.crashed:
            raise OSError(errno.EIO, 'the simulated process was killed')
