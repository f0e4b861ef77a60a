"""Messages between voters, and entries of the replicated log."""

import msgspec
from msgspec import Struct

from snipelead.exceptions import ErrorInfo
from snipelead.messages import ClaimRequest
from snipelead.messages import register_reply
from snipelead.messages import RolloutPhase
from snipelead.messages import RouteCounts
from snipelead.messages import SettleRequest
from snipelead.releases.delta import Delta
from snipelead.releases.document import ReleaseId
from snipelead.releases.note import ReleaseNote
from snipelead.types import Address
from snipelead.types import ControlId
from snipelead.types import LogIndex
from snipelead.types import ReleaseNumber
from snipelead.types import ServiceName
from snipelead.types import Term
from snipelead.types import ZoneName
from snipelead.utils.decoding import limit_nesting

__all__ = [
    'AdvanceRollout',
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
    'StartRollout',
    'Submit',
    'VoteReply',
    'VoteRequest',
    'decode_command',
    'encode_command',
]


class Member(Struct, frozen=True, array_like=True, order=True):
    """Identity of a voter's data directory.

    Parameters
    ----------
    control_id : ControlId
        Control that the member belongs to; it outlives its disk.
    epoch : str
        Drawn at random when the data directory is initialised, so that a
        control that lost its disk becomes another member.
    zone : ZoneName
        Availability zone of the control; '' if it is given in the settings
        of all processes.
    address : Address
        Address of the control; '' if it is given in the settings of all
        processes.
    """

    control_id: ControlId
    epoch: str
    zone: ZoneName = ZoneName('')
    address: Address = Address('')

    def __str__(self):
        return f'{self.control_id}#{self.epoch}'


class Configuration(Struct, frozen=True, array_like=True):
    """Membership of the cluster.

    Parameters
    ----------
    voters : tuple of Member
        Members that vote and count towards the majority.
    learners : tuple of Member
        Members that receive entries but do not vote.
    """

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()

    @property
    def majority(self):
        """Number of voters that form a majority."""
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
    """Command that submits a release note and decides its outcome."""

    note: ReleaseNote


class Claim(Struct, frozen=True, tag=2, array_like=True):
    """Command that claims a request."""

    request: ClaimRequest


class Settle(Struct, frozen=True, tag=3, array_like=True):
    """Command that records the end of a claimed request."""

    request: SettleRequest


class Replace(Struct, frozen=True, tag=4, array_like=True):
    """Command that replaces the current release as a whole.

    Parameters
    ----------
    base : ReleaseNumber
        Release that must be the current one.
    held : ReleaseId
        Number and digest of the release that replaces it.
    delta : Delta or None
        Difference between the two; None if the proposer knows that the base
        is no longer current, so that the command can only confirm an earlier
        acceptance.
    """

    base: ReleaseNumber
    held: ReleaseId
    delta: Delta | None = None


class StartRollout(Struct, frozen=True, tag=5, array_like=True):
    """Command that starts a rollout.

    Parameters
    ----------
    service : ServiceName
        Service whose traffic moves.
    version : str
        Version that the traffic moves to.
    duration_ms : int
        Time in which the rollout has to end, in ms.
    approved : tuple of str
        Other versions in service; used by the first order of a service.
    """

    service: ServiceName
    version: str
    duration_ms: int
    approved: tuple[str, ...] = ()


class AdvanceRollout(Struct, frozen=True, tag=6, array_like=True):
    """Command that records exposure, evidence and phase of a rollout.

    Parameters
    ----------
    service : ServiceName
        Service of the rollout.
    order : LogIndex
        Order that the decision is about.
    phase : RolloutPhase
        Phase from now on.
    reserved : int
        Requests to the new version that may be granted in total.
    total : int
        Requests to the service as far as reported.
    counts : tuple of RouteCounts
        Responses as far as reported; empty leaves them unchanged.
    """

    service: ServiceName
    order: LogIndex
    phase: RolloutPhase
    reserved: int
    total: int
    counts: tuple[RouteCounts, ...] = ()


Command = Submit | Claim | Settle | Replace | StartRollout | AdvanceRollout

encode_command = msgspec.msgpack.Encoder().encode
decode_command = limit_nesting(msgspec.msgpack.Decoder(Command).decode)


