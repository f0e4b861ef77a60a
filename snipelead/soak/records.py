"""What is kept of each release, request and run."""

from math import inf

from msgspec import field
from msgspec import Struct

__all__ = ['OrderRecord', 'RequestRecord', 'Run']


class OrderRecord(Struct):
    """A release that an operator sent.

    Parameters
    ----------
    number, base : int
        Its number and that of the release it replaces.
    body : bytes
        What was sent.
    targets_of : dict of str to str
        Service of each path prefix.
    sent_at : float
        When it was sent first.
    acked_at : float
        When it was acknowledged; infinite when it was not.
    refused : bool
        Whether it was refused for good.
    valid : bool
        Whether it may be accepted at all.
    """

    number: int
    base: int
    body: bytes
    targets_of: dict
    sent_at: float
    acked_at: float = inf
    refused: bool = False
    valid: bool = True


class Run(Struct, frozen=True):
    """A request that a target began to run.

    Parameters
    ----------
    target, service : str
        The target and its service.
    at : float
        When it began.
    """

    target: str
    service: str
    at: float


class RequestRecord(Struct):
    """One attempt of a client.

    Parameters
    ----------
    attempt_id, path, prefix : str
        What was sent; the prefix is that of its route.
    repeatable : bool
        Whether it may run more than once.
    node, origin : str
        Node that it was sent to, and the service beside that.
    life : int
        Life of the node's process.
    sent_at, ended_at : float
        When it was sent, and when its answer or its end came.
    deadline_s, timeout_s : float
        How long the client waits, and how long the route lets it.
    status : int
        Status of the answer; 0 without one.
    gone : bool
        Whether the client gave up.
    runs : list of Run
        Where it ran.
    """

    attempt_id: str
    path: str
    prefix: str
    repeatable: bool
    node: str
    origin: str
    life: int
    sent_at: float
    deadline_s: float
    timeout_s: float
    ended_at: float = inf
    status: int = 0
    gone: bool = False
    runs: list = field(default_factory=list)
