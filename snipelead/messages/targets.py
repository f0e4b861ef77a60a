"""Targets as processes tell each other of them."""

from msgspec import Struct

from snipelead.messages.registry import register_reply
from snipelead.types import Address
from snipelead.types import ControlId
from snipelead.types import Incarnation
from snipelead.types import NodeId
from snipelead.types import ServiceName
from snipelead.types import TargetId
from snipelead.types import TargetState
from snipelead.types import ZoneName

__all__ = [
    'DirectoryUpdate',
    'ExchangeReply',
    'ExchangeRequest',
    'TargetEntry',
]


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


register_reply(ExchangeRequest, ExchangeReply)
