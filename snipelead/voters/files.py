"""Durable file operations in a data directory.

Randomised runs and failure tests substitute other implementations of
:class:`Files` for :class:`DiskFiles`.
"""

from contextlib import contextmanager
import errno
import fcntl
import os
from pathlib import Path

import trio

from snipelead.voters.exceptions import DataDirInUseError

__all__ = ['DiskFiles', 'DiskFullError', 'Files']

LOCK_NAME = 'lock'
TEMPORARY_SUFFIX = '.tmp'


# No space left, disk quota exceeded, file size limit reached.
_DISK_FULL_ERRNOS = frozenset((errno.ENOSPC, errno.EDQUOT, errno.EFBIG))


class DiskFullError(OSError):
    """The disk has no room for a write.

    The write took no effect and may be retried.
    """


class Files:
    """Interface to the files of one data directory.

    Every write is synced to the disk when its method returns. Failures are
    raised as :class:`OSError`; after a :class:`DiskFullError` the same write
    may be retried.
    """

    async def open(self):
        """Create the directory if missing, lock it and list its files.

        Returns
        -------
        list of str
            File names in ascending order.

        Raises
        ------
        DataDirInUseError
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
        """Truncate a file to a size in bytes."""
        raise NotImplementedError

    async def remove(self, name):
        """Remove a file."""
        raise NotImplementedError


@contextmanager
def _translate_disk_full():
    """Raise the errors of a full disk as :class:`DiskFullError`."""
    try:
        yield
    except OSError as error:
        if error.errno in _DISK_FULL_ERRNOS:
            raise DiskFullError(*error.args) from error
        raise


def _write_all(descriptor, data):
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def _sync_directory(directory):
    descriptor = os.open(directory, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class DiskFiles(Files):
    """Files on a disk; blocking system calls run in worker threads.

    Parameters
    ----------
    directory : str or Path
        Path of the data directory.

    Attributes
    ----------
    append_descriptors : dict of str to int
        Open descriptors of append-only files by name.
    incomplete_append_sizes : dict of str to int
        Size in bytes of each file before its last append, while that append
        is incomplete; a retry truncates the file to it first.
    """

    def __init__(self, directory):
        self.directory = Path(directory)
        self.lock = None
        self.append_descriptors = {}
        self.incomplete_append_sizes = {}

    async def open(self):
        """Create the directory if missing, lock it and list its files."""
        return await trio.to_thread.run_sync(self._open)

    def _open(self):
        path = self.directory.absolute()
        missing = [p for p in (path, *path.parents) if not p.exists()]
        self.directory.mkdir(parents=True, exist_ok=True)
        for created in missing:
            _sync_directory(created.parent)
        lock = os.open(
            self.directory / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600
        )
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(lock)
            raise DataDirInUseError(
                f'another process uses the data directory {self.directory}',
                folder=self.directory,
            ) from error
        self.lock = lock
        for path in self.directory.glob(f'*{TEMPORARY_SUFFIX}'):
            path.unlink()
        names = sorted(p.name for p in self.directory.iterdir())
        return [name for name in names if name != LOCK_NAME]

    async def close(self):
        """Close all files and release the lock."""
        for descriptor in self.append_descriptors.values():
            os.close(descriptor)
        self.append_descriptors.clear()
        if self.lock is not None:
            os.close(self.lock)
            self.lock = None

    async def read(self, name):
        """Return the bytes of a file."""
        return await trio.to_thread.run_sync(
            (self.directory / name).read_bytes
        )

    async def replace(self, name, data):
        """Sync a temporary file, rename it, then sync the directory."""
        await trio.to_thread.run_sync(self._replace, name, data)

    @_translate_disk_full()
    def _replace(self, name, data):
        self._discard_append_state(name)
        temporary = self.directory / (name + TEMPORARY_SUFFIX)
        descriptor = os.open(
            temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600
        )
        try:
            _write_all(descriptor, data)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.rename(temporary, self.directory / name)
        _sync_directory(self.directory)

    async def append(self, name, data):
        """Append to a file and sync it."""
        await trio.to_thread.run_sync(self._append, name, data)

    def _append(self, name, data):
        descriptor = self.append_descriptors.get(name)
        if descriptor is None:
            descriptor = os.open(
                self.directory / name, os.O_WRONLY | os.O_APPEND
            )
            self.append_descriptors[name] = descriptor
        if os.fstat(descriptor).st_nlink == 0:
            # Data written to a deleted file is lost when the process ends.
            raise FileNotFoundError(errno.ENOENT, 'the file was deleted', name)
        with _translate_disk_full():
            if name in self.incomplete_append_sizes:
                os.ftruncate(descriptor, self.incomplete_append_sizes[name])
            else:
                self.incomplete_append_sizes[name] = os.fstat(
                    descriptor
                ).st_size
            _write_all(descriptor, data)
            os.fdatasync(descriptor)
        del self.incomplete_append_sizes[name]

    async def truncate(self, name, size):
        """Truncate a file to a size in bytes and sync it."""
        await trio.to_thread.run_sync(self._truncate, name, size)

    def _truncate(self, name, size):
        descriptor = os.open(self.directory / name, os.O_WRONLY)
        try:
            os.ftruncate(descriptor, size)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    async def remove(self, name):
        """Remove a file and sync the directory."""
        await trio.to_thread.run_sync(self._remove, name)

    def _remove(self, name):
        self._discard_append_state(name)
        (self.directory / name).unlink()
        _sync_directory(self.directory)

    def _discard_append_state(self, name):
        self.incomplete_append_sizes.pop(name, None)
        descriptor = self.append_descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)
