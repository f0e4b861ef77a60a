"""Durable state of a member, kept in its data directory."""

import secrets

import msgspec
from msgspec import Struct
import trio

from snipelead.logs import log_event
from snipelead.types import LogIndex
from snipelead.types import Term
from snipelead.voters.events import DISK_FULL
from snipelead.voters.events import DISK_HAS_ROOM
from snipelead.voters.events import TORN_TAIL_CUT
from snipelead.voters.exceptions import CorruptStorageError
from snipelead.voters.exceptions import StorageWriteError
from snipelead.voters.exceptions import WrongDataDirError
from snipelead.voters.files import DiskFullError
from snipelead.voters.frames import pack_frame
from snipelead.voters.frames import unpack_frame
from snipelead.voters.frames import unpack_frames
from snipelead.voters.log import Log
from snipelead.voters.messages import Entry
from snipelead.voters.messages import Member

__all__ = ['Identity', 'Published', 'Snapshot', 'Storage', 'Vote']

IDENTITY_NAME = 'identity'
VOTE_NAME = 'vote'
PUBLISHED_NAME = 'published'
SNAPSHOT_PREFIX = 'snapshot-'
LOG_PREFIX = 'log-'
EPOCH_BYTES = 8
# Time between two attempts to write to a full disk; well below the time within
# which an operator's order has to be answered.
DISK_FULL_RETRY_S = 0.1

_encode = msgspec.msgpack.encode


class Identity(Struct, frozen=True):
    """Owner of a data directory.

    Parameters
    ----------
    member : Member
        Member that the directory belongs to.
    cluster : str
        Id of the cluster; '' until the member has adopted one.
    """

    member: Member
    cluster: str = ''


class Vote(Struct, frozen=True):
    """Current term and the vote given in it.

    Parameters
    ----------
    term : Term
        Current term.
    candidate : Member or None
        Member that got this member's vote in the term, if any.
    """

    term: Term = Term(0)
    candidate: Member | None = None


class Published(Struct, frozen=True):
    """Commit index when a release was last published to other processes."""

    index: LogIndex = LogIndex(0)


class Snapshot(Struct, frozen=True):
    """Encoded state machine after the entry at ``index`` of ``term``."""

    index: LogIndex
    term: Term
    state: bytes


class _LogStart(Struct, frozen=True):
    """First frame of a log file: the entry before the ones that follow."""

    index: LogIndex
    term: Term


def _is_storage_file(name):
    """Return whether a file belongs to the storage.

    Others are ignored, such as ``lost+found`` at a mount point.
    """
    return name in (
        IDENTITY_NAME,
        VOTE_NAME,
        PUBLISHED_NAME,
    ) or name.startswith((SNAPSHOT_PREFIX, LOG_PREFIX))


