"""State of one member and the rules for changing it.

The tasks of :mod:`snipelead.voters.election`, ``replication``,
``proposals``, ``membership`` and ``joining`` share one :class:`Replica`.
Code that changes the term, the vote or the log must run in
:meth:`Replica.exclusive`.
"""

from contextlib import asynccontextmanager
from contextlib import contextmanager
from enum import Enum
from math import inf

import trio

from snipelead.exceptions import InvariantError
from snipelead.logs import log_event
from snipelead.types import LogIndex
from snipelead.types import MembershipSource
from snipelead.voters.events import BECAME_LEADER
from snipelead.voters.events import STEPPED_DOWN
from snipelead.voters.events import VOTER_FAILED
from snipelead.voters.events import VOTER_OPENED
from snipelead.voters.exceptions import StorageWriteError
from snipelead.voters.exceptions import VoterNotRunningError
from snipelead.voters.exceptions import WrongClusterError
from snipelead.voters.exceptions import WrongMemberError
from snipelead.voters.journal import Journal
from snipelead.voters.leadership import Leadership
from snipelead.voters.leadership import MS_PER_S
from snipelead.voters.messages import Entry
from snipelead.voters.notifier import Notifier
from snipelead.voters.storage import Identity
from snipelead.voters.storage import Vote

__all__ = ['Replica', 'Role']

# A member that has just started campaigns earlier than usual: if there is a
# leader, the pre-vote fails; if there is none, all members have just started.
FIRST_ELECTION_TIMEOUT_RATIO = 0.2


