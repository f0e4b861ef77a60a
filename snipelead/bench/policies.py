"""Policies that the bench of the call compares."""

from msgspec import Struct

from snipelead.routing.policies import Policy

__all__ = ['POLICIES', 'BenchPolicy']

DEFAULT_RETRY_RATIO = 0.1
# So many retries for each first attempt that the budget never runs out.
UNLIMITED_RETRY_RATIO = 1_000.0


class BenchPolicy(Struct, frozen=True):
    """A policy of the call path.

    Parameters
    ----------
    name : str
        Name in the reports.
    choice : Policy
        Choice of target.
    retry_ratio : float
        Retries allowed for each first attempt.
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
