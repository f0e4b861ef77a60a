"""Routing policies that the call benchmark compares."""

from msgspec import Struct

from snipelead.routing.policies import Policy

__all__ = ['POLICIES', 'BenchPolicy']

DEFAULT_RETRY_RATIO = 0.1
# High enough that the retry budget is never exhausted.
UNLIMITED_RETRY_RATIO = 1_000.0


class BenchPolicy(Struct, frozen=True):
    """Routing policy and retry budget of a call path.

    Parameters
    ----------
    name : str
        Name in options and reports.
    choice : Policy
        Policy for the choice of a target.
    retry_ratio : float
        Allowed number of retries per first attempt.
    """

    name: str
    choice: Policy
    retry_ratio: float = DEFAULT_RETRY_RATIO


_ALL = (
    BenchPolicy('default', Policy.OBSERVED),
    BenchPolicy('random', Policy.RANDOM),
    BenchPolicy('round-robin', Policy.ROUND_ROBIN),
    BenchPolicy('least-connections', Policy.LEAST_CONNECTIONS),
    BenchPolicy('no-budget', Policy.OBSERVED, UNLIMITED_RETRY_RATIO),
)

POLICIES = {policy.name: policy for policy in _ALL}
