"""What a leader keeps for one term."""

from math import inf

from msgspec import Struct
import trio

from snipelead.types import LogIndex
from snipelead.types import Term
from snipelead.voters.messages import Member

__all__ = ['Leadership', 'Progress']

MS_PER_S = 1_000


class Progress(Struct):
    """What the leader knows of another member.

    Parameters
    ----------
    next_index : LogIndex
        Next entry to send.
    match_index : LogIndex
        Last entry known to be synced there.
    acked_commit_index : LogIndex
        Commit index that was acknowledged.
    acked_barrier_round : int
        Newest round that an answer confirmed.
    replied_at : float
        Time of the last answer, in seconds of the trio clock.
    """

    next_index: LogIndex
    match_index: LogIndex = LogIndex(0)
    acked_commit_index: LogIndex = LogIndex(0)
    acked_barrier_round: int = 0
    replied_at: float = -inf


class Leadership:
    """One term as leader.

    Parameters
    ----------
    term : Term
        The term.
    member : Member
        The leader itself.
    first_index : LogIndex
        Index after the last entry when the term began.
    now : float
        Time when it began, in seconds of the trio clock.
    start_log_time_ms : int
        Log time when it began: the newest one in the leader's log.

    Attributes
    ----------
    first_index : LogIndex
        Entry that the leader appended first.
    started_at : float
        Time when the term began, in seconds of the trio clock.
    synced_index : LogIndex
        Last entry on the leader's own disk.
    write_started_at : float
        When the write under way began, in seconds of the trio clock;
        infinite when none is under way.
    barrier_round : int
        Newest round of the read barrier.
    transferring : bool
        Whether new commands are left to the successor.
    progress : dict of Member to Progress
        What is known of the other members.
    join_requests : dict of ControlId to Member
        Members that asked to be taken in.
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

        It goes on by the time that the leader has led. A wrong wall clock
        would expire claims too early, so none is read; the time without a
        leader does not count.
        """
        return self.start_log_time_ms + int((now - self.started_at) * MS_PER_S)

    def progress_of(self, member):
        """Return the progress of a member, made when first asked for."""
        if member not in self.progress:
            # A member gets as long to answer as if it had just done so.
            self.progress[member] = Progress(
                self.first_index, replied_at=trio.current_time()
            )
        return self.progress[member]

    def retain_members(self, members):
        """Forget what is known of members that were removed."""
        for member in self.progress.keys() - set(members):
            del self.progress[member]

    def majority_index(self, configuration):
        """Return the newest index that a majority of the voters synced."""
        return self._majority_value(
            configuration, self.synced_index, lambda p: p.match_index
        )

    def majority_barrier_round(self, configuration):
        """Return the newest round that a majority confirmed."""
        return self._majority_value(
            configuration, self.barrier_round, lambda p: p.acked_barrier_round
        )

    def has_majority_contact(self, configuration, contact_timeout_s):
        """Whether a majority of the voters answered within some seconds."""
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
