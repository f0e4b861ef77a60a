"""What targets state about themselves in their responses.

A target may state the rate of requests that it accepts from all nodes, and
that it is leaving. A status belongs to one incarnation of the target.
"""

from enum import Enum
from math import inf

from msgspec import Struct
import trio

from snipelead.logs import log_event
from snipelead.targets.events import LEAVING_STATED
from snipelead.targets.events import RATE_LIMIT_CHANGED
from snipelead.targets.events import RATE_LIMIT_ENDED
from snipelead.targets.events import RATE_LIMIT_INVALID
from snipelead.targets.events import RATE_LIMIT_STATED
from snipelead.utils.bounded_dict import BoundedDict

__all__ = ['KnownStatus', 'StatusSource', 'TargetStatus', 'TargetStatuses']

# Entries of targets that have ended are evicted beyond this number.
MAX_TRACKED_TARGETS = 10_000
# A change of the limit is logged if it differs by this factor from the value
# that was logged last.
LOGGED_CHANGE_FACTOR = 1.25
MAX_LOGGED_VALUE_CHARS = 40


class StatusSource(Enum):
    """How a node learned the status of a target."""

    # From a response of the target itself to a request.
    TARGET = 'target'
    # From its response to a health check or to an earlier request. It need not
    # state a limit that is in force.
    OTHER_RESPONSE = 'other-response'
    # From the node beside the target, with a response that it forwarded.
    TARGET_NODE = 'target-node'
    # From a node that forwards a request to a local target.
    CALLER_NODE = 'caller-node'


class TargetStatus(Struct, frozen=True):
    """Status of a target as stated in one response.

    Parameters
    ----------
    rate_limit : float or None
        Requests per second that the target accepts from all nodes together;
        None if the response states no limit.
    is_leaving : bool
        Whether the response states that the target is leaving.
    invalid_rate_limit : str
        Value that is not a valid rate limit; it is ignored. Empty if there is
        none.
    """

    rate_limit: float | None = None
    is_leaving: bool = False
    invalid_rate_limit: str = ''

    @property
    def is_empty(self):
        """Whether the response states nothing."""
        return self.rate_limit is None and not (
            self.is_leaving or self.invalid_rate_limit
        )


class KnownStatus:
    """What a node knows of the status of one incarnation of a target.

    Parameters
    ----------
    incarnation : Incarnation
        Incarnation of the target.

    Attributes
    ----------
    rate_limit : float or None
        Limit in force, in requests per second.
    stated_at : float
        When the limit was last stated, in seconds of trio's clock.
    is_leaving : bool
        Whether the target has stated that it is leaving; never taken back.
    is_observed : bool
        Whether this node has received a response of the target to a request.
    logged_rate_limit : float
        Limit that was logged last.
    has_logged_invalid : bool
        Whether an invalid limit was logged.
    """

    __slots__ = (
        'has_logged_invalid',
        'incarnation',
        'is_leaving',
        'is_observed',
        'logged_rate_limit',
        'rate_limit',
        'stated_at',
    )

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.rate_limit = None
        self.stated_at = -inf
        self.is_leaving = False
        self.is_observed = False
        self.logged_rate_limit = 0.0
        self.has_logged_invalid = False

    def update_rate_limit(self, rate_limit, sent_at, now):
        """Apply the limit that a response states.

        Responses may overtake each other. A lower limit applies at once; a
        higher one, or none, only if its request was sent after the limit in
        force was last stated.

        Parameters
        ----------
        rate_limit : float or None
            Stated limit; None if the response states none.
        sent_at : float
            When the request of the response was sent.
        now : float
            When the response was received. Both times are in seconds of
            trio's clock.

        Returns
        -------
        Event or None
            Event to log, if the limit has begun, ended or changed.
        """
        known = self.rate_limit
        if known is None and rate_limit is None:
            return None
        is_lower = rate_limit is not None and (
            known is None or rate_limit <= known
        )
        if not is_lower and sent_at <= self.stated_at:
            return None
        self.rate_limit = rate_limit
        if rate_limit is None:
            return RATE_LIMIT_ENDED
        self.stated_at = now
        if known is None:
            return RATE_LIMIT_STATED
        if self._is_logged_change(rate_limit):
            return RATE_LIMIT_CHANGED
        return None

    def _is_logged_change(self, rate_limit):
        lower, upper = sorted((rate_limit, self.logged_rate_limit))
        return upper > LOGGED_CHANGE_FACTOR * lower


