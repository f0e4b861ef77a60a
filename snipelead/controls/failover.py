"""Calls that change durable state, with failover between controls."""

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
    """Send an idempotent request to one control after another.

    Stops at the first control that returns the outcome of the request.

    Parameters
    ----------
    links : ControlLinks
        Controls to try, in failover order.
    request : Struct
        Idempotent request; sending it again has no further effect.
    timeout_s : float
        Timeout of each attempt in seconds.

    Returns
    -------
    Struct
        Reply to the request.

    Raises
    ------
    OutcomeUnknownError
        At least one attempt may have taken effect, and no later attempt
        returned the outcome.
    NoQuorumError
        No attempt took effect because no control reached a majority of
        voters.
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
                links.record_failure(link)
            if isinstance(error, NoQuorumError):
                quorum_error = error
            elif isinstance(error, _NOT_SENT):
                continue
            elif isinstance(error, _OUTCOME_UNKNOWN):
                unknown_error = error
            elif unknown_error is None or isinstance(error, InvariantError):
                # If an earlier attempt may have taken effect, the error of a
                # later control does not tell the outcome, so it is not raised.
                raise
    name = type(request).__name__
    if unknown_error is not None:
        raise OutcomeUnknownError(
            f'{name} was sent, but its outcome is unknown: {unknown_error}'
        ) from unknown_error
    if quorum_error is not None:
        raise quorum_error
    raise NoControlError(f'{name} was not sent: no control can be reached')
