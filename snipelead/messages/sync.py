"""Long polls from nodes and relays to control processes."""

import msgspec
from msgspec import Struct
import xxhash

from snipelead.messages.quarantine import CrashUpdate
from snipelead.messages.registry import register_reply
from snipelead.messages.rollouts import RolloutUpdate
from snipelead.messages.targets import DirectoryUpdate
from snipelead.messages.targets import TargetEntry
from snipelead.releases.delta import Delta
from snipelead.releases.document import ReleaseId
from snipelead.types import Address
from snipelead.types import ControlId
from snipelead.types import Count
from snipelead.types import Incarnation
from snipelead.types import LogIndex
from snipelead.types import Milliseconds
from snipelead.types import NodeId
from snipelead.types import ServiceName
from snipelead.types import ZoneName

__all__ = [
    'ControlEndpoint',
    'FreshnessReply',
    'FreshnessRequest',
    'Registration',
    'Snapshot',
    'SyncReply',
    'SyncRequest',
    'digest_controls',
]


class Snapshot(Struct, frozen=True, array_like=True):
    """Complete release.

    Parameters
    ----------
    target : ReleaseId
        Identity of the release.
    compressed : bytes
        Release document as zstd-compressed msgpack.
    """

    target: ReleaseId
    compressed: bytes


class Registration(Struct, frozen=True, omit_defaults=True, array_like=True):
    """Properties of a node that change rarely.

    A node sends each version once to a control process, not with every poll.

    Parameters
    ----------
    version : int
        Increases with each change within an incarnation.
    zone : ZoneName
        Availability zone of the node.
    address : Address
        Address at which the node accepts forwarded requests.
    subscriptions : tuple of ServiceName
        Services whose targets the node receives.
    targets : tuple of TargetEntry
        Targets beside the node.
    leaving : bool
        Whether the node is stopping.
    """

    version: Count
    zone: ZoneName
    address: Address
    subscriptions: tuple[ServiceName, ...] = ()
    targets: tuple[TargetEntry, ...] = ()
    leaving: bool = False


class ControlEndpoint(Struct, frozen=True, array_like=True, order=True):
    """Address of a control process.

    Parameters
    ----------
    control_id : ControlId
        Id of the control process.
    zone : ZoneName
        Availability zone of the control process.
    address : Address
        Address at which it serves RPC to nodes and other control processes.
    """

    control_id: ControlId
    zone: ZoneName
    address: Address


class SyncRequest(Struct, frozen=True, omit_defaults=True, array_like=True):
    """Long poll from a node or relay to a control process.

    The request acknowledges ``held``, renews the leases of the node and its
    targets, and waits up to ``hold_ms`` for an update.

    Parameters
    ----------
    node_id : NodeId
        Id of the sender.
    incarnation : Incarnation
        Start time of the sender's process.
    sequence : int
        Increases with each request of an incarnation; a request with a
        smaller number than an earlier one is dropped.
    held : ReleaseId
        Release that the sender runs.
    directory_epoch, directory_version : str, int
        Version of the target directory that the sender has.
    hold_ms : int
        Maximum time in milliseconds that the control process may hold the
        request without an update.
    registration_version : int
        Version of the sender's registration.
    registration : Registration or None
        Registration of the sender; None if the control process already
        knows version ``registration_version``.
    needs_certification : bool
        Whether the sender restarted and asks for a certified reply, which
        gives the minimum release that it may serve requests with.
    unseen_services : tuple of ServiceName
        Subscribed services whose targets the sender has not received yet.
    is_relay : bool
        Whether the sender is a relay. A relay receives releases but has no
        lease and no target directory.
    offered_release : Snapshot or None
        Release of the sender, sent after a reply with ``requests_release``.
    controls : int or None
        Digest of the control processes that the sender learned from
        replies; None if its settings list them.
    crashes : CrashUpdate or None
        Epoch and version of the control process's crash records that the
        sender has, and records that the control process may lack; None if
        neither has any.
    rollouts : LogIndex
        Version of the rollouts that the sender knows; 0 if it knows none.
    """

    node_id: NodeId
    incarnation: Incarnation
    sequence: Count
    held: ReleaseId
    directory_epoch: str = ''
    directory_version: Count = 0
    hold_ms: Milliseconds = 0
    registration_version: Count = 0
    registration: Registration | None = None
    needs_certification: bool = False
    unseen_services: tuple[ServiceName, ...] = ()
    is_relay: bool = False
    offered_release: Snapshot | None = None
    controls: int | None = None
    crashes: CrashUpdate | None = None
    rollouts: LogIndex = LogIndex(0)


class SyncReply(Struct, frozen=True, omit_defaults=True, array_like=True):
    """Reply to a long poll.

    Parameters
    ----------
    delta, snapshot : Delta, Snapshot or None
        Update to the newest release; both are None if there is no update or
        if ``compressed_delta`` contains it.
    directory : DirectoryUpdate or None
        Changes to the targets of the subscribed services.
    certified : bool
        Whether a majority confirmed during the request that ``current`` is
        the newest release. A restarted node takes the minimum release that
        it may serve requests with from such a reply.
    current : ReleaseId or None
        Newest release of the control process; set in certified replies and
        together with ``retry_after_ms``.
    needs_registration : bool
        Whether the control process lacks the sender's registration.
    retry_after_ms : int
        Delay in milliseconds after which the sender should poll for the
        update; above 0 only if the control process is busy.
    compressed_delta : bytes
        Delta as zstd-compressed msgpack; replaces ``delta`` if it is
        smaller.
    warming : bool
        Whether the control process restarted less than one lease ago, so
        that it may not know all of its nodes yet.
    requests_release : bool
        Whether the control process asks for the sender's release, which is
        newer than its own.
    possibly_stale : bool
        Whether the control process recently failed to confirm that it is up
        to date; another one may have a newer release.
    controls : tuple of ControlEndpoint
        All control processes; empty if the sender's digest matches.
    crashes : CrashUpdate or None
        Crash records that changed since the sender's version.
    rollouts : RolloutUpdate or None
        Rollouts, if the sender's version is older.
    """

    delta: Delta | None = None
    snapshot: Snapshot | None = None
    directory: DirectoryUpdate | None = None
    certified: bool = False
    current: ReleaseId | None = None
    needs_registration: bool = False
    retry_after_ms: Milliseconds = 0
    compressed_delta: bytes = b''
    warming: bool = False
    requests_release: bool = False
    possibly_stale: bool = False
    controls: tuple[ControlEndpoint, ...] = ()
    crashes: CrashUpdate | None = None
    rollouts: RolloutUpdate | None = None

    def __post_init__(self):
        if self.certified and self.current is None:
            raise ValueError('a certified reply names its release')


def digest_controls(controls):
    """Return a digest of a set of control processes.

    Parameters
    ----------
    controls : iterable of ControlEndpoint
        Control processes; their order does not matter.

    Returns
    -------
    int
        64-bit hash.
    """
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(sorted(controls)))


class FreshnessRequest(Struct, frozen=True):
    """Request whether a control is possibly stale."""


class FreshnessReply(Struct, frozen=True):
    """Reply to a :class:`FreshnessRequest`.

    Parameters
    ----------
    possibly_stale : bool
        Whether the control could not certify its release recently.
    """

    possibly_stale: bool


register_reply(SyncRequest, SyncReply)
register_reply(FreshnessRequest, FreshnessReply)
