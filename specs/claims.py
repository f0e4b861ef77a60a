"""State and messages of the model of at-most-once requests."""

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

__all__ = [
    'Attempt',
    'AttemptId',
    'AttemptReply',
    'Claim',
    'ClaimRecord',
    'ClaimReply',
    'Delivery',
    'Fence',
    'Phase',
    'Ran',
    'Settle',
    'State',
    'TargetNode',
]


class Phase(IntEnum):
    """Progress of one delivery of the request at its node."""

    NOT_RECEIVED = 0
    CLAIMING = 1
    GRANTED = 2
    SENT = 3
    NOT_RUN = 4
    ANSWERED = 5
    CRASHED = 6


class Ran(IntEnum):
    """Statement on whether the request ran."""

    NO = 0
    YES = 1
    UNKNOWN = 2


class Delivery(NamedTuple):
    """One delivery of the request to a node.

    Parameters
    ----------
    phase : Phase
        Progress at the node.
    attempts : int
        Attempts sent so far.
    incarnation : int
        Incarnation of the target's node that the last attempt was sent to.
    answer : Ran or None
        Final answer to the caller, None before it.
    """

    phase: Phase = Phase.NOT_RECEIVED
    attempts: int = 0
    incarnation: int = 0
    answer: Ran | None = None


class ClaimRecord(NamedTuple):
    """State of the idempotency key in the replicated log.

    Parameters
    ----------
    holder : int or None
        Delivery whose claim is granted.
    ran : bool
        Whether the holder reported that the request ran.
    released : frozenset of int
        Deliveries whose claims were released.
    """

    holder: int | None = None
    ran: bool = False
    released: frozenset[int] = frozenset()

    def claim(self, delivery_id, released_claim_is_final=True):
        """Return the record after a claim, and the reply to the claim.

        Parameters
        ----------
        delivery_id : int
            Delivery that claims the key.
        released_claim_is_final : bool
            Whether a delivery whose claim was released is denied.

        Returns
        -------
        claim_record : ClaimRecord
        reply : ClaimReply
        """
        denied = released_claim_is_final and delivery_id in self.released
        claim_record = self
        if self.holder is None and not denied:
            claim_record = self._replace(holder=delivery_id)
        granted = claim_record.holder == delivery_id and not denied
        ran = Ran.YES if self.ran else Ran.UNKNOWN
        return claim_record, ClaimReply(delivery_id, granted, ran)

    def settle(self, delivery_id, ran):
        """Return the record after a claim was settled.

        Parameters
        ----------
        delivery_id : int
            Delivery whose claim is settled.
        ran : Ran
            Outcome of the request; ``Ran.NO`` releases the claim.

        Returns
        -------
        ClaimRecord
        """
        is_holder = self.holder == delivery_id
        if is_holder and ran is Ran.YES:
            return self._replace(ran=True)
        if ran is not Ran.NO or (is_holder and self.ran):
            return self
        released = self.released | {delivery_id}
        return self._replace(
            holder=None if is_holder else self.holder, released=released
        )


class TargetNode(NamedTuple):
    """State of the node that serves the target; a restart loses all of it.

    Parameters
    ----------
    incarnation : int
        Incarnation of the node, increased by each restart.
    queued, started, fenced : frozenset of AttemptId
        Attempts that wait for a slot, that were started, and that must not
        be started any more.
    """

    incarnation: int = 1
    queued: frozenset = frozenset()
    started: frozenset = frozenset()
    fenced: frozenset = frozenset()


class AttemptId(NamedTuple):
    """Identifies one attempt of a delivery.

    Parameters
    ----------
    delivery_id : int
        Delivery that the attempt belongs to.
    number : int
        Number of the attempt, from 1.
    """

    delivery_id: int
    number: int


@dataclass(frozen=True, slots=True)
class Claim:
    """Request to the log for the exclusive right to run the request."""

    delivery_id: int


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Reply of the log to a claim."""

    delivery_id: int
    granted: bool
    ran: Ran


@dataclass(frozen=True, slots=True)
class Settle:
    """Report to the log on the outcome of a claimed request."""

    delivery_id: int
    ran: Ran


@dataclass(frozen=True, slots=True)
class Attempt:
    """The request itself, for one incarnation of the target's node."""

    attempt_id: AttemptId
    incarnation: int


@dataclass(frozen=True, slots=True)
class Fence:
    """Bars an attempt from starting and asks whether it ran."""

    attempt_id: AttemptId
    incarnation: int


@dataclass(frozen=True, slots=True)
class AttemptReply:
    """Reply of the target's node on whether an attempt ran."""

    attempt_id: AttemptId
    ran: Ran


class State(NamedTuple):
    """State of the deliveries, the log, the target's node and the network.

    Parameters
    ----------
    deliveries : tuple of Delivery
        Deliveries of the request, by id.
    claim_record : ClaimRecord
        State of the key in the replicated log.
    target_node : TargetNode
        State of the node that serves the target.
    messages : frozenset
        Messages sent so far that may still arrive.
    runs : tuple of AttemptId
        Attempts that the target has run, in order.
    """

    deliveries: tuple[Delivery, ...]
    claim_record: ClaimRecord = ClaimRecord()
    target_node: TargetNode = TargetNode()
    messages: frozenset = frozenset()
    runs: tuple[AttemptId, ...] = ()
