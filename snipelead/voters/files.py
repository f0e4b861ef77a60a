"""Files of a data folder, behind a small interface.

Randomised runs and failure tests put other implementations in the place
of :class:`DiskFiles`.
"""

from contextlib import contextmanager
import errno
import fcntl
import os
from pathlib import Path

import trio

from snipelead.voters.exceptions import FolderInUseError

__all__ = ['DiskFiles', 'DiskFullError', 'Files']

LOCK_NAME = 'lock'
TEMPORARY_SUFFIX = '.tmp'


# No space, quota used up, limit of the size of a file reached.
_FULL = frozenset((errno.ENOSPC, errno.EDQUOT, errno.EFBIG))


class DiskFullError(OSError):
    """A write found no room; it took no effect and may be tried again."""


class Files:
    """Files of one data folder.

    Every write has reached the disk when its method returns. Failures are
    raised as :class:`OSError`; a :class:`DiskFullError` says that the same
    write may be tried again.
    """

    async def open(self):
        """Create the folder if needed, lock it and list its files.

        Returns
        -------
        list of str
            Names of the files, in order.

        Raises
        ------
        FolderInUseError
            If another process holds the lock.
        """
        raise NotImplementedError

    async def close(self):
        """Release the lock."""
        raise NotImplementedError

    async def read(self, name):
        """Return the bytes of a file."""
        raise NotImplementedError

    async def replace(self, name, data):
        """Create or replace a file atomically."""
        raise NotImplementedError

    async def append(self, name, data):
        """Append to a file."""
        raise NotImplementedError

    async def truncate(self, name, size):
        """Cut a file to a size in bytes."""
        raise NotImplementedError

    async def remove(self, name):
        """Remove a file."""
        raise NotImplementedError


@contextmanager
def _telling_full():
    """Tell errors of a full disk from others."""
    try:
        yield
    except OSError as error:
        if error.errno in _FULL:
            raise DiskFullError(*error.args) from error
        raise


def _write_all(descriptor, data):
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def _sync_folder(folder):
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class DiskFiles(Files):
    """Files on a disk; system calls that wait run in worker threads.

    Parameters
    ----------
    folder : str or Path
        The data folder.

    Attributes
    ----------
    appending : dict of str to int
        Descriptors of files that are appended to.
    torn : dict of str to int
        Sizes of files before an append that is not complete, in bytes.
    """

    def __init__(self, folder):
        self.folder = Path(folder)
        self.lock = None
        self.appending = {}
        self.torn = {}

    async def open(self):
        """Create the folder, lock it and list its files."""
        return await trio.to_thread.run_sync(self._open)

    def _open(self):
        path = self.folder.absolute()
        missing = [p for p in (path, *path.parents) if not p.exists()]
        self.folder.mkdir(parents=True, exist_ok=True)
        for created in missing:
            _sync_folder(created.parent)
        lock = os.open(self.folder / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(lock)
            raise FolderInUseError(
                f'another process uses the data folder {self.folder}',
                folder=self.folder,
            ) from error
        self.lock = lock
        for path in self.folder.glob(f'*{TEMPORARY_SUFFIX}'):
            path.unlink()
        names = sorted(p.name for p in self.folder.iterdir())
        return [name for name in names if name != LOCK_NAME]

    async def close(self):
        """Close all files and release the lock."""
        for descriptor in self.appending.values():
            os.close(descriptor)
        self.appending.clear()
        if self.lock is not None:
            os.close(self.lock)
            self.lock = None

    async def read(self, name):
        """Return the bytes of a file."""
        return await trio.to_thread.run_sync((self.folder / name).read_bytes)

    async def replace(self, name, data):
        """Write beside the file, sync, rename, sync the folder."""
        await trio.to_thread.run_sync(self._replace, name, data)

    @_telling_full()
    def _replace(self, name, data):
        self._forget(name)
        temporary = self.folder / (name + TEMPORARY_SUFFIX)
        descriptor = os.open(
            temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600
        )
        try:
            _write_all(descriptor, data)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.rename(temporary, self.folder / name)
        _sync_folder(self.folder)

    async def append(self, name, data):
        """Append and sync."""
        await trio.to_thread.run_sync(self._append, name, data)

    def _append(self, name, data):
        descriptor = self.appending.get(name)
        if descriptor is None:
            descriptor = os.open(self.folder / name, os.O_WRONLY | os.O_APPEND)
            self.appending[name] = descriptor
        if os.fstat(descriptor).st_nlink == 0:
            # What goes into a deleted file does not outlive the process.
            raise FileNotFoundError(errno.ENOENT, 'the file is gone', name)
        with _telling_full():
            if name in self.torn:
                os.ftruncate(descriptor, self.torn[name])
            else:
                self.torn[name] = os.fstat(descriptor).st_size
            _write_all(descriptor, data)
            os.fdatasync(descriptor)
        del self.torn[name]

    async def truncate(self, name, size):
        """Cut a file and sync it."""
        await trio.to_thread.run_sync(self._truncate, name, size)

    def _truncate(self, name, size):
        descriptor = os.open(self.folder / name, os.O_WRONLY)
        try:
            os.ftruncate(descriptor, size)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    async def remove(self, name):
        """Remove a file and sync the folder."""
        await trio.to_thread.run_sync(self._remove, name)

    def _remove(self, name):
        self._forget(name)
        (self.folder / name).unlink()
        _sync_folder(self.folder)

    def _forget(self, name):
        self.torn.pop(name, None)
        descriptor = self.appending.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)
