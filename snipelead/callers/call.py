"""State of a call while a node handles it."""

from msgspec import Struct
import trio

from snipelead.admission.standing import NO_STANDING
from snipelead.callers.exceptions import DeadlineExceededError
from snipelead.releases.document import DEFAULT_MAX_ATTEMPTS
from snipelead.types import AttemptId
from snipelead.types import Incarnation
from snipelead.types import Ran
from snipelead.types import ReleaseNumber
from snipelead.types import RequestClass
from snipelead.types import RouteName
from snipelead.types import TargetId
from snipelead.types import TenantName

__all__ = [
    'AuthenticatedCallMetadata',
    'Call',
    'CallMetadata',
    'JudgedCallMetadata',
]

# Deadlines up to this long are set on the cancel scope at once. It is twice
# the interval at which the watcher sets longer ones.
SHORT_DEADLINE_S = 0.1
_RAN_RANK = {Ran.NO: 0, Ran.UNKNOWN: 1, Ran.YES: 2}


class CallMetadata(Struct, frozen=True, array_like=True):
    """Metadata that accompanies a request forwarded to the target's node.

    Parameters
    ----------
    target_id : TargetId
        Selected target.
    incarnation : Incarnation
        Incarnation of the target's node as known to the sender.
    attempt_id : AttemptId
        Unique id of this attempt.
    request_class : RequestClass
        Service class.
    tenant : TenantName
        Tenant of the request.
    at_most_once : bool
        Whether the attempt must be admitted at most once.
    deadline_ms : int
        Time until the deadline, in milliseconds.
    route : RouteName
        Route of the request. Service times are averaged by route.
    request_id : str
        Id that the caller gave this request.
    priority : int
        Priority of the route; 0 is the highest.
    latency_remaining_ms : int or None
        Time left to meet the route's latency objective, in milliseconds; None
        if the route has no latency objective.
    """

    target_id: TargetId
    incarnation: Incarnation
    attempt_id: AttemptId
    request_class: RequestClass
    tenant: TenantName
    at_most_once: bool
    deadline_ms: int
    route: RouteName = RouteName('')
    request_id: str = ''
    priority: int = 0
    latency_remaining_ms: int | None = None


class JudgedCallMetadata(CallMetadata, frozen=True, array_like=True):
    """Metadata of a request that does not have the usual standing.

    A type of its own, since the metadata of other requests must not grow.

    Parameters
    ----------
    standing : int
        Encoded :class:`~snipelead.admission.standing.RequestStanding`.
    """

    standing: int = 0


class AuthenticatedCallMetadata(
    JudgedCallMetadata, frozen=True, array_like=True
):
    """Metadata of a request that a customer may have authenticated.

    A type of its own, since the metadata of other requests must not grow.

    Parameters
    ----------
    authenticated_in : ReleaseNumber or None
        Release in which the request's API key belongs to the customer that
        ``tenant`` names; None if no customer was identified.
    """

    authenticated_in: ReleaseNumber | None = None


