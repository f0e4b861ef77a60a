"""Measured points that the slopes are fitted to."""

from msgspec import Struct

__all__ = ['CallPoint', 'ClaimPoint', 'FleetPoint', 'SizePoint']


class CallPoint(Struct, frozen=True):
    """Processor time of nodes for a number of calls, in seconds."""

    calls: int
    local_s: float
    origin_s: float
    owner_s: float


class FleetPoint(Struct, kw_only=True):
    """What controls and nodes need for a number of nodes.

    Rates are per second of the idle time; the others per change.

    Parameters
    ----------
    nodes : int
        Nodes of the swarm.
    idle_bytes_per_s, idle_control_cpu, idle_node_cpu : float
        Bytes on all links of the nodes, both ways; shares of a core of the
        busiest control and of the whole swarm.
    control_mb : float
        Resident memory of the largest control.
    change_bytes, change_control_s, change_node_s : float
        Bytes on all links, processor seconds of the busiest control and of
        the whole swarm, for each change of one setting.
    change_disk_bytes : float
        Growth of a control's data folder for each change.
    convergence_s : float
        Longest time from acceptance to in force on all nodes.
    restart_bytes, restart_control_s : float
        Bytes on all links and processor seconds of the busiest control for
        each target that leaves and comes back, all nodes subscribed.
    read_control_s, read_bytes : float
        Processor seconds and bytes of one read of the fleet.
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
    """Cost of a number of claims on the leader; times in seconds."""

    claims: int
    leader_s: float
    elapsed_s: float
    disk_bytes: int


class SizePoint(Struct, frozen=True):
    """Memory and time for a number of services, or of targets."""

    count: int
    release_bytes: int
    directory_bytes: int
    directory_s: float
