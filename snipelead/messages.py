"""Messages between the system's own processes.

Every request type has one reply type, declared in ``REPLY_TYPES``; the name
of the request type is the name of the remote procedure. Messages that
belong to one package alone (such as those among voters) are declared there
and added with :func:`register_reply`.
"""

from msgspec import Struct

from snipelead.releases.delta import Delta
from snipelead.releases.document import Held
from snipelead.releases.note import ReleaseNote
from snipelead.types import Address
from snipelead.types import ClaimId
from snipelead.types import ControlId
from snipelead.types import IdempotencyKey
from snipelead.types import Incarnation
from snipelead.types import NodeId
from snipelead.types import NoteId
from snipelead.types import OutcomeKind
from snipelead.types import Ran
from snipelead.types import ServiceName
from snipelead.types import TargetId
from snipelead.types import TargetState
from snipelead.types import ZoneName

__all__ = [
    'REPLY_TYPES',
    'CertifyReply',
    'CertifyRequest',
    'ClaimReply',
    'ClaimRequest',
    'DirectoryUpdate',
    'ExchangeReply',
    'ExchangeRequest',
    'FleetReply',
    'FleetRequest',
    'NodeStatus',
    'OutcomesReply',
    'OutcomesRequest',
    'Registration',
    'SettleReply',
    'SettleRequest',
    'Snapshot',
    'SubmitReply',
    'SubmitRequest',
    'SyncReply',
    'SyncRequest',
    'TargetEntry',
    'register_reply',
]

REPLY_TYPES: dict[type, type] = {}


def register_reply(request_type, reply_type):
    """Declare which message answers a request."""
    REPLY_TYPES[request_type] = reply_type


class TargetEntry(Struct, frozen=True, omit_defaults=True, array_like=True):
    """One target as its own node announces it.

    Entries of the same target are ordered by (incarnation, sequence); the
    greater one wins wherever two meet.

    Parameters
    ----------
    target_id : TargetId
        Unique id of the target.
    node_id : NodeId
        Node beside the target, the only one that talks to it.
    zone : ZoneName
        Availability zone of both.
    service : ServiceName
        Service that the target belongs to.
    address : Address
        Where the node accepts forwarded requests.
    incarnation : Incarnation
        Start time of the node in nanoseconds since the epoch.
    sequence : int
        Grows with each change within an incarnation.
    state : TargetState
        Life cycle state.
    slots, connections : int
        Limits of the target.
    """

    target_id: TargetId
    node_id: NodeId
    zone: ZoneName
    service: ServiceName
    address: Address
    incarnation: Incarnation
    sequence: int
    state: TargetState = TargetState.SERVING
    slots: int = 20
    connections: int = 130


class Snapshot(Struct, frozen=True, array_like=True):
    """A whole release: zstd-compressed msgpack of the document."""

    target: Held
    compressed: bytes


class DirectoryUpdate(
    Struct, frozen=True, omit_defaults=True, array_like=True
):
    """Changes to the target directory since a version.

    Parameters
    ----------
    epoch : str
        Names the life of the sender's directory; versions of different
        epochs cannot be compared.
    version : int
        Version that the receiver has after this update.
    whole : bool
        Whether entries not listed are gone.
    entries : tuple of TargetEntry
        Entries that are new or changed; state GONE removes.
    """

    epoch: str
    version: int
    whole: bool = False
    entries: tuple[TargetEntry, ...] = ()


