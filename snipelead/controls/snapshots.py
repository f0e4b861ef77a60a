"""Bound on the whole snapshots that are under way at a time."""

import random

import trio

from snipelead.controls.polling import MS_PER_S

__all__ = ['SnapshotLimiter']

# A node that does not acknowledge a snapshot for this long frees its place.
SLOT_TIMEOUT_S = 5.0
INITIAL_SERVICE_TIME_S = 0.05
MAX_SERVICE_TIME_S = 0.5
MAX_RETRY_DELAY_S = 10.0
SERVICE_TIME_SMOOTHING = 0.1


class SnapshotLimiter:
    """Admits a bounded number of snapshots and tells the rest when to return.

    A snapshot is under way from its admission until the node's next poll,
    or until ``HOLD_LIMIT_S``. The others are given turns one after another,
    spaced by the measured time of a snapshot.

    Parameters
    ----------
    limit : int
        Snapshots under way at a time.
    rng : random.Random or None
        Source of jitter.

    Attributes
    ----------
    peak : int
        Most snapshots that were under way at a time.
    admissions : int
        Snapshots that were admitted.
    refused : int
        Requests that were told to come back.
    """

    def __init__(self, limit, rng=None):
        self.limit = limit
        self.rng = rng or random.Random()
        self.peak = 0
        self.refused = 0
        self.admissions = 0
        self.service_time_s = INITIAL_SERVICE_TIME_S
        self._admitted = {}
        self._next_retry_at = 0.0

    def admit(self, node_id):
        """Take a place; returns 0, or the milliseconds to come back in."""
        now = trio.current_time()
        self._expire_slots(now)
        if node_id not in self._admitted and len(self._admitted) >= self.limit:
            return self._refuse(now)
        self._admitted[node_id] = now
        self.admissions += 1
        self.peak = max(self.peak, len(self._admitted))
        return 0

    def finish(self, node_id):
        """Free the place of a node that polled again."""
        admitted_at = self._admitted.pop(node_id, None)
        if admitted_at is None:
            return
        # A node that gave up meanwhile says nothing about snapshots.
        duration_s = min(trio.current_time() - admitted_at, MAX_SERVICE_TIME_S)
        self.service_time_s += SERVICE_TIME_SMOOTHING * (
            duration_s - self.service_time_s
        )

    def _refuse(self, now):
        """Give the node a turn after all turns given before."""
        self.refused += 1
        interval_s = self.service_time_s / self.limit
        self._next_retry_at = max(self._next_retry_at, now) + interval_s
        delay_s = min(MAX_RETRY_DELAY_S, self._next_retry_at - now)
        # Jitter of one turn of all places keeps returns from colliding.
        delay_s += self.rng.uniform(0, self.service_time_s)
        return int(MS_PER_S * delay_s) + 1

    def _expire_slots(self, now):
        """Free the places of nodes that did not come back."""
        for node_id, admitted_at in list(self._admitted.items()):
            if admitted_at + SLOT_TIMEOUT_S <= now:
                del self._admitted[node_id]
