"""Number of requests that a local target takes at a time.

Answers targets that refuse requests or reset connections when they are full:
after a reset the outcome of a request is unknown, so a target must never be
sent more than it takes.
"""

from collections import deque
from math import inf

__all__ = ['TargetCapacity']

# Connections to a target that are left to health checks.
RESERVED_CONNECTIONS = 1
# Refusals and resets within this time have the same cause.
EPISODE_S = 0.25
# A full target resets a connection as soon as it reads the request. Requests
# that were sent earlier are lost for other reasons, such as a restart.
PROMPT_RESET_S = 0.1
# Refusals and resets also have other causes than a full target: one that fails
# part of its requests refuses them whatever its load. Fewer requests in flight
# than this share of the stated slots therefore tell nothing about its limit,
# and the limit is not lowered further.
MIN_SHARE_AFTER_REFUSALS = 0.75
MIN_SHARE_AFTER_RESETS = 0.5
# After this time without a refusal the limit rises by one. The time doubles
# with each refusal or reset at a learned limit, up to one of the others. A
# refusal costs its caller nothing, but the outcome of a reset is unknown.
GROWTH_INTERVAL_S = 2.0
MAX_INTERVAL_AFTER_REFUSALS_S = 4.0
MAX_INTERVAL_AFTER_RESETS_S = 30.0
# A slot whose request was cancelled stays in use for this time, in which the
# target notices that the connection was closed. If the target refuses a
# request shortly after a cancellation, the time doubles up to the second
# value, since the target seems to finish what was cancelled.
MIN_HOLD_S = 0.05
MAX_HOLD_S = 0.8
CANCELLATION_MEMORY_S = 1.0


class TargetCapacity:
    """Learns how many of its stated slots a target really has.

    Attributes
    ----------
    learned : float
        Learned limit of requests in flight; infinite if none was learned.
    incarnation : Incarnation or None
        Incarnation of the target that the limit belongs to.
    changed_at, refused_at : float
        Times in seconds of the last change or refusal, and of the last
        refusal.
    growth_interval_s : float
        Time without a refusal after which the limit rises.
    hold_s : float
        Time for which the slot of a cancelled request stays in use.
    cancelled_at : float
        Time in seconds of the last cancellation.
    held : deque of tuple
        Slots of cancelled requests: when each becomes free, and its call.
    """

    def __init__(self):
        self.incarnation = None
        self.held = deque()
        self._forget()

    @property
    def is_lowered(self):
        """Whether a limit below the stated slots was learned."""
        return self.learned < inf

    def _forget(self):
        self.learned = inf
        self.changed_at = -inf
        self.refused_at = -inf
        self.growth_interval_s = GROWTH_INTERVAL_S
        self.hold_s = MIN_HOLD_S
        self.cancelled_at = -inf

    def limit(self, entry):
        """Return the number of requests that may be in flight.

        Parameters
        ----------
        entry : TargetEntry
            Stated slots and connections of the target.
        """
        if entry.target_incarnation != self.incarnation:
            self.incarnation = entry.target_incarnation
            self._forget()
        connections = max(1, entry.connections - RESERVED_CONNECTIONS)
        return int(min(entry.slots, connections, self.learned))

    def record_refusal(self, in_flight, slots, now):
        """Record that the target refused a request because it was full.

        Parameters
        ----------
        in_flight : int
            Requests in flight, including the one that was refused.
        slots : int
            Stated slots of the target.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether the limit was lowered.
        """
        least = _least_limit(slots, MIN_SHARE_AFTER_REFUSALS)
        if in_flight <= least:
            return False
        return self._lower(
            max(least, in_flight - 1), now, MAX_INTERVAL_AFTER_REFUSALS_S
        )

    def record_reset(self, in_flight, slots, sent_at, now):
        """Record that the target reset a connection without a response.

        Parameters
        ----------
        in_flight : int
            Requests in flight, including the one that was lost.
        slots : int
            Stated slots of the target.
        sent_at, now : float
            When the request was sent, and the time, in seconds.

        Returns
        -------
        bool
            Whether the limit was lowered.
        """
        least = _least_limit(slots, MIN_SHARE_AFTER_RESETS)
        if in_flight <= least or now > sent_at + PROMPT_RESET_S:
            return False
        return self._lower(
            max(least, in_flight - 1), now, MAX_INTERVAL_AFTER_RESETS_S
        )

    def _lower(self, limit, now, max_interval_s):
        is_new = now >= self.refused_at + EPISODE_S
        self.changed_at = self.refused_at = now
        if is_new and now < self.cancelled_at + CANCELLATION_MEMORY_S:
            self.hold_s = min(MAX_HOLD_S, 2 * self.hold_s)
        if is_new and self.is_lowered:
            self.growth_interval_s = max(
                self.growth_interval_s,
                min(max_interval_s, 2 * self.growth_interval_s),
            )
        if limit >= self.learned:
            return False
        self.learned = limit
        return True

    def hold(self, call, now):
        """Keep the slot of a cancelled call in use for the hold time."""
        self.cancelled_at = now
        self.held.append((now + self.hold_s, call))

    def pop_held(self, now):
        """Remove and return the calls whose slots become free."""
        calls = []
        while self.held and self.held[0][0] <= now:
            calls.append(self.held.popleft()[1])
        return calls

    def grow(self, slots, now):
        """Raise the limit if it is time to.

        Returns
        -------
        bool
            Whether the limit was raised.
        """
        if (
            not self.is_lowered
            or now < self.changed_at + self.growth_interval_s
        ):
            return False
        self.changed_at = now
        self.learned += 1
        if self.learned >= slots:
            self._forget()
        return True


def _least_limit(slots, share):
    return max(1, int(slots * share))
