"""State of one member and the rules that change it.

The tasks of :mod:`snipelead.voters.election`, ``replication``,
``proposals``, ``membership`` and ``joining`` share one :class:`Replica`.
Whoever changes term, vote or log holds :meth:`Replica.exclusive`.
"""

from contextlib import asynccontextmanager
from enum import Enum
import time

import trio

from snipelead.exceptions import InvariantError
from snipelead.logs import log_event
from snipelead.types import LogIndex
from snipelead.voters.events import BECAME_LEADER
from snipelead.voters.events import MEMBERSHIP_CHANGED
from snipelead.voters.events import SNAPSHOT_INSTALLED
from snipelead.voters.events import SNAPSHOT_SAVED
from snipelead.voters.events import STEPPED_DOWN
from snipelead.voters.events import VOTER_FAILED
from snipelead.voters.events import VOTER_OPENED
from snipelead.voters.exceptions import NotThisMemberError
from snipelead.voters.exceptions import StorageWriteError
from snipelead.voters.exceptions import VoterNotRunningError
from snipelead.voters.exceptions import WrongClusterError
from snipelead.voters.leadership import Leadership
from snipelead.voters.log import Log
from snipelead.voters.messages import Entry
from snipelead.voters.signal import Signal
from snipelead.voters.state import State
from snipelead.voters.storage import Identity
from snipelead.voters.storage import SavedState
from snipelead.voters.storage import Vote

__all__ = ['Replica', 'Role', 'read_time_ms']

FIRST_INDEX = LogIndex(1)


