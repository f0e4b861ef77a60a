"""Measurements that lines are fitted to."""

from msgspec import Struct

__all__ = ['CallPoint', 'ClaimPoint', 'FleetPoint', 'SizePoint']


class CallPoint(Struct, frozen=True):
    """CPU time of nodes for a number of calls, in seconds.

    Parameters
    ----------
    calls : int
        Number of calls.
    local_s : float
        CPU time of a node for calls that it serves with its own target.
    origin_s, owner_s : float
        CPU time of the node that forwards the calls, and of the target's
        node for them.
    """

    calls: int
    local_s: float
    origin_s: float
    owner_s: float


class FleetPoint(Struct, kw_only=True):
    """Resource usage of controls and nodes for a number of nodes.

    Parameters
    ----------
    nodes : int
        Number of simulated nodes.
    idle_bytes_per_s, idle_control_cpu, idle_node_cpu : float
        While idle: bytes per second on all links of the nodes, in both
        directions, and shares of a core of the busiest control and of all
        nodes together.
    control_mb : float
        Largest resident memory of a control in megabytes.
    change_bytes, change_control_s, change_node_s : float
        For each change of one setting: bytes on all links, CPU seconds of
        the busiest control and of all nodes together.
    change_disk_bytes : float
        Growth of a control's data directory for each change.
    convergence_s : float
        Longest time from the acceptance of a change until all nodes run it.
    restart_bytes, restart_control_s : float
        For each target that leaves and returns while all nodes subscribe to
        its service: bytes on all links and CPU seconds of the busiest
        control.
    read_control_s, read_bytes : float
        CPU seconds of the busiest control and response bytes for one read of
        the fleet status.
    """

    nodes: int
    idle_bytes_per_s: float = 0.0
    idle_control_cpu: float = 0.0
    idle_node_cpu: float = 0.0
    control_mb: float = 0.0
    change_bytes: float = 0.0
    change_control_s: float = 0.0
    change_node_s: float = 0.0
    change_disk_bytes: float = 0.0
    convergence_s: float = 0.0
    restart_bytes: float = 0.0
    restart_control_s: float = 0.0
    read_control_s: float = 0.0
    read_bytes: float = 0.0


class ClaimPoint(Struct, frozen=True):
    """Cost of a number of claims.

    Parameters
    ----------
    claims : int
        Number of claims.
    leader_s, elapsed_s : float
        CPU time of the leader, and wall-clock time, in seconds.
    disk_bytes : int
        Growth of a control's data directory.
    """

    claims: int
    leader_s: float
    elapsed_s: float
    disk_bytes: int


class SizePoint(Struct, frozen=True):
    """Memory and CPU time of a node for a number of services or targets.

    Parameters
    ----------
    count : int
        Number of services in the release and of targets in the directory.
    release_bytes, directory_bytes : int
        Memory of the release and of the directory.
    directory_s : float
        CPU seconds to apply the directory update.
    """

    count: int
    release_bytes: int
    directory_bytes: int
    directory_s: float