class Call:
    """State of one call.

    All points in time are in seconds of trio's clock.

    Parameters
    ----------
    request_class : RequestClass
        Service class.
    tenant : TenantName
        Tenant of the request.
    at_most_once : bool
        Whether at most one attempt may reach a target.
    deadline_ms : int
        Time from ``started_at`` until the deadline, in milliseconds.
    started_at : float or None
        Time at which the request was read; None for now.

    Attributes
    ----------
    started_at : float
        Time at which the request was read.
    deadline : float
        Time by which the response must have been received.
    scope : trio.CancelScope or None
        Cancelled at the deadline or when the caller disconnects.
    ran : Ran
        Whether the current attempt was executed; NO until it is sent.
    earlier_ran : Ran
        Whether any earlier attempt was executed.
    caller_disconnected : bool
        Whether the caller has disconnected.
    response_received : bool
        Whether the head of the response has been received; the watcher does
        not set the deadline from then on.
    response_started : bool
        Whether sending of the response has started.
    attempts : int
        Number of attempts started.
    sent_attempts : int
        Number of attempts that may have reached a target.
    max_attempts : int
        Limit of ``sent_attempts``.
    route : RouteName
        Route of the request.
    request_id : str
        Id that the caller gave this request.
    is_sampled : bool
        Whether all log lines about the request are written.
    priority : int
        Priority of the route; 0 is the highest.
    latency_deadline : float or None
        Time until which the response meets the route's latency objective.
    standing : RequestStanding
        What distinguishes the request from others of its route.
    status : int
        HTTP status of the response; 0 before there is one.
    admission : Admission or None
        Token of the customer's rate limit; None if it is not limited.
    slot_acquired_at : float
        Time at which the call acquired a slot of the target; 0 without one.
    queue_wait_s : float
        Time spent in the target's queue, in seconds.
    target_time_s : float
        Time until the target began to respond, in seconds.
    authorization : Authorization or None
        Permission to run the request for a customer; None if no customer was
        identified.
    """

    __slots__ = (
        'admission',
        'at_most_once',
        'attempts',
        'authorization',
        'caller_disconnected',
        'deadline',
        'earlier_ran',
        'is_sampled',
        'latency_deadline',
        'max_attempts',
        'priority',
        'queue_wait_s',
        'ran',
        'request_class',
        'request_id',
        'response_received',
        'response_started',
        'route',
        'scope',
        'sent_attempts',
        'slot_acquired_at',
        'standing',
        'started_at',
        'status',
        'target_time_s',
        'tenant',
    )

    def __init__(
        self,
        request_class,
        tenant,
        at_most_once,
        deadline_ms,
        started_at=None,
    ):
        self.request_class = request_class
        self.tenant = tenant
        self.at_most_once = at_most_once
        if started_at is None:
            started_at = trio.current_time()
        self.started_at = started_at
        self.deadline = self.started_at + deadline_ms / 1_000
        self.scope = None
        self.ran = Ran.NO
        self.earlier_ran = Ran.NO
        self.caller_disconnected = False
        self.response_received = False
        self.response_started = False
        self.sent_attempts = 0
        self.max_attempts = DEFAULT_MAX_ATTEMPTS
        self.route = RouteName('')
        self.request_id = ''
        self.is_sampled = False
        self.priority = 0
        self.latency_deadline = None
        self.admission = None
        self.attempts = 0
        self.queue_wait_s = 0.0
        self.target_time_s = 0.0
        self.slot_acquired_at = 0.0
        self.standing = NO_STANDING
        self.status = 0
        self.authorization = None

    @property
    def outcome(self):
        """Whether any attempt was executed."""
        return max(self.ran, self.earlier_ran, key=_RAN_RANK.get)

    def begin_attempt(self):
        """Start a new attempt, merging ``ran`` into ``earlier_ran``."""
        self.earlier_ran = self.outcome
        self.ran = Ran.NO
        self.attempts += 1

    def use_scope(self, scope):
        """Run the call in a cancel scope from now on.

        Changing the deadline of a cancel scope is expensive, so only short
        deadlines are set here. The watcher sets those of calls that are
        still running when it next runs.
        """
        self.scope = scope
        if self.deadline - self.started_at <= SHORT_DEADLINE_S:
            self.apply_deadline()

    def apply_deadline(self):
        """Set the deadline on the cancel scope."""
        self.scope.deadline = self.deadline

    def check_deadline(self):
        """Check that the deadline has not passed.

        A process that was paused may run before the watcher has cancelled
        the call.

        Raises
        ------
        DeadlineExceededError
            If the deadline has passed.
        """
        if trio.current_time() >= self.deadline:
            raise DeadlineExceededError(
                'the deadline of the request has passed'
            )

    def check_sendable(self):
        """Check deadline and authorization right before a request is sent.

        Raises
        ------
        CallError
            If the deadline has passed, or the customer's API key may have
            been revoked.
        """
        self.check_deadline()
        self.check_authorization()

    def check_authorization(self):
        """Check that the customer's API key is still valid; after each wait.

        Raises
        ------
        CallError
            If the key may have been revoked.
        """
        if self.authorization is not None:
            self.authorization.check()

    def remaining_ms(self):
        """Return the time until the deadline in milliseconds, at least 0."""
        return max(0, int((self.deadline - trio.current_time()) * 1_000))

    def age_ms(self):
        """Return the time since the request was read, in milliseconds."""
        return int((trio.current_time() - self.started_at) * 1_000)

    def abandon(self):
        """Cancel the call because its caller has disconnected."""
        self.caller_disconnected = True
        self.scope.cancel()

    def make_metadata(self, entry, attempt_id, margin_ms):
        """Return the metadata to forward to the target's node.

        Parameters
        ----------
        entry : TargetEntry
            Selected target.
        attempt_id : AttemptId
            Unique id of the attempt.
        margin_ms : int
            Time subtracted from the deadline, in milliseconds.

        Returns
        -------
        CallMetadata
        """
        values = (
            entry.target_id,
            entry.incarnation,
            attempt_id,
            self.request_class,
            self.tenant,
            self.at_most_once,
            max(1, self.remaining_ms() - margin_ms),
            self.route,
            self.request_id,
            self.priority,
            self._latency_remaining_ms(),
        )
        standing = self.standing.encode()
        if self.authorization is not None:
            return AuthenticatedCallMetadata(
                *values, standing, self.authorization.release
            )
        if standing:
            return JudgedCallMetadata(*values, standing)
        return CallMetadata(*values)

    def set_latency_deadline(self, remaining_ms):
        """Set the time left to meet the latency objective.

        Parameters
        ----------
        remaining_ms : int or None
            Time left in milliseconds; None if there is no latency objective.
        """
        if remaining_ms is not None:
            self.latency_deadline = trio.current_time() + remaining_ms / 1_000

    def latency_remaining_s(self):
        """Return the time left to meet the latency objective, in seconds.

        Returns
        -------
        float or None
            None if there is no latency objective.
        """
        if self.latency_deadline is None:
            return None
        return self.latency_deadline - trio.current_time()

    def _latency_remaining_ms(self):
        if self.latency_deadline is None:
            return None
        return int((self.latency_deadline - trio.current_time()) * 1_000)
