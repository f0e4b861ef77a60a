"""Errors that callers see.

Each carries the HTTP status of its answer and whether the request ran.
"""

from typing import ClassVar

from snipelead.exceptions import SnipeleadError
from snipelead.types import Ran

__all__ = [
    'AnswerLostError',
    'AttemptFencedError',
    'AttemptSeenError',
    'BadRequestError',
    'BodyTooLargeError',
    'CallError',
    'CallerDisconnectedError',
    'ClaimUnavailableError',
    'ClaimOutcomeUnknownError',
    'DeadlineExceededError',
    'RequestHeadTooLargeError',
    'InternalCallError',
    'KeyMismatchError',
    'KeyAlreadyClaimedError',
    'NoRouteError',
    'NoTargetError',
    'NodeNotReadyError',
    'OverloadedError',
    'StoppingError',
    'TargetBusyError',
    'TargetLeavingError',
    'TargetMisplacedError',
    'TargetUnreachableError',
    'TooManyConnectionsError',
    'UpgradeUnsupportedError',
    'WrongIncarnationError',
]

DEFAULT_RETRY_AFTER_MS = 1_000


class CallError(SnipeleadError):
    """A call ended with an answer made by the system.

    Parameters
    ----------
    message : str
        Sentence for a person.
    ran : Ran
        Whether the request ran on a target.
    retry_after_ms : int or None
        When to come back.
    """

    code = 'SL3000'
    status: ClassVar[int] = 503
    # Whether another target may do better.
    retry_on_other_target: ClassVar[bool] = False
    # Whether the request reached a target.
    reached_target: ClassVar[bool] = False

    def __init__(self, message, ran=Ran.NO, retry_after_ms=None, **details):
        super().__init__(message, retry_after_ms, **details)
        self.ran = ran


class BadRequestError(CallError):
    """The caller sent something that is not a valid request."""

    code = 'SL3001'
    status = 400


class BodyTooLargeError(CallError):
    """The request body exceeds the limit."""

    code = 'SL3002'
    status = 413


class NoRouteError(CallError):
    """No route of the release in force matches the request."""

    code = 'SL3003'
    status = 404


class NodeNotReadyError(CallError):
    """The node does not know yet which release it may run."""

    code = 'SL3004'


class NoTargetError(CallError):
    """No target of the service can take the request."""

    code = 'SL3005'


class OverloadedError(CallError):
    """The target's queue is full or too slow for the deadline."""

    code = 'SL3006'
    retry_on_other_target = True


class TargetLeavingError(CallError):
    """The target is leaving and takes no new work."""

    code = 'SL3007'
    retry_on_other_target = True


class WrongIncarnationError(CallError):
    """The request was meant for an earlier incarnation of the node."""

    code = 'SL3008'
    retry_on_other_target = True


class AttemptSeenError(CallError):
    """The same attempt was received before."""

    code = 'SL3009'
    status = 409


class AttemptFencedError(CallError):
    """The attempt was withdrawn before it was admitted; it never ran."""

    code = 'SL3010'
    retry_on_other_target = True


class TargetUnreachableError(CallError):
    """No connection could be opened, so nothing was sent."""

    code = 'SL3011'
    retry_on_other_target = True


class AnswerLostError(CallError):
    """The request was sent, but no whole answer came back."""

    code = 'SL3012'
    reached_target = True
    status = 502
    retry_on_other_target = True


class TargetBusyError(CallError):
    """The target said that it is full and did not run the request.

    Parameters
    ----------
    message : str
        Sentence for a person.
    response : Message or None
        What the target said; its connection may be kept.
    """

    code = 'SL3024'
    reached_target = True
    retry_on_other_target = True

    def __init__(self, message, response=None, **details):
        super().__init__(message, **details)
        self.response = response


class TargetMisplacedError(CallError):
    """Another target has the address now; it did not run the request."""

    code = 'SL3025'
    reached_target = True
    retry_on_other_target = True


class DeadlineExceededError(CallError):
    """The deadline of the request has passed."""

    code = 'SL3013'
    status = 504


class KeyAlreadyClaimedError(CallError):
    """A request with the same idempotency key was sent before."""

    code = 'SL3014'
    status = 409


class KeyMismatchError(CallError):
    """The idempotency key belongs to another request."""

    code = 'SL3015'
    status = 422


class ClaimUnavailableError(CallError):
    """The idempotency key cannot be claimed now; nothing was sent."""

    code = 'SL3016'


class ClaimOutcomeUnknownError(CallError):
    """The answer to a claim was lost; the key's state is unknown.

    This attempt did not run, since nothing was sent to a target.
    """

    code = 'SL3017'


class StoppingError(CallError):
    """The node is stopping and takes no new work."""

    code = 'SL3018'
    retry_on_other_target = True


class TooManyConnectionsError(CallError):
    """The node has as many caller connections as it accepts."""

    code = 'SL3019'


class CallerDisconnectedError(CallError):
    """The caller went away before its request was complete."""

    code = 'SL3020'
    status = 400


class RequestHeadTooLargeError(CallError):
    """The head of the request exceeds the limit."""

    code = 'SL3021'
    status = 431


class UpgradeUnsupportedError(CallError):
    """The caller asked for another protocol on its connection."""

    code = 'SL3022'
    status = 501


class InternalCallError(CallError):
    """The node failed in an unforeseen way while it handled the call."""

    code = 'SL3023'
    status = 500
