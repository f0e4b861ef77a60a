"""Behaviour of a stand-in target that can be changed at run time."""

import random

import msgspec
from msgspec import Struct
import trio

from snipelead.emulator.exceptions import InvalidBehaviourError
from snipelead.settings.schema import HealthClaim
from snipelead.settings.schema import ServiceTimes

__all__ = ['Behaviour', 'BehaviourChange']

# A cold target takes this many times as long at first.
COLD_FACTOR = 5.0


class BehaviourChange(Struct, frozen=True, forbid_unknown_fields=True):
    """Change of behaviour; what is None stays as it is.

    Parameters
    ----------
    slowdown : float or None
        Factor on all service times.
    health : HealthClaim or None
        What the health endpoint claims.
    load : float or None
        What the load endpoint claims; negative for the truth.
    frozen : bool or None
        Whether requests hang.
    fails : bool or None
        Whether requests run and are answered with status 500.
    """

    slowdown: float | None = None
    health: HealthClaim | None = None
    load: float | None = None
    frozen: bool | None = None
    fails: bool | None = None


class Behaviour:
    """How a stand-in target behaves now.

    Parameters
    ----------
    settings : TargetSettings
        Behaviour at the start.
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

    def change(self, encoded):
        """Apply a JSON-encoded :class:`BehaviourChange`.

        Raises
        ------
        InvalidBehaviourError
            If it cannot be read; nothing changes then.
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

    def service_time_s(self, given_ms=None):
        """Draw the service time of one request, in seconds.

        Parameters
        ----------
        given_ms : float or None
            Time asked for by the request in place of a drawn one.
        """
        mean_s = self.settings.service_time_ms / 1_000
        if given_ms is not None:
            time_s = given_ms / 1_000
        elif self.settings.service_times is ServiceTimes.FIXED:
            time_s = mean_s
        else:
            time_s = self.random.expovariate(1 / mean_s) if mean_s else 0.0
        return time_s * self.slowdown * self._cold_factor()

    def _cold_factor(self):
        cold_s = self.settings.cold_start_ms / 1_000
        age_s = trio.current_time() - self.started_at
        if age_s >= cold_s:
            return 1.0
        return COLD_FACTOR - (COLD_FACTOR - 1) * age_s / cold_s