class Storage:
    """Durable identity, vote, snapshot and log of one member.

    A write that fails because the disk is full is retried until there is
    room. After any other failure all writes are refused, since it is unknown
    what reached the disk.

    Parameters
    ----------
    files : Files
        Files of the data directory.

    Attributes
    ----------
    identity : Identity
        Owner of the data directory.
    vote : Vote
        Current term and vote.
    published : Published
        Commit index of the newest published release.
    snapshot : Snapshot or None
        Newest snapshot.
    writes_stopped : bool
        Whether all further writes are refused.
    """

    def __init__(self, files):
        self.files = files
        self.identity = None
        self.vote = Vote()
        self.published = Published()
        self.snapshot = None
        self.writes_stopped = False
        self.log_generation = 0

    async def open(self, control_id, zone='', address=''):
        """Read the data directory; an empty one gets a new member identity.

        Parameters
        ----------
        control_id : ControlId
            Control that the directory must belong to.
        zone, address : ZoneName, Address
            Stored in a new identity, see :class:`Member`.

        Returns
        -------
        Log
            The log, without its torn tail.

        Raises
        ------
        DataDirInUseError, CorruptStorageError, WrongDataDirError
            If the directory cannot be used.
        """
        names = [n for n in await self.files.open() if _is_storage_file(n)]
        if not names:
            epoch = secrets.token_hex(EPOCH_BYTES)
            member = Member(control_id, epoch, zone, address)
            await self.save_identity(Identity(member))
            await self._start_new_log(Log())
            return Log()
        self.identity = await self._load(IDENTITY_NAME, names, Identity)
        if self.identity.member.control_id != control_id:
            raise WrongDataDirError(
                'the data directory belongs to control'
                f' {self.identity.member.control_id!r}, not to'
                f' {control_id!r}'
            )
        if VOTE_NAME in names:
            self.vote = await self._load(VOTE_NAME, names, Vote)
        if PUBLISHED_NAME in names:
            self.published = await self._load(PUBLISHED_NAME, names, Published)
        return await self._open_log(names)

    async def _load(self, name, names, record_type):
        if name not in names:
            raise CorruptStorageError(f'file {name} is missing', file=name)
        payload = unpack_frame(await self.files.read(name), name)
        return msgspec.msgpack.decode(payload, type=record_type)

    async def _open_log(self, names):
        snapshots = [n for n in names if n.startswith(SNAPSHOT_PREFIX)]
        if snapshots:
            self.snapshot = await self._load(snapshots[-1], names, Snapshot)
        logs = [n for n in names if n.startswith(LOG_PREFIX)]
        if not logs:
            # A crash during the very first start is the only way to end up
            # without a log.
            if self.snapshot is not None or self.vote.term:
                raise CorruptStorageError(
                    'the log file is missing', file='log'
                )
            await self._start_new_log(Log())
            return Log()
        self.log_generation = int(logs[-1].removeprefix(LOG_PREFIX))
        log = await self._read_log(logs[-1])
        follows_snapshot = self._follows_snapshot(log)
        if not follows_snapshot:
            log = Log(self.snapshot.index, self.snapshot.term)
        if log.last_term > self.vote.term:
            raise CorruptStorageError(
                f'the last log term {log.last_term} is above the saved'
                f' current term {self.vote.term}',
                file=VOTE_NAME,
            )
        if not follows_snapshot:
            # Entries appended to the old file would be read at the next start
            # as if they followed its own.
            await self._start_new_log(log)
        for name in snapshots[:-1] + logs[:-1]:
            await self._write(self.files.remove, name)
        return log

    async def _read_log(self, name):
        data = await self.files.read(name)
        payloads, size = unpack_frames(data, name)
        if not payloads:
            raise CorruptStorageError(
                f'{name} has no valid first frame', file=name
            )
        if size < len(data):
            await self._write(self.files.truncate, name, size)
            log_event(TORN_TAIL_CUT, file=name, cut_bytes=len(data) - size)
        start = msgspec.msgpack.decode(payloads[0], type=_LogStart)
        log = Log(start.index, start.term)
        decode = msgspec.msgpack.Decoder(tuple[Entry, ...]).decode
        for payload in payloads[1:]:
            log.append(decode(payload))
        return log

    def _follows_snapshot(self, log):
        """Return whether the log contains the snapshot's last entry.

        It does not if the snapshot came from the leader and a crash prevented
        the log from being replaced after it.
        """
        snapshot = self.snapshot
        if snapshot is None:
            if log.base_index:
                raise CorruptStorageError('the snapshot file is missing')
            return True
        if log.term_at(snapshot.index) == snapshot.term:
            return True
        if log.base_index > snapshot.index:
            raise CorruptStorageError('the log starts after the snapshot')
        return False

    async def close(self):
        """Stop all writes and release the data directory."""
        self.stop_writes()
        await self.files.close()

    def stop_writes(self):
        """Refuse all further writes, including those waiting for room."""
        self.writes_stopped = True

    async def save_identity(self, identity):
        """Store the identity durably."""
        await self._replace_file(IDENTITY_NAME, identity)
        self.identity = identity

    async def save_vote(self, vote):
        """Store the current term and vote durably."""
        await self._replace_file(VOTE_NAME, vote)
        self.vote = vote

    async def save_published(self, published):
        """Store the commit index of the published release durably."""
        await self._replace_file(PUBLISHED_NAME, published)
        self.published = published

    async def append(self, entries):
        """Append entries to the log file; they override what they overlap."""
        frame = pack_frame(_encode(entries))
        await self._write(self.files.append, self._log_name(), frame)

    async def save_snapshot(self, snapshot, log):
        """Store a snapshot, then rewrite the log to follow it.

        Parameters
        ----------
        snapshot : Snapshot
            The new snapshot.
        log : Log
            Entries to keep; it contains the snapshot's last entry or starts
            right after it.
        """
        old = self.snapshot
        name = self._snapshot_name(snapshot.index)
        await self._replace_file(name, snapshot)
        self.snapshot = snapshot
        await self._start_new_log(log)
        if old is not None and old.index != snapshot.index:
            old_name = self._snapshot_name(old.index)
            await self._write(self.files.remove, old_name)

    async def _start_new_log(self, log):
        old = self._log_name()
        self.log_generation += 1
        start = _LogStart(log.base_index, log.base_term)
        frames = [pack_frame(_encode(start))]
        if log.entries:
            frames.append(pack_frame(_encode(log.entries)))
        data = b''.join(frames)
        await self._write(self.files.replace, self._log_name(), data)
        if self.log_generation > 1:
            await self._write(self.files.remove, old)

    def _log_name(self):
        return f'{LOG_PREFIX}{self.log_generation:012}'

    def _snapshot_name(self, index):
        return f'{SNAPSHOT_PREFIX}{index:020}'

    async def _replace_file(self, name, value):
        data = pack_frame(_encode(value))
        await self._write(self.files.replace, name, data)

    async def _write(self, write, *args):
        """Write; while the disk is full, retry until there is room."""
        if self.writes_stopped:
            raise StorageWriteError(
                'writes to the data directory have been stopped'
            )
        wait_started_at = None
        while not await self._try_write(write, *args):
            if wait_started_at is None:
                wait_started_at = trio.current_time()
                log_event(DISK_FULL, file=args[0])
            try:
                await trio.sleep(DISK_FULL_RETRY_S)
            except trio.Cancelled:
                # The caller was cancelled and the write was not made.
                self.stop_writes()
                raise
            if self.writes_stopped:
                raise StorageWriteError(
                    'writes were stopped while waiting for disk space'
                )
        if wait_started_at is not None:
            waited_s = trio.current_time() - wait_started_at
            log_event(DISK_HAS_ROOM, waited_s=round(waited_s, 3))

    async def _try_write(self, write, *args):
        """Attempt a write; return False if the disk is full."""
        try:
            # Cancelling the caller must not leave the write incomplete.
            with trio.CancelScope(shield=True):
                await write(*args)
        except DiskFullError:
            return False
        except OSError as error:
            self.writes_stopped = True
            raise StorageWriteError(
                f'cannot write to the data directory: {error}'
            ) from error
        return True