class Entry(Struct, frozen=True, omit_defaults=True, array_like=True):
    """Entry of the log.

    Parameters
    ----------
    index : LogIndex
        Position in the log, starting at 1.
    term : Term
        Term of the leader that appended it.
    log_time_ms : int
        Log time in ms when the leader appended the entry: the total time for
        which there has been a leader.
    command : bytes
        Encoded :data:`Command`; empty if the entry has none.
    configuration : Configuration or None
        Set if the entry changes the membership.
    """

    index: LogIndex
    term: Term
    log_time_ms: int
    command: bytes = b''
    configuration: Configuration | None = None


class VoteRequest(Struct, frozen=True, array_like=True):
    """Request for a vote.

    With ``pre_vote`` it only asks whether the vote would be granted; the
    term and the vote of the receiver do not change.
    """

    cluster: str
    recipient: Member
    term: Term
    candidate: Member
    last_index: LogIndex
    last_term: Term
    pre_vote: bool


class VoteReply(Struct, frozen=True, array_like=True):
    """Reply to a request for a vote.

    ``replaced`` tells the candidate that a committed configuration contains
    another member of its control in its place.
    """

    term: Term
    member: Member
    granted: bool
    replaced: bool = False


class AppendRequest(Struct, frozen=True, array_like=True):
    """Entries from the leader; a heartbeat if there are none.

    ``barrier_round`` is the newest round of the leader's read barrier; the
    reply confirms it.
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
    """Reply to entries.

    If ``success``, ``match_index`` is the last index of the request, which
    is now synced. Otherwise it is the last index at which the logs may agree,
    so that the leader continues after it.
    """

    term: Term
    member: Member
    success: bool
    match_index: LogIndex


class InstallRequest(Struct, frozen=True, array_like=True):
    """Snapshot for a member that lacks entries compacted by the leader."""

    cluster: str
    recipient: Member
    term: Term
    leader: Member
    last_index: LogIndex
    last_term: Term
    state: bytes
    barrier_round: int


class InstallReply(Struct, frozen=True, array_like=True):
    """Reply to a snapshot."""

    term: Term
    member: Member
    match_index: LogIndex


class ProbeRequest(Struct, frozen=True):
    """Request for the contents of a voter's data directory."""


class ProbeReply(Struct, frozen=True, omit_defaults=True):
    """Summary of a data directory; no configuration means an empty log.

    ``index`` is the index of the entry that contains the configuration.
    """

    member: Member
    term: Term
    cluster: str = ''
    configuration: Configuration | None = None
    index: LogIndex = LogIndex(0)


class JoinRequest(Struct, frozen=True):
    """Request to the leader to add a new member."""

    member: Member


class JoinReply(Struct, frozen=True):
    """Reply of the leader to a request to join."""


class LeadRequest(Struct, frozen=True, array_like=True):
    """Request of a term's leader that a voter take over leadership."""

    cluster: str
    recipient: Member
    term: Term


class LeadReply(Struct, frozen=True):
    """Reply that tells whether the voter is now the leader."""

    leads: bool


class ProposeRequest(Struct, frozen=True, array_like=True):
    """Commands for the leader; a receiver does not forward them again."""

    commands: tuple[bytes, ...]


class ProposeResult(Struct, frozen=True, omit_defaults=True, array_like=True):
    """Encoded reply of the state machine to one command, or an error."""

    reply: bytes = b''
    error: ErrorInfo | None = None


class ProposeReply(Struct, frozen=True, array_like=True):
    """Results of the commands, in the same order."""

    results: tuple[ProposeResult, ...]


class BarrierRequest(Struct, frozen=True):
    """Request to the leader for a read index (read barrier).

    A follower is current once it has applied the entry at that index.
    """


class BarrierReply(Struct, frozen=True):
    """Index that covers everything accepted before the request."""

    index: LogIndex


register_reply(VoteRequest, VoteReply)
register_reply(AppendRequest, AppendReply)
register_reply(InstallRequest, InstallReply)
register_reply(ProbeRequest, ProbeReply)
register_reply(JoinRequest, JoinReply)
register_reply(LeadRequest, LeadReply)
register_reply(ProposeRequest, ProposeReply)
register_reply(BarrierRequest, BarrierReply)
