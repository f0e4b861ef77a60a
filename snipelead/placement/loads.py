"""Newest loads of targets that a process has received."""

from math import inf

from msgspec.structs import replace

__all__ = ['LoadTable', 'ReceivedLoad']

# Loads older than this say nothing about the next request: a target finishes
# most requests within this time.
MAX_LOAD_AGE_S = 3.0
_MS_PER_S = 1_000


class ReceivedLoad:
    """A load and when it was measured, by the clock of this process.

    Parameters
    ----------
    load : TargetLoad
        The load.
    measured_at : float
        When it was measured, in seconds of trio's clock.
    """

    __slots__ = ('load', 'measured_at')

    def __init__(self, load, measured_at):
        self.load = load
        self.measured_at = measured_at


class LoadTable:
    """Newest load of each target, from reports that may overtake each other.

    Attributes
    ----------
    by_target : dict of TargetId to ReceivedLoad
        Newest loads; old ones are dropped by :meth:`expire`.
    """

    def __init__(self):
        self.by_target = {}

    def merge(self, loads, received_at):
        """Take over loads that are newer than the known ones.

        Parameters
        ----------
        loads : iterable of TargetLoad
            Loads with their age at the time of sending.
        received_at : float
            Time in seconds of trio's clock.

        Returns
        -------
        list of ReceivedLoad
            Those that were newer.
        """
        newer = []
        for load in loads:
            measured_at = received_at - load.age_ms / _MS_PER_S
            known = self.by_target.get(load.target_id)
            if known is not None and known.measured_at >= measured_at:
                continue
            received = ReceivedLoad(load, measured_at)
            self.by_target[load.target_id] = received
            newer.append(received)
        return newer

    def expire(self, now):
        """Drop loads that are too old to be of use."""
        self.by_target = {
            target_id: received
            for target_id, received in self.by_target.items()
            if now - received.measured_at <= MAX_LOAD_AGE_S
        }

    def select(self, now, services=None, max_age_s=inf):
        """Return loads with their age at ``now``.

        Parameters
        ----------
        now : float
            Time in seconds of trio's clock.
        services : collection of ServiceName or None
            Services of the targets; None for all.
        max_age_s : float
            Older loads are left out.

        Returns
        -------
        tuple of TargetLoad
        """
        return tuple(
            replace(
                received.load,
                age_ms=int((now - received.measured_at) * _MS_PER_S),
            )
            for received in self.by_target.values()
            if (services is None or received.load.service in services)
            and now - received.measured_at <= max_age_s
        )
