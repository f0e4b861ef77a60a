"""State and messages of the model of requests that may not be repeated."""

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

__all__ = [
    'Attempt',
    'AttemptAnswer',
    'AttemptId',
    'Claim',
    'ClaimAnswer',
    'Delivery',
    'Fence',
    'Gate',
    'Phase',
    'Ran',
    'Register',
    'Settle',
    'State',
]


class Phase(IntEnum):
    """Progress of a node with one delivery of the request."""

    NOT_RECEIVED = 0
    CLAIMING = 1
    GRANTED = 2
    SENT = 3
    NOT_RUN = 4
    ANSWERED = 5
    CRASHED = 6


class Ran(IntEnum):
    """What is said about whether the request ran."""

    NO = 0
    YES = 1
    UNKNOWN = 2


class Delivery(NamedTuple):
    """One delivery of the request to a node.

    Parameters
    ----------
    phase : Phase
        Progress.
    attempt : int
        Attempts sent so far.
    incarnation : int
        Incarnation of the gate that the last attempt was sent to.
    answer : Ran or None
        Answer to the caller.
    """

    phase: Phase = Phase.NOT_RECEIVED
    attempt: int = 0
    incarnation: int = 0
    answer: Ran | None = None


class Register(NamedTuple):
    """The key in the replicated log; claims carry the delivery's number."""

    holder: int | None = None
    ran: bool = False
    given_back: frozenset[int] = frozenset()

    def claim(self, number, given_back_is_final=True):
        """Return the register after a claim, and the answer to it."""
        barred = given_back_is_final and number in self.given_back
        register = self
        if self.holder is None and not barred:
            register = self._replace(holder=number)
        granted = register.holder == number and not barred
        ran = Ran.YES if self.ran else Ran.UNKNOWN
        return register, ClaimAnswer(number, granted, ran)

    def settle(self, number, ran):
        """Return the register after the end of a claim was reported."""
        held = self.holder == number
        if held and ran is Ran.YES:
            return self._replace(ran=True)
        if ran is not Ran.NO or (held and self.ran):
            return self
        given_back = self.given_back | {number}
        return self._replace(
            holder=None if held else self.holder, given_back=given_back
        )


class Gate(NamedTuple):
    """The target's own node; all of it is lost at a restart."""

    incarnation: int = 1
    queued: frozenset = frozenset()
    started: frozenset = frozenset()
    fenced: frozenset = frozenset()


class AttemptId(NamedTuple):
    """Names an attempt of a delivery."""

    delivery: int
    number: int


@dataclass(frozen=True, slots=True)
class Claim:
    """Asks the log for the sole right to run the request."""

    delivery: int


@dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """Answer to a claim."""

    delivery: int
    granted: bool
    ran: Ran


@dataclass(frozen=True, slots=True)
class Settle:
    """Tells the log the end of a claimed request."""

    delivery: int
    ran: Ran


@dataclass(frozen=True, slots=True)
class Attempt:
    """The request itself, for one incarnation of the gate."""

    attempt: AttemptId
    incarnation: int


@dataclass(frozen=True, slots=True)
class Fence:
    """Forbids an attempt and asks whether it ran."""

    attempt: AttemptId
    incarnation: int


@dataclass(frozen=True, slots=True)
class AttemptAnswer:
    """What the gate says about an attempt."""

    attempt: AttemptId
    ran: Ran


class State(NamedTuple):
    """State of the nodes, the log, the gate and the messages.

    Parameters
    ----------
    runs : tuple of AttemptId
        Attempts that the target has run.
    """

    deliveries: tuple[Delivery, ...]
    register: Register = Register()
    gate: Gate = Gate()
    messages: frozenset = frozenset()
    runs: tuple[AttemptId, ...] = ()
