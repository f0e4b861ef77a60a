"""Target directory entries and their exchange between processes."""

from msgspec import Struct

from snipelead.messages.quarantine import CrashUpdate
from snipelead.messages.registry import register_reply
from snipelead.types import Address
from snipelead.types import ControlId
from snipelead.types import Count
from snipelead.types import Incarnation
from snipelead.types import Milliseconds
from snipelead.types import NodeId
from snipelead.types import Ratio
from snipelead.types import ServiceName
from snipelead.types import TargetId
from snipelead.types import TargetState
from snipelead.types import UNKNOWN_INCARNATION
from snipelead.types import ZoneName

__all__ = [
    'DirectoryUpdate',
    'ExchangeReply',
    'ExchangeRequest',
    'TargetEntry',
]


class TargetEntry(Struct, frozen=True, omit_defaults=True, array_like=True):
    """Directory entry of a target, created by the node beside it.

    Entries of the same target are ordered by (incarnation, sequence); the
    greatest one replaces the others.

    Parameters
    ----------
    target_id : TargetId
        Unique id of the target.
    node_id : NodeId
        Node beside the target, the only one that sends requests to it.
    zone : ZoneName
        Availability zone of the node and the target.
    service : ServiceName
        Service that the target belongs to.
    address : Address
        Address at which the node accepts forwarded requests.
    incarnation : Incarnation
        Start time of the node in nanoseconds since the Unix epoch.
    sequence : int
        Increases with each change within an incarnation.
    state : TargetState
        Life cycle state.
    slots, connections : int
        Maximum number of concurrent requests and of connections.
    relative_service_time : float
        Mean service time in proportion to the latency objectives of the
        routes; 0.0 if not known. Comparable among targets of a service.
    target_incarnation : Incarnation
        Start time of the target itself in milliseconds since the Unix epoch;
        0 if not known. A target may start again under the same id.
    version : str
        Version of the target's software; '' if not known.
    """

    target_id: TargetId
    node_id: NodeId
    zone: ZoneName
    service: ServiceName
    address: Address
    incarnation: Incarnation
    sequence: Count
    state: TargetState = TargetState.SERVING
    slots: Count = 20
    connections: Count = 130
    relative_service_time: Ratio = 0.0
    target_incarnation: Incarnation = UNKNOWN_INCARNATION
    version: str = ''


class DirectoryUpdate(
    Struct, frozen=True, omit_defaults=True, array_like=True
):
    """Changes to the target directory since a version.

    Parameters
    ----------
    epoch : str
        Identifies one instance of the sender's directory. Versions of
        different epochs cannot be compared.
    version : int
        Version of the directory after this update.
    is_full : bool
        Whether ``entries`` is the complete directory, so that entries not
        listed are removed.
    entries : tuple of TargetEntry
        New and changed entries; an entry with state GONE is removed.
    """

    epoch: str
    version: Count
    is_full: bool = False
    entries: tuple[TargetEntry, ...] = ()


class ExchangeRequest(Struct, frozen=True, omit_defaults=True):
    """Long poll between control processes for directory entries.

    A control process polls each peer for the targets of the nodes that poll
    that peer.

    Parameters
    ----------
    control_id : ControlId
        Id of the sender.
    epoch, version : str, int
        Version of the peer's directory that the sender has.
    hold_ms : int
        Maximum time in milliseconds that the peer may hold the request
        without an update.
    crash_epoch, crash_version : str, int
        Version of the peer's crash records that the sender has.
    """

    control_id: ControlId
    epoch: str = ''
    version: Count = 0
    hold_ms: Milliseconds = 0
    crash_epoch: str = ''
    crash_version: Count = 0


class ExchangeReply(Struct, frozen=True, omit_defaults=True):
    """Reply to an exchange.

    Parameters
    ----------
    directory : DirectoryUpdate or None
        Changes since the sender's version, None if there are none.
    crashes : CrashUpdate or None
        Changed crash records, None if there are none.
    """

    directory: DirectoryUpdate | None = None
    crashes: CrashUpdate | None = None


register_reply(ExchangeRequest, ExchangeReply)
