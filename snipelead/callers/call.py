"""What the system knows of one call while it handles it."""

from msgspec import Struct
import trio

from snipelead.releases.document import DEFAULT_ATTEMPTS
from snipelead.types import AttemptId
from snipelead.types import Incarnation
from snipelead.types import Ran
from snipelead.types import RequestClass
from snipelead.types import RouteName
from snipelead.types import TargetId
from snipelead.types import TenantName

__all__ = ['Call', 'CallInfo']

# Shorter deadlines are set at once; twice the time between two looks of the
# watcher, in seconds.
SHORT_DEADLINE_S = 0.1
_RAN_RANK = {Ran.NO: 0, Ran.UNKNOWN: 1, Ran.YES: 2}


class CallInfo(Struct, frozen=True, array_like=True):
    """What a node tells the target's node about a forwarded request.

    Parameters
    ----------
    target_id : TargetId
        Target chosen.
    incarnation : Incarnation
        Incarnation of the target's node that the sender knows.
    attempt_id : AttemptId
        Unique id of this attempt.
    request_class : RequestClass
        Service class.
    tenant : TenantName
        Tenant.
    once : bool
        Whether the attempt must not be admitted twice.
    deadline_ms : int
        Time left, in milliseconds.
    route : RouteName
        Route of the request; its requests take similar times.
    request_id : str
        The caller's id of its attempt.
    priority : int
        Rank of the route, 0 first.
    latency_left_ms : int or None
        Time left until the answer is late, in milliseconds; None when the
        route states no target latency.
    """

    target_id: TargetId
    incarnation: Incarnation
    attempt_id: AttemptId
    request_class: RequestClass
    tenant: TenantName
    once: bool
    deadline_ms: int
    route: RouteName = RouteName('')
    request_id: str = ''
    priority: int = 0
    latency_left_ms: int | None = None


class Call:
    """One call.

    Attributes
    ----------
    request_class : RequestClass
        Service class.
    tenant : TenantName
        Tenant.
    once : bool
        Whether at most one attempt may reach a target.
    deadline : float
        When the answer must be there, in seconds of trio's clock.
    scope : trio.CancelScope or None
        Cancelled at the deadline or when the caller goes away.
    ran : Ran
        What is known of the current attempt; NO until it is sent.
    earlier_ran : Ran
        What is known of the earlier attempts.
    gone : bool
        Whether the caller went away.
    answered : bool
        Whether the answer is there; the deadline no longer counts.
    answering : bool
        Whether the answer has begun to be sent.
    attempts : int
        Attempts so far.
    sends : int
        Attempts that may have reached a target.
    max_attempts : int
        Most targets that the request may be sent to.
    route : RouteName
        Route of the request.
    request_id : str
        The caller's id of its attempt.
    is_sampled : bool
        Whether all log lines about the request are kept.
    priority : int
        Rank of the route, 0 first.
    latency_at : float or None
        When the answer becomes late, in seconds of trio's clock.
    status : int
        HTTP status of the answer, 0 before it.
    slot_at : float
        When it took a slot, in seconds of trio's clock; 0 without one.
    queue_wait_s, target_s : float
        Time in the queue and time that the target took, in seconds.
    """

    __slots__ = (
        'response_received',
        'response_started',
        'attempts',
        'deadline',
        'earlier_ran',
        'gone',
        'is_sampled',
        'latency_at',
        'max_attempts',
        'once',
        'priority',
        'queue_wait_s',
        'ran',
        'request_class',
        'request_id',
        'route',
        'scope',
        'sent_attempts',
        'slot_at',
        'started_at',
        'status',
        'target_s',
        'tenant',
    )

    def __init__(self, request_class, tenant, once, deadline_ms):
        self.request_class = request_class
        self.tenant = tenant
        self.once = once
        self.started_at = trio.current_time()
        self.deadline = self.started_at + deadline_ms / 1_000
        self.scope = None
        self.ran = Ran.NO
        self.earlier_ran = Ran.NO
        self.gone = False
        self.response_received = False
        self.response_started = False
        self.sent_attempts = 0
        self.max_attempts = DEFAULT_ATTEMPTS
        self.route = RouteName('')
        self.request_id = ''
        self.is_sampled = False
        self.priority = 0
        self.latency_at = None
        self.attempts = 0
        self.queue_wait_s = 0.0
        self.target_s = 0.0
        self.slot_at = 0.0
        self.status = 0

    @property
    def outcome(self):
        """What is known of all attempts together."""
        return max(self.ran, self.earlier_ran, key=_RAN_RANK.get)

    def begin_attempt(self):
        """Count an attempt and keep what is known of those before."""
        self.earlier_ran = self.outcome
        self.ran = Ran.NO
        self.attempts += 1

    def use_scope(self, scope):
        """Run in a cancel scope from here on.

        Changing the deadline of a scope costs time, so only short ones are
        set here; the watcher sets that of a call that takes long.
        """
        self.scope = scope
        if self.deadline - self.started_at <= SHORT_DEADLINE_S:
            self.apply_deadline()

    def apply_deadline(self):
        """Let the scope be cancelled at the deadline."""
        self.scope.deadline = self.deadline

    def remaining_ms(self):
        """Return the time left in whole milliseconds, at least 0."""
        return max(0, int((self.deadline - trio.current_time()) * 1_000))

    def age_ms(self):
        """Return the time since the request was read, in milliseconds."""
        return int((trio.current_time() - self.started_at) * 1_000)

    def abandon(self):
        """Cancel the call because its caller went away."""
        self.gone = True
        self.scope.cancel()

    def info(self, entry, attempt_id, margin_ms):
        """Return what the target's node is told of this call."""
        return CallInfo(
            entry.target_id,
            entry.incarnation,
            attempt_id,
            self.request_class,
            self.tenant,
            self.once,
            max(1, self.remaining_ms() - margin_ms),
            self.route,
            self.request_id,
            self.priority,
            self._latency_left_ms(),
        )

    def set_latency(self, left_ms):
        """Set when the answer becomes late; None for never."""
        if left_ms is not None:
            self.latency_at = trio.current_time() + left_ms / 1_000

    def _latency_left_ms(self):
        if self.latency_at is None:
            return None
        return int((self.latency_at - trio.current_time()) * 1_000)