class TargetStatuses:
    """Latest known status of each target.

    Attributes
    ----------
    by_target : dict of TargetId to KnownStatus
        Known statuses. Targets of other nodes have one only if they have
        stated something.
    leaving : dict of TargetId to Incarnation
        Incarnations that have stated that they are leaving.
    on_leaving : callable or None
        Called with the id and the incarnation of a local target that states
        for the first time that it is leaving.
    """

    def __init__(self):
        self.by_target = BoundedDict(MAX_TRACKED_TARGETS)
        self.leaving = BoundedDict(MAX_TRACKED_TARGETS)
        self.on_leaving = None

    def record(
        self,
        target_id,
        incarnation,
        status,
        sent_at,
        source=StatusSource.TARGET,
    ):
        """Record the status that a response states.

        Parameters
        ----------
        target_id : TargetId
            Target that sent the response.
        incarnation : Incarnation
            Its incarnation when the request was sent; a status of an earlier
            incarnation than the known one is ignored.
        status : TargetStatus
            Stated status.
        sent_at : float
            When the request was sent, in seconds of trio's clock.
        source : StatusSource
            How this node learned it.
        """
        if status.is_empty and source is StatusSource.OTHER_RESPONSE:
            return
        is_direct = source is StatusSource.TARGET
        known = self.by_target.get(target_id)
        if known is None or known.incarnation < incarnation:
            if status.is_empty and not is_direct:
                return
            known = self.by_target[target_id] = KnownStatus(incarnation)
        elif known.incarnation > incarnation:
            return
        known.is_observed |= is_direct
        if status.is_leaving and not known.is_leaving:
            self._mark_leaving(target_id, known, source)
        if status.invalid_rate_limit:
            _log_invalid_once(target_id, known, status.invalid_rate_limit)
            return
        self._update_rate_limit(
            target_id, known, status.rate_limit, sent_at, source
        )

    def adopt_rate_limit(self, target_id, incarnation, rate_limit):
        """Apply a limit that another node has learned of a local target.

        It is ignored once the target itself has responded to this process.

        Parameters
        ----------
        target_id : TargetId
            Local target.
        incarnation : Incarnation
            Incarnation of the target that stated the limit.
        rate_limit : float
            Limit in requests per second.
        """
        known = self.by_target.get(target_id)
        if known is not None and (
            known.incarnation == incarnation and known.is_observed
        ):
            return
        self.record(
            target_id,
            incarnation,
            TargetStatus(rate_limit),
            -inf,
            StatusSource.CALLER_NODE,
        )

    def find(self, target_id, incarnation):
        """Return the known status of an incarnation of a target, or None."""
        known = self.by_target.get(target_id)
        if known is None or known.incarnation != incarnation:
            return None
        return known

    def find_rate_limit(self, target_id, incarnation):
        """Return the limit of a target in requests per second, or None."""
        known = self.find(target_id, incarnation)
        return None if known is None else known.rate_limit

    def is_leaving(self, target_id, incarnation):
        """Return whether a target has stated that it is leaving."""
        leaving = self.leaving.get(target_id)
        return leaving is not None and leaving >= incarnation

    def _mark_leaving(self, target_id, known, source):
        known.is_leaving = True
        self.leaving[target_id] = known.incarnation
        log_event(LEAVING_STATED, target=target_id, source=source.value)
        is_local = source is not StatusSource.TARGET_NODE
        if is_local and self.on_leaving is not None:
            self.on_leaving(target_id, known.incarnation)

    def _update_rate_limit(
        self, target_id, known, rate_limit, sent_at, source
    ):
        previous = known.rate_limit
        event = known.update_rate_limit(
            rate_limit, sent_at, trio.current_time()
        )
        if event is not None:
            known.logged_rate_limit = known.rate_limit or 0.0
            log_event(
                event,
                target=target_id,
                limit=known.rate_limit,
                previous=previous,
                source=source.value,
            )


def _log_invalid_once(target_id, known, value):
    if known.has_logged_invalid:
        return
    known.has_logged_invalid = True
    log_event(
        RATE_LIMIT_INVALID,
        target=target_id,
        value=value[:MAX_LOGGED_VALUE_CHARS],
    )