class SyncRequest(Struct, frozen=True, omit_defaults=True, array_like=True):
    """A node's (or relay's) long poll to a control.

    The request acknowledges ``held``, renews the lease of the node and of
    its targets, and waits up to ``hold_ms`` for news.

    Parameters
    ----------
    node_id : NodeId
        Sender.
    incarnation : Incarnation
        Start of the sender's process.
    sequence : int
        Grows with each request of an incarnation; older ones are dropped.
    held : Held
        Release that the sender runs.
    directory_epoch, directory_version : str, int
        Directory state that the sender has.
    hold_ms : int
        How long the control may hold the request without news.
    announced : int
        Version of the sender's own registration, see ``registration``.
    registration : Registration or None
        Sent when the control does not know version ``announced`` yet.
    wants_certified : bool
        The sender restarted and takes its floor from a certified answer.
    unseen_services : tuple of ServiceName
        Subscribed services whose targets the sender was never told of.
    follower : bool
        The sender is a relay: it follows releases, but holds no lease and
        no directory.
    offer : Snapshot or None
        The sender's release, sent after a reply with ``wants_release``.
    """

    node_id: NodeId
    incarnation: Incarnation
    sequence: int
    held: Held
    directory_epoch: str = ''
    directory_version: int = 0
    hold_ms: int = 0
    announced: int = 0
    registration: 'Registration | None' = None
    wants_certified: bool = False
    unseen_services: tuple[ServiceName, ...] = ()
    follower: bool = False
    offer: Snapshot | None = None


class Registration(Struct, frozen=True, omit_defaults=True, array_like=True):
    """Facts about a node that change seldom.

    Parameters
    ----------
    version : int
        Grows with each change within an incarnation.
    zone : ZoneName
        Availability zone of the node.
    address : Address
        Where the node accepts forwarded requests.
    subscriptions : tuple of ServiceName
        Services whose targets the node wants to be told of.
    targets : tuple of TargetEntry
        The node's own targets.
    leaving : bool
        Whether the node is stopping.
    """

    version: int
    zone: ZoneName
    address: Address
    subscriptions: tuple[ServiceName, ...] = ()
    targets: tuple[TargetEntry, ...] = ()
    leaving: bool = False


class SyncReply(Struct, frozen=True, omit_defaults=True, array_like=True):
    """Answer to a long poll.

    Parameters
    ----------
    delta, snapshot : Delta, Snapshot or None
        What leads to the newest release; both None when there is no news.
    directory : DirectoryUpdate or None
        Changes of targets that the sender subscribed to.
    certified : bool
        Whether the control proved itself current by a majority while it
        answered; a restarted node takes its floor from such an answer.
    current : Held or None
        Newest release that the control holds, when no update is sent.
    register_again : bool
        The control does not know the sender's registration.
    retry_after_ms : int
        Above 0 when the control is busy: come back then for the update.
    packed_delta : bytes
        The delta as zstd-compressed msgpack, in place of ``delta`` when
        that is smaller.
    warming : bool
        The control restarted less than a lease ago and may not have heard
        of all its nodes yet.
    wants_release : bool
        The sender holds a newer release than the control, which asks for it.
    doubtful : bool
        The control could not prove itself current lately; another one may
        hold a newer release.
    """

    delta: Delta | None = None
    snapshot: Snapshot | None = None
    directory: DirectoryUpdate | None = None
    certified: bool = False
    current: Held | None = None
    register_again: bool = False
    retry_after_ms: int = 0
    packed_delta: bytes = b''
    warming: bool = False
    wants_release: bool = False
    doubtful: bool = False


class ClaimRequest(Struct, frozen=True, array_like=True):
    """Asks for the sole right to run a request that may not be repeated.

    Parameters
    ----------
    scope : str
        Route name; keys of different routes do not clash.
    key : IdempotencyKey
        The caller's key.
    claim_id : ClaimId
        Unique id of the claimant's attempt; a resend of the same claim
        carries the same id and gets the same answer.
    fingerprint : str
        Digest of method, path and body; a key used again for another
        request is refused.
    """

    scope: str
    key: IdempotencyKey
    claim_id: ClaimId
    fingerprint: str = ''


class ClaimReply(Struct, frozen=True, omit_defaults=True, array_like=True):
    """Answer to a claim.

    Parameters
    ----------
    granted : bool
        The claimant, and nobody else ever, may run the request.
    ran : Ran
        What is known of the first run when the claim is not granted.
    status : int
        HTTP status of the first run, 0 when unknown.
    mismatch : bool
        The key belongs to a request with another fingerprint.
    """

    granted: bool
    ran: Ran = Ran.UNKNOWN
    status: int = 0
    mismatch: bool = False


