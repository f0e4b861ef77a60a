"""Errors of admission past the capacity of a service."""

from snipelead.callers.exceptions import OverloadedError

__all__ = ['NoCapacityError']


class NoCapacityError(OverloadedError):
    """No target is expected to answer in time; the request was not sent."""

    code = 'SL3050'
    retry_on_other_target = False
