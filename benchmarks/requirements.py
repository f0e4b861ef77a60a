"""The size that the system has to carry in the long run."""

from msgspec import Struct

__all__ = ['REQUIREMENTS', 'Requirements']

SECONDS_PER_DAY = 86_400


class Requirements(Struct, frozen=True, kw_only=True):
    """Sizes and limits; see docs/CAPACITY.md."""

    nodes: int = 3_400
    services: int = 230
    calls_per_s: float = 1.1e6
    depth: int = 15
    changes_per_day: int = 8_400
    restarts_per_day: int = 760
    regions: int = 3
    zones: int = 12
    control_vms: int = 11
    convergence_s: float = 17.0
    added_ms: float = 0.48
    node_core_percent: float = 3.3
    node_mb: float = 256.0
    node_bytes_per_s: float = 4_000.0

    @property
    def changes_per_s(self):
        """Mean rate of accepted releases."""
        return self.changes_per_day / SECONDS_PER_DAY

    @property
    def restarts_per_s(self):
        """Mean rate of restarts of targets."""
        return self.restarts_per_day / SECONDS_PER_DAY

    @property
    def calls_per_node_s(self):
        """Mean rate of calls that callers bring to one node."""
        return self.calls_per_s / self.nodes

    @property
    def nodes_per_control(self):
        """Nodes that poll one control."""
        return self.nodes / self.control_vms

    @property
    def targets_per_service(self):
        """Mean number of targets of a service."""
        return self.nodes / self.services


REQUIREMENTS = Requirements()