class SettleRequest(Struct, frozen=True, array_like=True):
    """Reports the end of a claimed request.

    ``ran`` NO gives the claim back (the request provably did not run), so
    that a resend may be granted.
    """

    scope: str
    key: IdempotencyKey
    claim_id: ClaimId
    ran: Ran
    status: int = 0


class SettleReply(Struct, frozen=True):
    """Answer to a settlement; it is durable."""


class SubmitRequest(Struct, frozen=True):
    """Submits a release note; any control forwards it to the leader."""

    note: ReleaseNote


class SubmitReply(Struct, frozen=True, omit_defaults=True):
    """Durable outcome of a note.

    Parameters
    ----------
    outcome : OutcomeKind
        ACCEPTED or REFUSED; the same for each resend of the same note.
    held : Held or None
        The release that the note created.
    code, message : str
        Error code and sentence when refused.
    details : dict of str to str
        Facts of the refusal, such as the note that won the number.
    """

    outcome: OutcomeKind
    held: Held | None = None
    code: str = ''
    message: str = ''
    details: dict[str, str] = {}


class FleetRequest(Struct, frozen=True, omit_defaults=True):
    """Asks a control for its view of the fleet."""


class NodeStatus(Struct, frozen=True, omit_defaults=True):
    """A node as a control last saw it.

    Parameters
    ----------
    node_id : NodeId
        The node.
    zone : ZoneName
        Its availability zone.
    held : Held
        Release that it confirmed last.
    incarnation, sequence : Incarnation, int
        Order of the reports; the greater one wins.
    age_ms : int
        Time since the control heard of it, in milliseconds.
    live : bool
        Whether its lease holds.
    """

    node_id: NodeId
    zone: ZoneName
    held: Held
    incarnation: Incarnation
    sequence: int
    age_ms: int
    live: bool


class FleetReply(Struct, frozen=True, omit_defaults=True):
    """A control's view of the fleet.

    Parameters
    ----------
    control_id : ControlId
        The control.
    zone : ZoneName
        Its availability zone.
    current : Held
        Newest release that it holds.
    certified : bool
        Whether a majority confirmed that while it answered.
    nodes : tuple of NodeStatus
        Nodes that poll this control.
    targets : tuple of TargetEntry
        Targets of those nodes.
    warming : bool
        The control restarted less than a lease ago and may not have heard
        of all its nodes yet.
    """

    control_id: ControlId
    zone: ZoneName
    current: Held
    certified: bool = False
    nodes: tuple[NodeStatus, ...] = ()
    targets: tuple[TargetEntry, ...] = ()
    warming: bool = False


class CertifyRequest(Struct, frozen=True):
    """Asks a voter to prove by a majority which release is the newest."""


class CertifyReply(Struct, frozen=True):
    """Answer to a request for certification.

    Parameters
    ----------
    held : Held
        Newest release that the voter holds.
    certified : bool
        Whether, at some moment after the request came, ``held`` was the
        newest accepted release.
    """

    held: Held
    certified: bool


class OutcomesRequest(Struct, frozen=True):
    """Asks a control for the durable outcomes of recent notes."""


class OutcomesReply(Struct, frozen=True):
    """Durable outcomes by note."""

    outcomes: dict[NoteId, SubmitReply]


class ExchangeRequest(Struct, frozen=True, omit_defaults=True):
    """A control's long poll for the targets that register with a peer.

    Parameters
    ----------
    control_id : ControlId
        Sender.
    epoch, version : str, int
        State of the peer's own entries that the sender has.
    hold_ms : int
        How long the peer may hold the request without news.
    """

    control_id: ControlId
    epoch: str = ''
    version: int = 0
    hold_ms: int = 0


class ExchangeReply(Struct, frozen=True, omit_defaults=True):
    """Answer to an exchange; None when there is no news."""

    directory: DirectoryUpdate | None = None


register_reply(SyncRequest, SyncReply)
register_reply(ClaimRequest, ClaimReply)
register_reply(SettleRequest, SettleReply)
register_reply(SubmitRequest, SubmitReply)
register_reply(FleetRequest, FleetReply)
register_reply(CertifyRequest, CertifyReply)
register_reply(OutcomesRequest, OutcomesReply)
register_reply(ExchangeRequest, ExchangeReply)
