"""Records of submitted releases, client requests and executions."""

from math import inf

from msgspec import field
from msgspec import Struct

__all__ = ['Execution', 'ReleaseRecord', 'RequestRecord']


class ReleaseRecord(Struct):
    """A release that an operator submitted.

    Parameters
    ----------
    number, base : int
        Number of the release and of the release that it replaces.
    body : bytes
        Body of the submission.
    services_by_prefix : dict of str to tuple of str
        Services that requests may be routed to, by path prefix.
    sent_at : float
        Time of the first submission, in seconds.
    acked_at : float
        Time of the acknowledgement, in seconds; infinite without one.
    refused : bool
        Whether the release was refused permanently.
    valid : bool
        Whether the release satisfies the rules for releases; an invalid one
        must be refused.
    holders_by_key : dict of str to str
        Name of the customer that holds each API key.
    """

    number: int
    base: int
    body: bytes
    services_by_prefix: dict
    sent_at: float
    acked_at: float = inf
    refused: bool = False
    valid: bool = True
    holders_by_key: dict = field(default_factory=dict)


class Execution(Struct, frozen=True):
    """Execution of a request by a target.

    Parameters
    ----------
    target, service : str
        Id of the target, and its service.
    at : float
        Time at which the execution began, in seconds.
    """

    target: str
    service: str
    at: float


class RequestRecord(Struct):
    """A request that a client sent, one record for each attempt.

    Parameters
    ----------
    attempt_id, path : str
        Id and path of the request.
    prefix : str
        Path prefix of the route that it matches.
    repeatable : bool
        Whether it may be executed more than once.
    node, origin : str
        Node that it was sent to, and the service of that node's target.
    incarnation : int
        Incarnation of the node's process.
    sent_at, ended_at : float
        Time of sending, and of the response or of the failure, in seconds;
        the end is infinite while the request is open.
    deadline_s, timeout_s : float
        Deadline of the client and timeout of the route, in seconds.
    status : int
        HTTP status of the response; 0 without one.
    abandoned : bool
        Whether the client stopped waiting for the response.
    executions : list of Execution
        Executions of the request by targets.
    api_key : str or None
        API key that the request carries.
    """

    attempt_id: str
    path: str
    prefix: str
    repeatable: bool
    node: str
    origin: str
    incarnation: int
    sent_at: float
    deadline_s: float
    timeout_s: float
    ended_at: float = inf
    status: int = 0
    abandoned: bool = False
    executions: list = field(default_factory=list)
    api_key: str | None = None
