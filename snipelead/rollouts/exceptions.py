"""Errors of rollouts."""

from snipelead.exceptions import SnipeleadError

__all__ = [
    'InvalidRolloutError',
    'RolloutConflictError',
    'UnknownRolloutServiceError',
]


class RolloutConflictError(SnipeleadError):
    """Another rollout of the service is in progress; nothing was changed."""

    code = 'SL2020'


class UnknownRolloutServiceError(SnipeleadError):
    """No release names the service; nothing was changed."""

    code = 'SL2021'


class InvalidRolloutError(SnipeleadError):
    """The order of a rollout has an invalid version or duration."""

    code = 'SL2022'
