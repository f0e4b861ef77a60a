"""Log, state machine and configurations of one member."""

from snipelead.exceptions import InvariantError
from snipelead.logs import log_event
from snipelead.types import LogIndex
from snipelead.voters.events import MEMBERSHIP_CHANGED
from snipelead.voters.events import SNAPSHOT_INSTALLED
from snipelead.voters.events import SNAPSHOT_SAVED
from snipelead.voters.exceptions import CorruptStorageError
from snipelead.voters.log import Log
from snipelead.voters.notifier import Notifier
from snipelead.voters.state import State
from snipelead.voters.storage import Published
from snipelead.voters.storage import Snapshot

__all__ = ['FIRST_INDEX', 'Journal']

FIRST_INDEX = LogIndex(1)


class Journal:
    """A member's log together with the state that results from it.

    Parameters
    ----------
    storage : Storage
        Durable storage of the log.
    snapshot_entries : int
        Number of applied entries after which the log is compacted. As many
        are kept, so that a member that lags slightly needs no snapshot.

    Attributes
    ----------
    log : Log
        Entries held in memory.
    state : State
        State after the last committed entry.
    published : Release
        Newest release that may be announced to other processes.
    commit_index : LogIndex
        Last entry known to be committed; entries up to it are applied.
    configurations : list of tuple of (LogIndex, Configuration)
        Configurations in the log, oldest first; the last one is in effect,
        committed or not.
    applied : Notifier
        ``commit_index`` grew, or leadership, followers' progress or join
        requests changed, so that waiting tasks have to check again.
    on_entry_applied : callable
        Called with each applied entry and its result.
    on_members_changed : callable or None
        Called with the members of each configuration added to the log.
    """

    def __init__(self, storage, snapshot_entries):
        self.storage = storage
        self.snapshot_entries = snapshot_entries
        self.log = Log()
        self.state = State()
        self.published = self.state.current
        self.commit_index = LogIndex(0)
        self.configurations = []
        self.applied = Notifier()
        self.on_entry_applied = None
        self.on_members_changed = None

    async def open(self, control_id, zone='', address=''):
        """Load the durable state."""
        self.log = await self.storage.open(control_id, zone, address)
        snapshot = self.storage.snapshot
        if snapshot is not None:
            self._load_state(snapshot)
        self.record_configurations(self.log.entries)
        self._recover_published()

    def _recover_published(self):
        """Apply the entries up to the published index.

        They were committed before the release was published.
        """
        index = self.storage.published.index
        if index > self.log.last_index:
            raise CorruptStorageError(
                f'the log ends at entry {self.log.last_index}, but entries up'
                f' to {index} were published',
                file='log',
            )
        self.commit_to(index)
        self.published = self.state.current

    async def publish(self):
        """Record durably that the newest release is committed.

        Only then may it be announced to others, since this member then knows
        the release even after a restart without a reachable majority. The
        caller makes sure that no write to the log is in progress.
        """
        release = self.state.current
        await self.storage.save_published(Published(self.commit_index))
        self.published = release

    def _load_state(self, snapshot):
        state = State.decode(snapshot.state)
        if (
            snapshot.index < self.commit_index
            or state.current.number < self.state.current.number
        ):
            raise InvariantError(
                f'the state at entry {self.commit_index} would be reverted'
                f' to the snapshot at entry {snapshot.index}'
            )
        self.state = state
        self.commit_index = snapshot.index
        self.configurations = [(snapshot.index, self.state.configuration)]
        self._notify_members(self.state.configuration)

    @property
    def configuration(self):
        """Newest configuration in the log, or None."""
        return self.configurations[-1][1] if self.configurations else None

    @property
    def newest_log_time_ms(self):
        """Newest log time in the log in ms, committed or not."""
        entries = self.log.entries
        return max(
            self.state.log_time_ms, entries[-1].log_time_ms if entries else 0
        )

    async def append_as_follower(self, entries):
        """Append the leader's entries from the first that the log lacks.

        Raises
        ------
        InvariantError
            If a committed entry would be overwritten.
        """
        new = self._skip_present(entries)
        if not new:
            return
        if new[0].index <= self.commit_index:
            raise InvariantError(
                f'committed entry {new[0].index} would be overwritten'
            )
        await self.storage.append(new)
        first = new[0].index
        while self.configurations and self.configurations[-1][0] >= first:
            self.configurations.pop()
        self.log.append(new)
        self.record_configurations(new)

    def _skip_present(self, entries):
        for number, entry in enumerate(entries):
            if entry.index <= self.log.base_index:
                continue
            if self.log.term_at(entry.index) != entry.term:
                return entries[number:]
        return ()

    def record_configurations(self, entries):
        """Record the configurations contained in entries."""
        for entry in entries:
            known = self.configurations
            if entry.configuration is None:
                continue
            if known and known[-1][0] >= entry.index:
                continue
            known.append((entry.index, entry.configuration))
            self._notify_members(entry.configuration)
            log_event(
                MEMBERSHIP_CHANGED,
                index=entry.index,
                voters=[str(m) for m in entry.configuration.voters],
                learners=[str(m) for m in entry.configuration.learners],
            )

    def _notify_members(self, configuration):
        if self.on_members_changed is not None:
            self.on_members_changed(configuration.members)

    def commit_to(self, index):
        """Mark entries up to an index as committed and apply them.

        Raises
        ------
        InvariantError
            If the index is not in the log.
        """
        if index <= self.commit_index:
            return
        if index > self.log.last_index:
            raise InvariantError(
                f'entry {index} cannot be committed: it is not in the log'
            )
        while self.commit_index < index:
            entry = self.log.get(self.commit_index + 1)
            result = self.state.apply(entry)
            self.commit_index = entry.index
            if self.on_entry_applied is not None:
                self.on_entry_applied(entry, result)
        self.applied.notify()

    def make_snapshot(self):
        """Return a snapshot of the state after the last committed entry."""
        index = self.commit_index
        return Snapshot(index, self.log.term_at(index), self.state.encode())

    async def install(self, snapshot):
        """Install a snapshot from the leader.

        Log entries after it are kept if they continue it, since the leader
        may count on this member having acknowledged them.
        """
        if snapshot.index <= self.commit_index:
            return
        if self.log.term_at(snapshot.index) == snapshot.term:
            self.commit_to(snapshot.index)
            return
        log = Log(snapshot.index, snapshot.term)
        await self.storage.save_snapshot(snapshot, log)
        self.log = log
        self._load_state(snapshot)
        log_event(SNAPSHOT_INSTALLED, index=snapshot.index)
        self.applied.notify()

    async def compact(self):
        """Save a snapshot and drop all but the newest entries before it."""
        snapshot = self.make_snapshot()
        keep = self.snapshot_entries
        self.log.compact(min(snapshot.index, self.log.last_index - keep))
        await self.storage.save_snapshot(snapshot, self.log)
        applied = [c for c in self.configurations if c[0] <= snapshot.index]
        self.configurations = (
            applied[-1:] + self.configurations[len(applied) :]
        )
        log_event(
            SNAPSHOT_SAVED, index=snapshot.index, bytes=len(snapshot.state)
        )
