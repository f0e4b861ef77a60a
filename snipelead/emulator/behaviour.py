"""Run-time configurable behaviour of an emulated target."""

import random

import msgspec
from msgspec import Struct
import trio

from snipelead.emulator.exceptions import InvalidBehaviourError
from snipelead.settings.schema import HealthMode
from snipelead.settings.schema import ServiceTimeDistribution

__all__ = ['Behaviour', 'BehaviourChange']

# Factor on the service time right after a cold start; falls linearly to 1.
COLD_START_SLOWDOWN = 5.0


class BehaviourChange(Struct, frozen=True, forbid_unknown_fields=True):
    """Change of behaviour; fields that are None stay unchanged.

    Parameters
    ----------
    slowdown : float or None
        Factor by which service times are multiplied.
    health : HealthMode or None
        State that the health endpoint reports.
    load : float or None
        Load that the load endpoint reports; a negative value reports the
        measured load.
    frozen : bool or None
        Whether requests hang until the target is unfrozen.
    fails : bool or None
        Whether requests run but get a response with status 500.
    """

    slowdown: float | None = None
    health: HealthMode | None = None
    load: float | None = None
    frozen: bool | None = None
    fails: bool | None = None


class Behaviour:
    """Current behaviour of an emulated target.

    Parameters
    ----------
    settings : TargetSettings
        Initial behaviour.
    """

    def __init__(self, settings):
        self.settings = settings
        self.slowdown = 1.0
        self.health = settings.health
        self.load = -1.0
        self.frozen = False
        self.fails = False
        self.started_at = 0.0
        self.random = random.Random(settings.seed)

    def start(self):
        """Begin the cold start."""
        self.started_at = trio.current_time()

    def apply(self, encoded):
        """Apply a JSON-encoded :class:`BehaviourChange`.

        Parameters
        ----------
        encoded : bytes
            The change as JSON.

        Returns
        -------
        BehaviourChange

        Raises
        ------
        InvalidBehaviourError
            If the change is malformed; the behaviour then stays unchanged.
        """
        try:
            change = msgspec.json.decode(encoded, type=BehaviourChange)
        except msgspec.DecodeError as error:
            raise InvalidBehaviourError(str(error)) from error
        for name in BehaviourChange.__struct_fields__:
            value = getattr(change, name)
            if value is not None:
                setattr(self, name, value)
        return change

    def service_time_s(self, requested_ms=None):
        """Return the service time of one request, in seconds.

        Parameters
        ----------
        given_ms : float or None
            Service time given by the request, used in place of a random one.
        """
        mean_s = self.settings.service_time_ms / 1_000
        if requested_ms is not None:
            time_s = requested_ms / 1_000
        elif self.settings.service_times is ServiceTimeDistribution.FIXED:
            time_s = mean_s
        else:
            time_s = self.random.expovariate(1 / mean_s) if mean_s else 0.0
        return time_s * self.slowdown * self._cold_start_slowdown()

    def _cold_start_slowdown(self):
        cold_start_s = self.settings.cold_start_ms / 1_000
        age_s = trio.current_time() - self.started_at
        if age_s >= cold_start_s:
            return 1.0
        return (
            COLD_START_SLOWDOWN
            - (COLD_START_SLOWDOWN - 1) * age_s / cold_start_s
        )