class Role(Enum):
    """Part of a member in its current term."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


def read_time_ms():
    """Return the time since the epoch in milliseconds."""
    return time.time_ns() // 1_000_000


class Replica:
    """One member of the cluster.

    Parameters
    ----------
    settings : ControlSettings
        Settings of the control.
    storage : Storage
        Its durable state.
    random : random.Random
        Source of election timeouts.
    clock : callable
        Returns the time since the epoch in milliseconds.

    Attributes
    ----------
    role : Role
        Part in the current term.
    leader : Member or None
        Leader of the current term, once heard of.
    leadership : Leadership or None
        Kept while this member leads.
    log : Log
        Entries held in memory.
    commit_index : LogIndex
        Last entry known to be committed; all up to it are applied.
    configurations : list of tuple of (LogIndex, Configuration)
        Configurations in the log, oldest first; the last one counts.
    news : Signal
        There may be something to send to the other members.
    applied : Signal
        ``commit_index`` grew.
    heard_at : float
        When the leader was heard last, in seconds of the trio clock.
    led_at : float
        When a leader was known last.
    changed : Signal
        Role or leader changed.
    """

    def __init__(self, settings, storage, random, clock=read_time_ms):
        self.settings = settings
        self.storage = storage
        self.random = random
        self.clock = clock
        self.role = Role.FOLLOWER
        self.leader = None
        self.leadership = None
        self.log = Log()
        self.state = State()
        self.commit_index = LogIndex(0)
        self.configurations = []
        self.mutex = trio.Lock()
        self.news = Signal()
        self.applied = Signal()
        self.changed = Signal()
        self.heard_at = -float('inf')
        self.led_at = -float('inf')
        self.deadline = 0.0
        self.is_open = False
        self.failure = None
        self.failed = trio.Event()
        self.on_result = None
        self.on_step_down = None

    # -- start ---------------------------------------------------------

    async def open(self):
        """Read the durable state."""
        self.log = await self.storage.open(self.settings.control_id)
        saved = self.storage.saved
        if saved is not None:
            self._take_state(saved)
        self._note_configurations(self.log.entries)
        self.led_at = trio.current_time()
        self.reset_deadline()
        self.is_open = True
        log_event(
            VOTER_OPENED,
            member=str(self.member),
            term=self.term,
            last_index=self.log.last_index,
        )

    def _take_state(self, saved):
        self.state = State.decode(saved.state)
        self.commit_index = saved.index
        self.configurations = [(saved.index, self.state.configuration)]

    @property
    def member(self):
        """Identity of this member."""
        return self.storage.identity.member

    @property
    def cluster(self):
        """Cluster that this member belongs to, '' before it has one."""
        return self.storage.identity.cluster

    @property
    def term(self):
        """Current term."""
        return self.storage.vote.term

    @property
    def configuration(self):
        """Newest configuration in the log, or None."""
        return self.configurations[-1][1] if self.configurations else None

    @property
    def is_voter(self):
        """Whether this member votes."""
        configuration = self.configuration
        return configuration is not None and self.member in (
            configuration.voters
        )

    # -- failures ------------------------------------------------------

    @asynccontextmanager
    async def exclusive(self):
        """Hold the right to change term, vote and log.

        The block is not cancelled half-way. A failed write or a broken
        invariant stops the member for good.
        """
        async with self.mutex:
            self.check_running()
            with trio.CancelScope(shield=True), self.stopping():
                yield

    def stopping(self):
        """Return a context manager that stops the member on fatal errors."""
        return _Stopping(self)

    def check_running(self):
        """Check that this member takes part.

        Raises
        ------
        VoterNotRunningError
            If it has not started or was closed.
        SnipeleadError
            The error that stopped it.
        """
        if self.failure is not None:
            raise self.failure
        if not self.is_open:
            raise VoterNotRunningError('the voter is not running')

    async def close(self):
        """Release the data folder."""
        self.is_open = False
        await self.storage.close()

    def fail(self, error):
        """Stop this member."""
        if self.failure is None:
            log_event(VOTER_FAILED, code=error.code, error=error.message)
            self.failure = error
            self.failed.set()
            self.step_down()

    # -- roles and terms -----------------------------------------------

    def reset_deadline(self):
        """Start a new randomised election timeout."""
        timings = self.settings.timings
        timeout_ms = self.random.uniform(
            timings.election_min_ms, timings.election_max_ms
        )
        self.deadline = trio.current_time() + timeout_ms / 1_000

    async def adopt_cluster(self, cluster, to):
        """Check that a message is for this member; join its cluster.

        Raises
        ------
        NotThisMemberError, WrongClusterError
            If it is not.
        """
        if to != self.member:
            raise NotThisMemberError(f'this is {self.member}, not {to}')
        if cluster == self.cluster:
            return
        if self.configuration is not None or self.log.last_index:
            raise WrongClusterError(
                f'this member is of cluster {self.cluster}, not {cluster}'
            )
        await self.storage.save_identity(Identity(self.member, cluster))

    async def adopt_term(self, term):
        """Follow in a higher term; nothing happens in the current one.

        Raises
        ------
        InvariantError
            If the term would go back.
        """
        if term == self.term:
            return
        await self.save_vote(Vote(term))
        self.leader = None
        self.step_down()

    async def save_vote(self, vote):
        """Make a term and vote durable.

        Raises
        ------
        InvariantError
            If the term would go back or a vote would change.
        """
        old = self.storage.vote
        changes_vote = (
            vote.term == old.term
            and old.candidate is not None
            and vote.candidate != old.candidate
        )
        if vote.term < old.term or changes_vote:
            raise InvariantError(f'vote {vote} would follow {old}')
        await self.storage.save_vote(vote)

    async def follow(self, term, leader):
        """Accept the leader of a term that is not lower than the own one.

        Raises
        ------
        InvariantError
            If the term has another leader.
        """
        await self.adopt_term(term)
        if self.leader not in (None, leader):
            raise InvariantError(
                f'term {term} has leaders {self.leader} and {leader}'
            )
        if self.leader is None:
            self.leader = leader
            self.role = Role.FOLLOWER
            self.changed.notify()
        self.heard_at = self.led_at = trio.current_time()
        self.reset_deadline()

    def step_down(self):
        """Become a follower."""
        was_leader = self.leadership is not None
        self.role = Role.FOLLOWER
        self.leadership = None
        if self.leader == self.member:
            self.leader = None
        if was_leader:
            self.led_at = trio.current_time()
            log_event(STEPPED_DOWN, term=self.term)
            self.on_step_down()
        self.reset_deadline()
        self.changed.notify()
        self.news.notify()
        self.applied.notify()

    async def lead(self):
        """Become the leader of the current term."""
        if self.leader not in (None, self.member):
            raise InvariantError(f'term {self.term} has leader {self.leader}')
        now = trio.current_time()
        self.role = Role.LEADER
        self.leader = self.member
        first_index = LogIndex(self.log.last_index + 1)
        self.leadership = Leadership(self.term, self.member, first_index, now)
        log_event(BECAME_LEADER, term=self.term, first_index=first_index)
        self.changed.notify()
        await self.append_as_leader((self.make_entry(0),))

    # -- log -----------------------------------------------------------

    def make_entry(self, offset, command=b'', configuration=None):
        """Return the entry ``offset`` places after the end of the log."""
        index = LogIndex(self.log.last_index + 1 + offset)
        return Entry(index, self.term, self.clock(), command, configuration)

    async def append_as_leader(self, entries):
        """Append own entries; the others get them while the disk writes."""
        leadership = self.leadership
        self.log.append(entries)
        self._note_configurations(entries)
        self.news.notify()
        await self.storage.append(entries)
        leadership.synced_index = entries[-1].index
        self.advance_commit()

    async def append_as_follower(self, entries):
        """Append the leader's entries where they differ from the log.

        Raises
        ------
        InvariantError
            If a committed entry would change.
        """
        new = self._skip_known(entries)
        if not new:
            return
        if new[0].index <= self.commit_index:
            raise InvariantError(
                f'committed entry {new[0].index} would be replaced'
            )
        await self.storage.append(new)
        first = new[0].index
        while self.configurations and self.configurations[-1][0] >= first:
            self.configurations.pop()
        self.log.append(new)
        self._note_configurations(new)

    def _skip_known(self, entries):
        for number, entry in enumerate(entries):
            if entry.index <= self.log.base_index:
                continue
            if self.log.term_at(entry.index) != entry.term:
                return entries[number:]
        return ()

    def _note_configurations(self, entries):
        for entry in entries:
            known = self.configurations
            if entry.configuration is None:
                continue
            if known and known[-1][0] >= entry.index:
                continue
            known.append((entry.index, entry.configuration))
            log_event(
                MEMBERSHIP_CHANGED,
                index=entry.index,
                voters=[str(m) for m in entry.configuration.voters],
                learners=[str(m) for m in entry.configuration.learners],
            )

    def advance_commit(self):
        """Commit what a majority has synced; called by the leader."""
        leadership = self.leadership
        if leadership is None:
            return
        index = leadership.majority_index(self.configuration)
        if self.log.term_at(index) == leadership.term:
            self.commit_to(index)

    def commit_to(self, index):
        """Apply entries up to an index.

        Raises
        ------
        InvariantError
            If the index is not in the log.
        """
        if index <= self.commit_index:
            return
        if index > self.log.last_index:
            raise InvariantError(f'entry {index} is not in the log')
        while self.commit_index < index:
            entry = self.log.get(self.commit_index + 1)
            result = self.state.apply(entry)
            self.commit_index = entry.index
            if self.on_result is not None:
                self.on_result(entry, result)
        self.applied.notify()
        self.news.notify()

    # -- snapshots -----------------------------------------------------

    def encode_state(self):
        """Return the state after the last committed entry."""
        index = self.commit_index
        return SavedState(index, self.log.term_at(index), self.state.encode())

    async def install(self, saved):
        """Take over a whole state from the leader.

        Entries after it that may have been acknowledged are kept.
        """
        if saved.index <= self.commit_index:
            return
        if self.log.term_at(saved.index) == saved.term:
            self.commit_to(saved.index)
            return
        log = Log(saved.index, saved.term)
        await self.storage.save_state(saved, log)
        self.log = log
        self._take_state(saved)
        log_event(SNAPSHOT_INSTALLED, index=saved.index)
        self.applied.notify()

    async def compact(self):
        """Save a snapshot and forget most of the entries before it."""
        saved = self.encode_state()
        keep = self.settings.snapshot_entries
        self.log.compact(min(saved.index, self.log.last_index - keep))
        await self.storage.save_state(saved, self.log)
        applied = [c for c in self.configurations if c[0] <= saved.index]
        self.configurations = (
            applied[-1:] + self.configurations[len(applied) :]
        )
        log_event(SNAPSHOT_SAVED, index=saved.index, bytes=len(saved.state))

    async def run_compaction(self):
        """Compact the log whenever enough entries were applied."""
        while True:
            saved = self.storage.saved
            behind = self.commit_index - (saved.index if saved else 0)
            if behind < self.settings.snapshot_entries:
                await self.applied.wait()
                continue
            async with self.exclusive():
                await self.compact()


class _Stopping:
    """Context manager that stops a replica on a fatal error."""

    def __init__(self, replica):
        self.replica = replica

    def __enter__(self):
        return self

    def __exit__(self, kind, error, traceback):
        if isinstance(error, StorageWriteError | InvariantError):
            self.replica.fail(error)
        return False
