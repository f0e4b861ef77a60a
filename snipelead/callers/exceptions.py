"""Errors that are reported to callers.

Each has the HTTP status of its response and tells whether the request was
executed.
"""

from typing import ClassVar

from snipelead.exceptions import SnipeleadError
from snipelead.types import Ran

__all__ = [
    'AttemptFencedError',
    'BadRequestError',
    'BodyTooLargeError',
    'CallError',
    'CallerDisconnectedError',
    'ClaimOutcomeUnknownError',
    'ClaimUnavailableError',
    'DeadlineExceededError',
    'DuplicateAttemptError',
    'InternalCallError',
    'KeyAlreadyClaimedError',
    'KeyMismatchError',
    'MisdirectedRequestError',
    'NoRouteError',
    'NoTargetError',
    'NodeNotReadyError',
    'NodeStoppingError',
    'OverloadedError',
    'QuarantinedError',
    'RateLimitedError',
    'RequestHeadTooLargeError',
    'RequestTimeoutError',
    'ResponseLostError',
    'StaleReleaseError',
    'TargetBusyError',
    'TargetCrashedError',
    'TargetLeavingError',
    'TargetUnreachableError',
    'TooManyConnectionsError',
    'UpgradeUnsupportedError',
    'WrongIncarnationError',
]

DEFAULT_RETRY_AFTER_MS = 1_000


class CallError(SnipeleadError):
    """The call failed; the node responded with an error of its own.

    Parameters
    ----------
    message : str
        Human-readable description.
    ran : Ran
        Whether a target executed the request.
    retry_after_ms : int or None
        Time in milliseconds after which the caller may retry.
    **details : object
        Named facts, kept as strings.
    """

    code = 'SL3000'
    status: ClassVar[int] = 503
    # Whether the request may succeed on another target.
    retry_on_other_target: ClassVar[bool] = False
    # Whether the request reached a target.
    reached_target: ClassVar[bool] = False
    # Load of the target that refused the request, if its node reports it.
    load = None

    def __init__(self, message, ran=Ran.NO, retry_after_ms=None, **details):
        super().__init__(message, retry_after_ms, **details)
        self.ran = ran


class BadRequestError(CallError):
    """The request is malformed or has an invalid header field."""

    code = 'SL3001'
    status = 400


class BodyTooLargeError(CallError):
    """The request body exceeds the size limit."""

    code = 'SL3002'
    status = 413


class NoRouteError(CallError):
    """No route of the current release matches the request."""

    code = 'SL3003'
    status = 404


class NodeNotReadyError(CallError):
    """The node does not know yet which release it may use."""

    code = 'SL3004'


class StaleReleaseError(CallError):
    """The node's release may lack what the newest release contains."""

    code = 'SL3034'


class NoTargetError(CallError):
    """No target of the service is available for the request."""

    code = 'SL3005'


class OverloadedError(CallError):
    """The target's queue is full, or the wait would exceed the deadline."""

    code = 'SL3006'
    retry_on_other_target = True


class RateLimitedError(OverloadedError):
    """The target states a rate limit that leaves no room for the request."""

    code = 'SL3026'


class QuarantinedError(CallError):
    """Copies of the request have crashed several targets; it was not sent."""

    code = 'SL3027'


class TargetLeavingError(CallError):
    """The target is leaving and accepts no new requests."""

    code = 'SL3007'
    retry_on_other_target = True


class WrongIncarnationError(CallError):
    """The request was sent to an earlier incarnation of the node."""

    code = 'SL3008'
    retry_on_other_target = True


class DuplicateAttemptError(CallError):
    """The node has received the same attempt before."""

    code = 'SL3009'
    status = 409


class AttemptFencedError(CallError):
    """The attempt was fenced before it was sent; it is never executed."""

    code = 'SL3010'
    retry_on_other_target = True


class TargetUnreachableError(CallError):
    """No connection could be opened; the request was not sent."""

    code = 'SL3011'
    retry_on_other_target = True


class ResponseLostError(CallError):
    """The request was sent, but no complete response was received."""

    code = 'SL3012'
    reached_target = True
    status = 502
    retry_on_other_target = True


class TargetCrashedError(ResponseLostError):
    """The target ended while it was running the request."""

    code = 'SL3028'


class TargetBusyError(CallError):
    """The target is at its limit and did not execute the request.

    Parameters
    ----------
    message : str
        Human-readable description.
    response : Message or None
        Response of the target; its connection may be reused.
    **details : object
        Named facts, kept as strings.
    """

    code = 'SL3024'
    reached_target = True
    retry_on_other_target = True

    def __init__(self, message, response=None, **details):
        super().__init__(message, **details)
        self.response = response


class MisdirectedRequestError(CallError):
    """Another target now has the address; it did not execute the request."""

    code = 'SL3025'
    reached_target = True
    retry_on_other_target = True


class DeadlineExceededError(CallError):
    """The deadline of the request passed."""

    code = 'SL3013'
    status = 504


class KeyAlreadyClaimedError(CallError):
    """The idempotency key was claimed by an earlier request."""

    code = 'SL3014'
    status = 409


class KeyMismatchError(CallError):
    """The idempotency key was claimed by a different request."""

    code = 'SL3015'
    status = 422


class ClaimUnavailableError(CallError):
    """The idempotency key could not be claimed; nothing was sent."""

    code = 'SL3016'


class ClaimOutcomeUnknownError(CallError):
    """It is unknown whether the idempotency key was claimed.

    The request was not executed, since nothing was sent to a target.
    """

    code = 'SL3017'


class NodeStoppingError(CallError):
    """The node is stopping and accepts no new requests."""

    code = 'SL3018'
    retry_on_other_target = True


class TooManyConnectionsError(CallError):
    """The node has reached its limit of caller connections."""

    code = 'SL3019'


class CallerDisconnectedError(CallError):
    """The caller disconnected before its request was complete."""

    code = 'SL3020'
    status = 400


class RequestHeadTooLargeError(CallError):
    """The request head exceeds the size limit."""

    code = 'SL3021'
    status = 431


class UpgradeUnsupportedError(CallError):
    """The caller requested a protocol upgrade."""

    code = 'SL3022'
    status = 501


class InternalCallError(CallError):
    """An unexpected error occurred in the node."""

    code = 'SL3023'
    status = 500


class RequestTimeoutError(CallError):
    """The request was not received completely in time."""

    code = 'SL3060'
    status = 408
