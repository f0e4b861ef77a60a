"""Volatile state of a leader during one term."""

from math import inf

from msgspec import Struct
import trio

from snipelead.types import LogIndex
from snipelead.types import Term
from snipelead.voters.messages import Member

__all__ = ['Leadership', 'Progress']

MS_PER_S = 1_000


class Progress(Struct):
    """Replication progress of another member, as known to the leader.

    Parameters
    ----------
    next_index : LogIndex
        Index of the next entry to send.
    match_index : LogIndex
        Last entry known to be synced by the member.
    acked_commit_index : LogIndex
        Newest commit index that the member acknowledged.
    acked_barrier_round : int
        Newest round of the read barrier that a reply confirmed.
    replied_at : float
        Time of the last reply, in seconds of the trio clock.
    """

    next_index: LogIndex
    match_index: LogIndex = LogIndex(0)
    acked_commit_index: LogIndex = LogIndex(0)
    acked_barrier_round: int = 0
    replied_at: float = -inf


class Leadership:
    """State of this member while it leads in one term.

    Parameters
    ----------
    term : Term
        Term in which this member leads.
    member : Member
        This member.
    first_index : LogIndex
        Index of the first entry that the leader appends in the term.
    now : float
        Current time, in seconds of the trio clock.
    start_log_time_ms : int
        Log time in ms when leadership began: the newest one in the log.

    Attributes
    ----------
    started_at : float
        Time when leadership began, in seconds of the trio clock.
    synced_index : LogIndex
        Last entry synced to the leader's own disk.
    write_started_at : float
        Time when the log write in progress began, in seconds of the trio
        clock; infinite if there is none.
    barrier_round : int
        Newest round of the read barrier.
    transferring : bool
        Whether leadership is being transferred, so that new commands are
        refused.
    progress : dict of Member to Progress
        Replication progress of the other members.
    join_requests : dict of ControlId to Member
        Members that asked to join.
    """

    def __init__(self, term, member, first_index, now, start_log_time_ms=0):
        self.term = Term(term)
        self.member = member
        self.first_index = first_index
        self.synced_index = LogIndex(first_index - 1)
        self.started_at = now
        self.start_log_time_ms = start_log_time_ms
        self.write_started_at = inf
        self.barrier_round = 0
        self.transferring = False
        self.progress: dict[Member, Progress] = {}
        self.join_requests: dict[str, Member] = {}

    def log_time_ms(self, now):
        """Return the log time in milliseconds.

        It advances by the time for which this member has been leader. The
        wall clock is not used, since a wrong one could expire claims too
        early; time without a leader does not count.
        """
        return self.start_log_time_ms + int((now - self.started_at) * MS_PER_S)

    def progress_of(self, member):
        """Return the progress of a member, created on first use."""
        if member not in self.progress:
            # A new member counts as if it had just replied, so that it is not
            # taken for silent at once.
            self.progress[member] = Progress(
                self.first_index, replied_at=trio.current_time()
            )
        return self.progress[member]

    def retain_members(self, members):
        """Discard the progress of all other members."""
        for member in self.progress.keys() - set(members):
            del self.progress[member]

    def majority_index(self, configuration):
        """Return the newest index that a majority of the voters has synced."""
        return self._majority_value(
            configuration, self.synced_index, lambda p: p.match_index
        )

    def majority_barrier_round(self, configuration):
        """Return the newest barrier round that a majority has confirmed."""
        return self._majority_value(
            configuration, self.barrier_round, lambda p: p.acked_barrier_round
        )

    def has_majority_contact(self, configuration, contact_timeout_s):
        """Return whether a majority of the voters replied within a timeout."""
        replied_at = self._majority_value(
            configuration, inf, lambda p: p.replied_at
        )
        return trio.current_time() - replied_at <= contact_timeout_s

    def _majority_value(self, configuration, own, value_of):
        values = sorted(
            (
                own if m == self.member else value_of(self.progress_of(m))
                for m in configuration.voters
            ),
            reverse=True,
        )
        return values[configuration.majority - 1]
