"""Messages among voters, and entries of the replicated log."""

import msgspec
from msgspec import Struct

from snipelead.exceptions import ErrorInfo
from snipelead.messages import ClaimRequest
from snipelead.messages import register_reply
from snipelead.messages import SettleRequest
from snipelead.releases.delta import Delta
from snipelead.releases.document import Held
from snipelead.releases.note import ReleaseNote
from snipelead.types import Address
from snipelead.types import ControlId
from snipelead.types import LogIndex
from snipelead.types import ReleaseNumber
from snipelead.types import Term
from snipelead.types import ZoneName

__all__ = [
    'AppendReply',
    'AppendRequest',
    'BarrierReply',
    'BarrierRequest',
    'Claim',
    'Command',
    'Configuration',
    'Entry',
    'InstallReply',
    'InstallRequest',
    'JoinReply',
    'JoinRequest',
    'LeadReply',
    'LeadRequest',
    'Member',
    'ProbeReply',
    'ProbeRequest',
    'ProposeReply',
    'ProposeRequest',
    'ProposeResult',
    'Replace',
    'Settle',
    'Submit',
    'VoteReply',
    'VoteRequest',
    'decode_command',
    'encode_command',
]


class Member(Struct, frozen=True, array_like=True, order=True):
    """Identity of a voter's data folder.

    Parameters
    ----------
    control_id : ControlId
        The control, which outlives its disk.
    epoch : str
        Drawn at random when the data folder was empty; a control that
        lost its disk is another member.
    zone : ZoneName
        Availability zone of the control; '' when the settings of all
        processes tell it.
    address : Address
        Where the control answers; '' when the settings of all processes
        tell it.
    """

    control_id: ControlId
    epoch: str
    zone: ZoneName = ZoneName('')
    address: Address = Address('')

    def __str__(self):
        return f'{self.control_id}#{self.epoch}'


class Configuration(Struct, frozen=True, array_like=True):
    """Members of the cluster.

    Parameters
    ----------
    voters : tuple of Member
        Members that vote and are counted.
    learners : tuple of Member
        Members that receive entries only.
    """

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()

    @property
    def majority(self):
        """Number of voters that decides."""
        return len(self.voters) // 2 + 1

    @property
    def members(self):
        """Voters and learners."""
        return self.voters + self.learners

    def find_voter(self, control_id):
        """Return the voting member of a control, or None."""
        found = (m for m in self.voters if m.control_id == control_id)
        return next(found, None)

    def find_newest(self, control_id):
        """Return the learner of a control, else its voter, else None."""
        found = (m for m in self.learners if m.control_id == control_id)
        return next(found, None) or self.find_voter(control_id)


class Submit(Struct, frozen=True, tag=1, array_like=True):
    """Command that decides the outcome of a release note."""

    note: ReleaseNote


class Claim(Struct, frozen=True, tag=2, array_like=True):
    """Command that claims a request."""

    request: ClaimRequest


class Settle(Struct, frozen=True, tag=3, array_like=True):
    """Command that records the end of a claimed request."""

    request: SettleRequest


class Replace(Struct, frozen=True, tag=4, array_like=True):
    """Command that replaces the whole release by another one.

    Parameters
    ----------
    base : ReleaseNumber
        Release that must be the current one.
    held : Held
        Release that takes its place.
    delta : Delta or None
        Leads there; None when the proposer knows that the base is no
        longer current, so that only an earlier acceptance can be confirmed.
    """

    base: ReleaseNumber
    held: Held
    delta: Delta | None = None


Command = Submit | Claim | Settle | Replace

encode_command = msgspec.msgpack.Encoder().encode
decode_command = msgspec.msgpack.Decoder(Command).decode


