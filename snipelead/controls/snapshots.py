"""Limit on the number of full snapshots in flight."""

import random

import trio

from snipelead.controls.polling import MS_PER_S

__all__ = ['SnapshotLimiter']

# The slot of a node that does not poll again within this time is freed.
SLOT_TIMEOUT_S = 5.0
INITIAL_SERVICE_TIME_S = 0.05
MAX_SERVICE_TIME_S = 0.5
MAX_RETRY_DELAY_S = 10.0
SERVICE_TIME_SMOOTHING = 0.1


class SnapshotLimiter:
    """Limits concurrent snapshots and schedules retries of the other nodes.

    A snapshot is in flight from its admission until the node's next poll,
    for at most ``SLOT_TIMEOUT_S``. Nodes that are refused get retry times
    spaced by the measured service time of a snapshot.

    Parameters
    ----------
    limit : int
        Maximum number of snapshots in flight.
    rng : random.Random or None
        Source of jitter.

    Attributes
    ----------
    peak_in_flight : int
        Highest number of snapshots that were in flight.
    admissions : int
        Number of admitted snapshots.
    refusals : int
        Number of requests that were told to retry later.
    service_time_s : float
        Moving average of the time between admission and next poll.
    """

    def __init__(self, limit, rng=None):
        self.limit = limit
        self.rng = rng or random.Random()
        self.peak_in_flight = 0
        self.refusals = 0
        self.admissions = 0
        self.service_time_s = INITIAL_SERVICE_TIME_S
        self._admitted_at = {}
        self._next_retry_at = 0.0

    def admit(self, node_id):
        """Admit a snapshot if there is a free slot.

        Returns
        -------
        int
            0 if admitted, else the delay in milliseconds after which the
            node should retry.
        """
        now = trio.current_time()
        self._expire_slots(now)
        if (
            node_id not in self._admitted_at
            and len(self._admitted_at) >= self.limit
        ):
            return self._refuse(now)
        self._admitted_at[node_id] = now
        self.admissions += 1
        self.peak_in_flight = max(self.peak_in_flight, len(self._admitted_at))
        return 0

    def finish(self, node_id):
        """Free the slot of a node that polled again, if it holds one."""
        admitted_at = self._admitted_at.pop(node_id, None)
        if admitted_at is None:
            return
        # Capped, because a node that gave up in the meantime does not measure
        # the time of a snapshot.
        duration_s = min(trio.current_time() - admitted_at, MAX_SERVICE_TIME_S)
        self.service_time_s += SERVICE_TIME_SMOOTHING * (
            duration_s - self.service_time_s
        )

    def _refuse(self, now):
        """Schedule a retry after all retries scheduled before."""
        self.refusals += 1
        interval_s = self.service_time_s / self.limit
        self._next_retry_at = max(self._next_retry_at, now) + interval_s
        delay_s = min(MAX_RETRY_DELAY_S, self._next_retry_at - now)
        # Jitter of one service time keeps retries from colliding.
        delay_s += self.rng.uniform(0, self.service_time_s)
        return int(MS_PER_S * delay_s) + 1

    def _expire_slots(self, now):
        """Free the slots of nodes that did not poll again in time."""
        for node_id, admitted_at in list(self._admitted_at.items()):
            if admitted_at + SLOT_TIMEOUT_S <= now:
                del self._admitted_at[node_id]
