"""Lines fitted to the measurements, whose slopes give the unit costs."""

from pathlib import Path

import msgspec
from msgspec import Struct

from benchmarks.fit import fit_line
from benchmarks.fit import Line
from benchmarks.points import CallPoint
from benchmarks.points import ClaimPoint
from benchmarks.points import FleetPoint
from benchmarks.points import SizePoint

__all__ = ['Results', 'Slopes', 'fit_slopes', 'load_results', 'save_results']


class Results(Struct):
    """All measurements of one run, and the conditions of the run.

    Parameters
    ----------
    date, machine : str
        Time of the run, and cores and Python version of the machine.
    services : int
        Number of services in the release of the fleet measurements.
    node_mb : float
        Resident memory of a node in megabytes.
    calls, claims, fleet, sizes : list
        Measurements of several sizes each.
    """

    date: str
    machine: str
    services: int
    node_mb: float
    calls: list[CallPoint]
    claims: list[ClaimPoint]
    fleet: list[FleetPoint]
    sizes: list[SizePoint]


class Slopes(Struct, frozen=True, kw_only=True):
    """Fitted lines by measured value.

    Parameters
    ----------
    call_local, call_origin, call_owner : Line
        CPU seconds against calls: at a node that serves them with its own
        target, at a node that forwards them, and at the target's node for
        forwarded calls.
    claim_leader, claim_elapsed, claim_disk : Line
        CPU seconds of the leader, elapsed seconds and bytes on disk, against
        claims.
    idle_bytes, idle_control, idle_node : Line
        Bytes per second and shares of a core without changes, against nodes.
    control_mb : Line
        Megabytes of memory of a control, against nodes.
    change_bytes, change_control, change_node : Line
        Bytes and CPU seconds of a change, against nodes.
    convergence : Line
        Seconds until all nodes run a change, against nodes.
    restart_bytes, restart_control : Line
        Bytes and CPU seconds of a restart of a target, against nodes.
    read_control, read_bytes : Line
        CPU seconds and bytes of a read of the fleet status, against nodes.
    release_bytes, directory_bytes, directory_s : Line
        Bytes of memory of a release, against services; bytes of memory and
        CPU seconds of a directory, against targets.
    """

    call_local: Line
    call_origin: Line
    call_owner: Line
    claim_leader: Line
    claim_elapsed: Line
    claim_disk: Line
    idle_bytes: Line
    idle_control: Line
    idle_node: Line
    control_mb: Line
    change_bytes: Line
    change_control: Line
    change_node: Line
    convergence: Line
    restart_bytes: Line
    restart_control: Line
    read_control: Line
    read_bytes: Line
    release_bytes: Line
    directory_bytes: Line
    directory_s: Line


# Name of each line: list of measurements, and the fields for x and y.
_SOURCES = {
    'call_local': ('calls', 'calls', 'local_s'),
    'call_origin': ('calls', 'calls', 'origin_s'),
    'call_owner': ('calls', 'calls', 'owner_s'),
    'claim_leader': ('claims', 'claims', 'leader_s'),
    'claim_elapsed': ('claims', 'claims', 'elapsed_s'),
    'claim_disk': ('claims', 'claims', 'disk_bytes'),
    'idle_bytes': ('fleet', 'nodes', 'idle_bytes_per_s'),
    'idle_control': ('fleet', 'nodes', 'idle_control_cpu'),
    'idle_node': ('fleet', 'nodes', 'idle_node_cpu'),
    'control_mb': ('fleet', 'nodes', 'control_mb'),
    'change_bytes': ('fleet', 'nodes', 'change_bytes'),
    'change_control': ('fleet', 'nodes', 'change_control_s'),
    'change_node': ('fleet', 'nodes', 'change_node_s'),
    'convergence': ('fleet', 'nodes', 'convergence_s'),
    'restart_bytes': ('fleet', 'nodes', 'restart_bytes'),
    'restart_control': ('fleet', 'nodes', 'restart_control_s'),
    'read_control': ('fleet', 'nodes', 'read_control_s'),
    'read_bytes': ('fleet', 'nodes', 'read_bytes'),
    'release_bytes': ('sizes', 'count', 'release_bytes'),
    'directory_bytes': ('sizes', 'count', 'directory_bytes'),
    'directory_s': ('sizes', 'count', 'directory_s'),
}


def fit_slopes(results):
    """Fit all lines by least squares.

    Parameters
    ----------
    results : Results
        Measurements, each of at least two sizes.

    Returns
    -------
    Slopes
    """
    lines = {}
    for name, (list_name, x_field, y_field) in _SOURCES.items():
        points = getattr(results, list_name)
        lines[name] = fit_line(
            [(getattr(p, x_field), getattr(p, y_field)) for p in points]
        )
    return Slopes(**lines)


def save_results(results, path):
    """Write measurements as JSON."""
    encoded = msgspec.json.encode(results)
    Path(path).write_bytes(msgspec.json.format(encoded) + b'\n')


def load_results(path):
    """Read measurements written by :func:`save_results`."""
    return msgspec.json.decode(Path(path).read_bytes(), type=Results)