class Entry(Struct, frozen=True, omit_defaults=True, array_like=True):
    """Entry of the log.

    Parameters
    ----------
    index : LogIndex
        Position, from 1.
    term : Term
        Term of the leader that appended it.
    log_time_ms : int
        Log time when the leader appended it: time that leaders have led.
    command : bytes
        Encoded :data:`Command`; empty for an entry without effect.
    configuration : Configuration or None
        Set when the entry changes the membership.
    """

    index: LogIndex
    term: Term
    log_time_ms: int
    command: bytes = b''
    configuration: Configuration | None = None


class VoteRequest(Struct, frozen=True, array_like=True):
    """Asks for a vote, or with ``pre_vote`` whether it would be given."""

    cluster: str
    recipient: Member
    term: Term
    candidate: Member
    last_index: LogIndex
    last_term: Term
    pre_vote: bool


class VoteReply(Struct, frozen=True, array_like=True):
    """Answer to a request for a vote.

    ``replaced`` tells the candidate that a committed configuration holds
    another member of its control instead of it.
    """

    term: Term
    member: Member
    granted: bool
    replaced: bool = False


class AppendRequest(Struct, frozen=True, array_like=True):
    """Entries from the leader; without entries a heartbeat.

    ``round`` is the newest round of the leader's read barrier that the
    answer confirms.
    """

    cluster: str
    recipient: Member
    term: Term
    leader: Member
    previous_index: LogIndex
    previous_term: Term
    entries: tuple[Entry, ...]
    commit_index: LogIndex
    barrier_round: int


class AppendReply(Struct, frozen=True, array_like=True):
    """Answer to entries.

    ``match_index`` is the last index of the request that is now synced when
    ``success``, else the index from which the leader should try next.
    """

    term: Term
    member: Member
    success: bool
    match_index: LogIndex


class InstallRequest(Struct, frozen=True, array_like=True):
    """Whole state for a member that lacks compacted entries."""

    cluster: str
    recipient: Member
    term: Term
    leader: Member
    last_index: LogIndex
    last_term: Term
    state: bytes
    barrier_round: int


class InstallReply(Struct, frozen=True, array_like=True):
    """Answer to a whole state."""

    term: Term
    member: Member
    match_index: LogIndex


class ProbeRequest(Struct, frozen=True):
    """Asks a voter what its data folder holds."""


class ProbeReply(Struct, frozen=True, omit_defaults=True):
    """What a data folder holds; no configuration means an empty log.

    ``index`` is the entry that brought the configuration.
    """

    member: Member
    term: Term
    cluster: str = ''
    configuration: Configuration | None = None
    index: LogIndex = LogIndex(0)


class JoinRequest(Struct, frozen=True):
    """Asks the leader to take a new member in."""

    member: Member


class JoinReply(Struct, frozen=True):
    """The leader will take the member in."""


class LeadRequest(Struct, frozen=True, array_like=True):
    """The leader of a term asks a voter to take its place."""

    cluster: str
    recipient: Member
    term: Term


class LeadReply(Struct, frozen=True):
    """Whether the voter leads now."""

    leads: bool


class ProposeRequest(Struct, frozen=True, array_like=True):
    """Commands for the leader, which must not pass them on."""

    commands: tuple[bytes, ...]


class ProposeResult(Struct, frozen=True, omit_defaults=True, array_like=True):
    """Encoded reply of the state machine to one command, or an error."""

    reply: bytes = b''
    error: ErrorInfo | None = None


class ProposeReply(Struct, frozen=True, array_like=True):
    """Results in the order of the commands."""

    results: tuple[ProposeResult, ...]


class BarrierRequest(Struct, frozen=True):
    """Asks the leader for an index that proves a follower current."""


class BarrierReply(Struct, frozen=True):
    """All that was accepted before the request is at or below ``index``."""

    index: LogIndex


register_reply(VoteRequest, VoteReply)
register_reply(AppendRequest, AppendReply)
register_reply(InstallRequest, InstallReply)
register_reply(ProbeRequest, ProbeReply)
register_reply(JoinRequest, JoinReply)
register_reply(LeadRequest, LeadReply)
register_reply(ProposeRequest, ProposeReply)
register_reply(BarrierRequest, BarrierReply)
