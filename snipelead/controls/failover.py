"""Calls that change durable state, sent to one control after another."""

from snipelead.controls.exceptions import NoControlError
from snipelead.controls.exceptions import NoQuorumError
from snipelead.controls.exceptions import OutcomeUnknownError
from snipelead.exceptions import InvariantError
from snipelead.exceptions import SnipeleadError
from snipelead.rpc.exceptions import RpcInternalError
from snipelead.rpc.exceptions import RpcNotSentError
from snipelead.rpc.exceptions import RpcTimeoutError
from snipelead.rpc.exceptions import RpcUnreachableError

__all__ = ['call_with_failover']

_NOT_SENT = (RpcNotSentError, NoControlError)
_UNREACHABLE = (RpcUnreachableError, RpcTimeoutError, NoControlError)
_OUTCOME_UNKNOWN = (
    OutcomeUnknownError,
    RpcUnreachableError,
    RpcTimeoutError,
    RpcInternalError,
)


async def call_with_failover(links, request, timeout_s):
    """Send an idempotent request to controls until one gives its outcome.

    Parameters
    ----------
    links : ControlLinks
        Controls to try.
    request : Struct
        A request that has one outcome however often it is sent.
    timeout_s : float
        Time limit of each attempt in seconds.

    Returns
    -------
    Struct
        The reply.

    Raises
    ------
    OutcomeUnknownError
        An attempt may have taken effect, and no later one told.
    NoQuorumError
        No attempt took effect: no control reached a majority.
    NoControlError
        No attempt was sent.
    """
    unknown_error = None
    quorum_error = None
    for link in links.failover_order():
        try:
            return await link.calls.call(request, timeout_s)
        except SnipeleadError as error:
            if isinstance(error, _UNREACHABLE):
                links.defer(link)
            if isinstance(error, NoQuorumError):
                quorum_error = error
            elif isinstance(error, _NOT_SENT):
                continue
            elif isinstance(error, _OUTCOME_UNKNOWN):
                unknown_error = error
            elif unknown_error is None or isinstance(error, InvariantError):
                # Once an earlier control may have taken the request, what
                # a later one did not do says nothing.
                raise
    name = type(request).__name__
    if unknown_error is not None:
        raise OutcomeUnknownError(
            f'{name} was sent, but its outcome is unknown: {unknown_error}'
        ) from unknown_error
    if quorum_error is not None:
        raise quorum_error
    raise NoControlError(f'{name} was not sent: no control can be reached')
