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

__all__ = ['forward']

_NOT_SENT = (RpcNotSentError, NoControlError)
_UNREACHED = (RpcUnreachableError, RpcTimeoutError, NoControlError)
_MAYBE_SENT = (
    OutcomeUnknownError,
    RpcUnreachableError,
    RpcTimeoutError,
    RpcInternalError,
)


async def forward(links, request, timeout_s):
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
    maybe = None
    refused = None
    for link in links.ordered():
        try:
            return await link.calls.call(request, timeout_s)
        except SnipeleadError as error:
            if isinstance(error, _UNREACHED):
                links.defer(link)
            if isinstance(error, NoQuorumError):
                refused = error
            elif isinstance(error, _NOT_SENT):
                continue
            elif isinstance(error, _MAYBE_SENT):
                maybe = error
            elif maybe is None or isinstance(error, InvariantError):
                # Once an earlier control may have taken the request, what
                # a later one did not do says nothing.
                raise
    name = type(request).__name__
    if maybe is not None:
        raise OutcomeUnknownError(
            f'{name} was sent, but its outcome is unknown: {maybe}'
        ) from maybe
    if refused is not None:
        raise refused
    raise NoControlError(f'{name} was not sent: no control can be reached')
