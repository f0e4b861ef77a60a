"""Size of the deployment that the system has to support."""

from msgspec import Struct

__all__ = ['REQUIREMENTS', 'Requirements']

SECONDS_PER_DAY = 86_400


class Requirements(Struct, frozen=True, kw_only=True):
    """Required size and limits; see docs/CAPACITY.md.

    Parameters
    ----------
    nodes, services, regions, zones, control_vms : int
        Numbers of nodes, services, regions, availability zones and VMs that
        run a control.
    calls_per_s : float
        Rate of calls from callers to all nodes.
    depth : int
        Required depth; the tables do not use it.
    changes_per_day, restarts_per_day : int
        Accepted releases and restarts of targets in a day.
    convergence_s : float
        Limit of the time until all nodes run a change.
    added_ms : float
        Limit of the latency that the system adds to a call.
    node_core_percent, node_mb, node_bytes_per_s : float
        Limits of a node: share of a core, memory, and bytes exchanged with
        controls.
    """

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
    def node_calls_per_s(self):
        """Mean rate of calls that one node receives from callers."""
        return self.calls_per_s / self.nodes

    @property
    def nodes_per_control(self):
        """Mean number of nodes that poll one control."""
        return self.nodes / self.control_vms

    @property
    def targets_per_service(self):
        """Mean number of targets of a service."""
        return self.nodes / self.services


REQUIREMENTS = Requirements()
