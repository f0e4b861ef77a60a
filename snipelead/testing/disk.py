"""In-memory data folder that can crash, fill up and rot."""

import errno
import random

import trio

from snipelead.voters.exceptions import FolderInUseError
from snipelead.voters.files import DiskFullError
from snipelead.voters.files import Files

__all__ = ['MemoryDisk', 'MemoryFiles']


class MemoryDisk:
    """Contents that outlive the process using them.

    Parameters
    ----------
    seed : int
        Seed of write times and of what a crash leaves of a write.
    max_write_s : float
        Longest time of a write in seconds.

    Attributes
    ----------
    contents : dict of str to bytearray
        Synced bytes by file name.
    room : int or None
        Bytes that can still be appended; None for no limit.
    broken : bool
        Whether each write fails.
    user : MemoryFiles or None
        Holder of the lock.
    writes : int
        Number of finished writes.
    """

    def __init__(self, seed=0, max_write_s=0.002):
        self.random = random.Random(seed)
        self.max_write_s = max_write_s
        self.contents = {}
        self.room = None
        self.broken = False
        self.user = None
        self.writes = 0

    def crash(self):
        """End the use by the current process; writes under way tear."""
        if self.user is not None:
            self.user.crashed = True
            self.user.tear()
        self.user = None

    def erase(self):
        """Lose everything."""
        self.crash()
        self.contents.clear()
        self.room = None

    def flip(self, name, offset):
        """Damage one byte."""
        self.contents[name][offset] ^= 0xFF

    def find(self, prefix):
        """Return the newest file name with a prefix."""
        return max(n for n in self.contents if n.startswith(prefix))


class MemoryFiles(Files):
    """Use of a :class:`MemoryDisk` by one process."""

    def __init__(self, disk):
        self.disk = disk
        self.crashed = False
        self.appending = None

    async def open(self):
        """Lock the disk and list its files."""
        if self.disk.user is not None:
            raise FolderInUseError('another process uses the data folder')
        self.disk.user = self
        return sorted(self.disk.contents)

    async def close(self):
        """Release the lock."""
        if self.disk.user is self:
            self.disk.user = None

    async def read(self, name):
        """Return the bytes of a file."""
        return bytes(self.disk.contents[name])

    async def replace(self, name, data):
        """Create or replace a file atomically."""
        await self._wait_write(len(data))
        self.disk.contents[name] = bytearray(data)

    async def append(self, name, data):
        """Append to a file."""
        self.appending = (name, data)
        await self._wait_write(len(data))
        self.appending = None
        self.disk.contents[name] += data

    async def truncate(self, name, size):
        """Cut a file to a size in bytes."""
        await self._wait_write(0)
        del self.disk.contents[name][size:]

    async def remove(self, name):
        """Remove a file."""
        await self._wait_write(0)
        del self.disk.contents[name]

    def tear(self):
        """Leave a random part of the append under way."""
        if self.appending is None:
            return
        name, data = self.appending
        kept = self.disk.random.randint(0, len(data))
        self.disk.contents[name] += data[:kept]

    async def _wait_write(self, size):
        disk = self.disk
        await trio.sleep(disk.random.uniform(0, disk.max_write_s))
        if self.crashed:
            raise OSError(errno.EIO, 'the process was killed')
        if disk.room is not None and disk.room < size:
            raise DiskFullError(errno.ENOSPC, 'no space left on device')
        if disk.broken:
            raise OSError(errno.EIO, 'the disk is broken')
        if disk.room is not None:
            disk.room -= size
        disk.writes += 1