class Role(Enum):
    """Raft role of a member in its current term."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class Replica:
    """One member of the cluster.

    Parameters
    ----------
    settings : ControlSettings
        Settings of the control.
    storage : Storage
        Durable state of the member.
    random : random.Random
        Random number generator for election timeouts.

    Attributes
    ----------
    role : Role
        Role in the current term.
    leader : Member or None
        Leader of the current term, if known.
    leadership : Leadership or None
        Leader state; None while this member does not lead.
    last_known_leader : tuple of (Term, Member or None)
        Last known leader and its term, kept after it is no longer followed,
        to detect a second leader in one term.
    journal : Journal
        Log, state machine and configurations.
    send_needed : Notifier
        There may be something to send to other members.
    leadership_changed : Notifier
        The role or the known leader changed.
    leader_contact_at : float
        Time of the last message from a leader, in seconds of the trio clock.
    leader_known_at : float
        Last time when a leader was known, this member included, in seconds
        of the trio clock.
    election_deadline : float
        Time when a follower starts an election, in seconds of the trio
        clock.
    is_open : bool
        Whether the data directory is open.
    failure : SnipeleadError or None
        Error that stopped this member.
    failed : trio.Event
        Set when ``failure`` is.
    on_step_down : callable
        Called without arguments when leadership ends.
    """

    def __init__(self, settings, storage, random):
        self.settings = settings
        self.storage = storage
        self.random = random
        self.role = Role.FOLLOWER
        self.leader = None
        self.leadership = None
        self.last_known_leader = (0, None)
        self.journal = Journal(storage, settings.snapshot_entries)
        self.mutex = trio.Lock()
        self.send_needed = Notifier()
        self.leadership_changed = Notifier()
        self.leader_contact_at = -inf
        self.leader_known_at = -inf
        self.election_deadline = 0.0
        self.is_open = False
        self.failure = None
        self.failed = trio.Event()
        self.on_step_down = None

    # -- start ---------------------------------------------------------

    async def open(self):
        """Load the durable state."""
        settings = self.settings
        if settings.membership is MembershipSource.LEARNED:
            location = (settings.zone, settings.address)
        else:
            location = ('', '')
        await self.journal.open(settings.control_id, *location)
        self.leader_known_at = trio.current_time()
        self.reset_election_deadline(FIRST_ELECTION_TIMEOUT_RATIO)
        self.is_open = True
        log_event(
            VOTER_OPENED,
            member=str(self.member),
            term=self.term,
            last_index=self.journal.log.last_index,
        )

    @property
    def member(self):
        """Identity of this member."""
        return self.storage.identity.member

    @property
    def cluster(self):
        """Id of the cluster that this member belongs to, or ''."""
        return self.storage.identity.cluster

    @property
    def term(self):
        """Current term."""
        return self.storage.vote.term

    @property
    def heartbeat_s(self):
        """Heartbeat interval in seconds."""
        return self.settings.timings.heartbeat_ms / MS_PER_S

    @property
    def election_min_s(self):
        """Minimum election timeout in seconds."""
        return self.settings.timings.election_min_ms / MS_PER_S

    @property
    def election_max_s(self):
        """Maximum election timeout in seconds."""
        return self.settings.timings.election_max_ms / MS_PER_S

    @property
    def is_voter(self):
        """Whether the newest configuration has this member as a voter."""
        configuration = self.journal.configuration
        return configuration is not None and self.member in (
            configuration.voters
        )

    # -- failures ------------------------------------------------------

    @asynccontextmanager
    async def exclusive(self):
        """Hold the lock that guards term, vote and log.

        The block is shielded from cancellation. A failed write or a violated
        invariant stops the member permanently.
        """
        async with self.mutex:
            self.check_running()
            with trio.CancelScope(shield=True), self.stop_on_failure():
                yield

    @contextmanager
    def stop_on_failure(self):
        """Stop the member if a write fails or an invariant is violated."""
        try:
            yield
        except (StorageWriteError, InvariantError) as error:
            self.fail(error)
            raise

    def check_running(self):
        """Check that this member is running.

        Raises
        ------
        VoterNotRunningError
            If it has not started or was closed.
        SnipeleadError
            If it was stopped; the error that stopped it.
        """
        if self.failure is not None:
            raise self.failure
        if not self.is_open:
            raise VoterNotRunningError(
                'the voter has not started or was stopped'
            )

    async def close(self):
        """Close the data directory once a write under way has ended."""
        self.is_open = False
        self.storage.stop_writes()
        # The descriptor of a file that is still written must not be reused.
        with trio.CancelScope(shield=True):
            async with self.mutex:
                await self.storage.close()

    def fail(self, error):
        """Stop this member permanently; only the first error is kept."""
        if self.failure is None:
            log_event(VOTER_FAILED, code=error.code, error=error.message)
            self.failure = error
            self.failed.set()
            self.step_down()

    # -- roles and terms -----------------------------------------------

    def reset_election_deadline(self, timeout_ratio=1.0):
        """Start a new randomised election timeout.

        Parameters
        ----------
        timeout_ratio : float
            Fraction of the regular timeout.
        """
        timings = self.settings.timings
        timeout_ms = self.random.uniform(
            timings.election_min_ms, timings.election_max_ms
        )
        self.election_deadline = (
            trio.current_time() + timeout_ratio * timeout_ms / MS_PER_S
        )

    async def adopt_cluster(self, cluster, recipient):
        """Check the recipient of a message; adopt its cluster if unset.

        Raises
        ------
        WrongMemberError, WrongClusterError
            If it is addressed to another member, or comes from another cluster
            than the one that this member belongs to.
        """
        if recipient != self.member:
            raise WrongMemberError(
                f'this member is {self.member}, not {recipient}'
            )
        if cluster == self.cluster:
            return
        if (
            self.journal.configuration is not None
            or self.journal.log.last_index
        ):
            raise WrongClusterError(
                f'this member belongs to cluster {self.cluster}, not to'
                f' {cluster}'
            )
        await self.storage.save_identity(Identity(self.member, cluster))

    async def adopt_term(self, term):
        """Become a follower in a higher term; the current term is a no-op.

        Raises
        ------
        InvariantError
            If the term would decrease.
        """
        if term == self.term:
            return
        await self.save_vote(Vote(term))
        self.leader = None
        self.step_down()

    async def save_vote(self, vote):
        """Store a term and a vote durably.

        Raises
        ------
        InvariantError
            If the term would decrease or a vote would change.
        """
        old = self.storage.vote
        changes_vote = (
            vote.term == old.term
            and old.candidate is not None
            and vote.candidate != old.candidate
        )
        if vote.term < old.term or changes_vote:
            raise InvariantError(f'vote {vote} cannot replace {old}')
        await self.storage.save_vote(vote)

    async def follow(self, term, leader):
        """Follow the leader of a term that is not below the current one.

        Raises
        ------
        InvariantError
            If the term has another leader.
        """
        await self.adopt_term(term)
        self.check_single_leader(leader)
        if self.leader is None:
            self.leader = leader
            self.role = Role.FOLLOWER
            self.leadership_changed.notify()
        self.leader_contact_at = self.leader_known_at = trio.current_time()
        self.reset_election_deadline()

    def check_single_leader(self, leader):
        """Check that the current term has no other leader.

        Raises
        ------
        InvariantError
            If another one is known.
        """
        term, known = self.last_known_leader
        if term == self.term and known != leader:
            raise InvariantError(
                f'term {term} has leaders {known} and {leader}'
            )
        self.last_known_leader = (self.term, leader)

    def step_down(self):
        """Become a follower, giving up leadership if held."""
        was_leader = self.leadership is not None
        self.role = Role.FOLLOWER
        self.leadership = None
        if self.leader == self.member:
            self.leader = None
        if was_leader:
            self.leader_known_at = trio.current_time()
            log_event(STEPPED_DOWN, term=self.term)
            self.on_step_down()
        self.reset_election_deadline()
        self.leadership_changed.notify()
        self.send_needed.notify()
        self.journal.applied.notify()

    async def become_leader(self):
        """Become the leader of the current term."""
        self.check_single_leader(self.member)
        now = trio.current_time()
        self.role = Role.LEADER
        self.leader = self.member
        first_index = LogIndex(self.journal.log.last_index + 1)
        self.leadership = Leadership(
            self.term,
            self.member,
            first_index,
            now,
            self.journal.newest_log_time_ms,
        )
        log_event(BECAME_LEADER, term=self.term, first_index=first_index)
        self.leadership_changed.notify()
        await self.append_as_leader((self.make_entry(0),))

    # -- log -----------------------------------------------------------

    def make_entry(self, offset, command=b'', configuration=None):
        """Return a new entry, ``offset`` places past the next index."""
        index = LogIndex(self.journal.log.last_index + 1 + offset)
        log_time_ms = self.leadership.log_time_ms(trio.current_time())
        return Entry(index, self.term, log_time_ms, command, configuration)

    async def append_as_leader(self, entries):
        """Append entries as leader.

        They are sent to the other members while the local disk writes them.
        """
        leadership = self.leadership
        self.journal.log.append(entries)
        self.journal.record_configurations(entries)
        self.send_needed.notify()
        leadership.write_started_at = trio.current_time()
        await self.storage.append(entries)
        leadership.write_started_at = inf
        leadership.synced_index = entries[-1].index
        self.advance_commit()

    def advance_commit(self):
        """As leader, commit the entries that a majority has synced.

        Only an entry of the current term is committed by counting; earlier
        entries are committed along with it.
        """
        leadership = self.leadership
        if leadership is None:
            return
        index = leadership.majority_index(self.journal.configuration)
        if self.journal.log.term_at(index) == leadership.term:
            self.journal.commit_to(index)

    async def run_compaction(self):
        """Compact the log whenever enough entries have been applied."""
        while True:
            snapshot = self.storage.snapshot
            behind = self.journal.commit_index - (
                snapshot.index if snapshot else 0
            )
            if behind < self.settings.snapshot_entries:
                await self.journal.applied.wait()
                continue
            async with self.exclusive():
                await self.journal.compact()
