"""Slopes fitted to the measurements."""

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
    """All measurements of one run, and the conditions of the run."""

    date: str
    machine: str
    services: int
    node_mb: float
    calls: list[CallPoint]
    claims: list[ClaimPoint]
    fleet: list[FleetPoint]
    sizes: list[SizePoint]


class Slopes(Struct, frozen=True, kw_only=True):
    """Fitted lines; the unit of x is what is named first.

    Parameters
    ----------
    call_local, call_origin, call_owner : Line
        Processor seconds for calls at the target's own node, at a node
        that forwards, and at the target's node for forwarded ones.
    claim_leader, claim_elapsed, claim_disk : Line
        Processor seconds of the leader, seconds, and bytes on disk, for
        claims.
    idle_bytes, idle_control, idle_node : Line
        Bytes a second, and shares of a core, for nodes.
    control_mb : Line
        Memory of a control, for nodes.
    change_bytes, change_control, change_node : Line
        Bytes and processor seconds of a change, for nodes.
    convergence : Line
        Seconds, for nodes.
    restart_bytes, restart_control : Line
        Bytes and processor seconds of a restarted target, for nodes.
    read_control, read_bytes : Line
        Processor seconds and bytes of a read of the fleet, for nodes.
    release_bytes, directory_bytes, directory_s : Line
        Memory and seconds, for services and for targets.
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


# Name of each line, the list it is fitted to, and the fields of x and y.
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
        Measurements of several sizes.

    Returns
    -------
    Slopes
    """
    lines = {}
    for name, (points, x, y) in _SOURCES.items():
        measured = getattr(results, points)
        lines[name] = fit_line(
            [(getattr(p, x), getattr(p, y)) for p in measured]
        )
    return Slopes(**lines)


def save_results(results, path):
    """Write measurements as JSON."""
    encoded = msgspec.json.encode(results)
    Path(path).write_bytes(msgspec.json.format(encoded) + b'\n')


def load_results(path):
    """Read measurements written by :func:`save_results`."""
    return msgspec.json.decode(Path(path).read_bytes(), type=Results)
