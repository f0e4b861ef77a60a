"""Records of requests that were running when targets crashed."""

from msgspec import Struct

from snipelead.messages.registry import register_reply
from snipelead.types import Count
from snipelead.types import Fingerprint
from snipelead.types import Incarnation
from snipelead.types import NodeId
from snipelead.types import TargetId

__all__ = [
    'CrashRecord',
    'CrashUpdate',
    'LiftReply',
    'LiftRequest',
    'TargetCrash',
    'WatchedReply',
    'WatchedRequest',
]


class TargetCrash(Struct, frozen=True, array_like=True, order=True):
    """Crash of one incarnation of a target.

    Parameters
    ----------
    target_id : TargetId
        The target.
    incarnation : Incarnation
        Incarnation of the target that ended.
    node_id : NodeId
        Node that noticed the crash.
    time_ms : int
        Unix time of the node in milliseconds, for display only.
    """

    target_id: TargetId
    incarnation: Incarnation
    node_id: NodeId
    time_ms: Count


class CrashRecord(Struct, frozen=True, array_like=True):
    """Evidence on whether copies of a request crash targets.

    Records of a request are merged, so that it does not matter in which order
    and how often they are received: the higher generation replaces the
    other one; within a generation crashes are united, and of each node's count
    the higher one is kept.

    Parameters
    ----------
    fingerprint : Fingerprint
        Identifies all copies of the request.
    generation : int
        Number of times that an operator has discarded the evidence.
    crashes : tuple of TargetCrash
        Crashes during which the request was running.
    completions : tuple of tuple of (NodeId, int)
        Runs that ended with a response, by the node beside the target.
    summary : str
        Method, host, path and tenant for operators.
    """

    fingerprint: Fingerprint
    generation: Count = 0
    crashes: tuple[TargetCrash, ...] = ()
    completions: tuple[tuple[NodeId, Count], ...] = ()
    summary: str = ''


class CrashUpdate(Struct, frozen=True, array_like=True):
    """Records that changed since the version that the receiver has.

    Parameters
    ----------
    epoch, version : str, int
        Epoch and version of the sender's records.
    records : tuple of CrashRecord
        Changed records.
    """

    epoch: str
    version: Count
    records: tuple[CrashRecord, ...] = ()


class WatchedRequest(Struct, frozen=True):
    """Request of an operator for all crash records."""


class WatchedReply(Struct, frozen=True):
    """Reply to a :class:`WatchedRequest`.

    Parameters
    ----------
    records : tuple of CrashRecord
        Records that the control knows.
    """

    records: tuple[CrashRecord, ...]


class LiftRequest(Struct, frozen=True):
    """Request of an operator to discard the evidence on a request.

    Parameters
    ----------
    fingerprint : Fingerprint
        Fingerprint of the request.
    """

    fingerprint: Fingerprint


class LiftReply(Struct, frozen=True):
    """Reply to a :class:`LiftRequest`.

    Parameters
    ----------
    found : bool
        Whether the control knew any evidence.
    """

    found: bool


register_reply(WatchedRequest, WatchedReply)
register_reply(LiftRequest, LiftReply)
