"""What each role needs at the required size, worked out from slopes."""

from msgspec import Struct

from benchmarks.requirements import REQUIREMENTS
from snipelead.settings.schema import NodeTimings

__all__ = ['Row', 'make_rows']

# Share of the calls that may not be repeated and carry a key, assumed.
CLAIM_SHARE = 0.01
# Share of the calls that go to a target beside another node; with targets
# chosen at random nearly all do.
FORWARDED_SHARE = 1.0
# Services that the callers of one node use, assumed.
SUBSCRIPTIONS = 15
# Controls that shared the nodes while the slopes were measured.
CONTROLS = 3
POLL_S = NodeTimings().hold_ms / 1_000
# A line that explains less of its points tells nothing of a larger size.
LEAST_R_SQUARED = 0.8


class Row(Struct, frozen=True):
    """One line of the capacity table.

    Parameters
    ----------
    role, quantity : str
        What is told of whom.
    value, limit : float or None
        Worked-out value, None when it is not known, and the required limit,
        if any.
    unit : str
        Unit of both.
    working : str
        How the value follows from slopes.
    at_least : bool
        Whether the limit is the least value, not the greatest.
    """

    role: str
    quantity: str
    value: float | None
    limit: float | None
    unit: str
    working: str
    at_least: bool = False

    @property
    def fits(self):
        """Whether the value keeps the limit; None without a limit."""
        if self.limit is None or self.value is None:
            return None
        if self.at_least:
            return self.value >= self.limit
        return self.value <= self.limit


def make_rows(results, slopes):
    """Return the rows of all roles.

    Parameters
    ----------
    results : Results
        Measurements, for what is not a slope.
    slopes : Slopes
        Fitted lines.
    """
    return [
        *_node_rows(results, slopes),
        *_call_rows(slopes),
        *_control_rows(slopes),
        *_voter_rows(results, slopes),
        *_operator_rows(slopes),
    ]


def _subscribed_restarts_per_s():
    """Restarts in a second that one node is told of."""
    return REQUIREMENTS.restarts_per_s * SUBSCRIPTIONS / REQUIREMENTS.services


def _node_rows(results, slopes):
    idle = slopes.idle_bytes.slope
    changes = slopes.change_bytes.slope * REQUIREMENTS.changes_per_s
    restarts = slopes.restart_bytes.slope * _subscribed_restarts_per_s()
    return [
        Row(
            'node, control',
            'bytes',
            idle + changes + restarts,
            REQUIREMENTS.node_bytes_per_s,
            'B/s',
            f'idle {idle:.0f} + changes {changes:.1f}'
            f' + restarts {restarts:.2f}',
        ),
        _node_processor_row(slopes),
        _node_memory_row(results, slopes),
        Row(
            'node, control',
            'polls sent',
            1 / POLL_S,
            None,
            'messages/s',
            f'one held poll in {POLL_S:g} s, and one for each news',
        ),
    ]


def _node_processor_row(slopes):
    rate = REQUIREMENTS.changes_per_s
    idle, change = slopes.idle_node.slope, slopes.change_node.slope
    return Row(
        'node, control',
        'processor',
        100 * (idle + change * rate),
        REQUIREMENTS.node_core_percent,
        '% of a core',
        f'idle {100 * idle:.3f} % + {1e3 * change:.2f} ms a change x'
        f' {rate:.3f}/s',
    )


def _node_memory_row(results, slopes):
    targets = SUBSCRIPTIONS * REQUIREMENTS.targets_per_service
    release_mb = slopes.release_bytes.at(REQUIREMENTS.services) / 1e6
    directory_mb = slopes.directory_bytes.at(targets) / 1e6
    return Row(
        'node, control',
        'memory',
        results.node_mb + release_mb + directory_mb,
        REQUIREMENTS.node_mb,
        'MB',
        f'process {results.node_mb:.0f} + release of'
        f' {REQUIREMENTS.services} services + {targets:.0f} targets of'
        f' {SUBSCRIPTIONS} services',
    )


def _call_rows(slopes):
    rate = REQUIREMENTS.calls_per_node_s
    local, origin, owner = (
        slopes.call_local.slope,
        slopes.call_origin.slope,
        slopes.call_owner.slope,
    )
    both = FORWARDED_SHARE * (origin + owner)
    return [
        Row(
            'node, calls',
            'processor for a call at its own target',
            1e6 * local,
            None,
            'us',
            'slope',
        ),
        Row(
            'node, calls',
            'processor for a forwarded call, both nodes',
            1e6 * (origin + owner),
            None,
            'us',
            f'{1e6 * origin:.0f} where it arrives'
            f' + {1e6 * owner:.0f} beside the target',
        ),
        Row(
            'node, calls',
            'processor for all calls',
            100 * rate * both,
            None,
            '% of a core',
            f'{rate:.0f} calls/s arrive and as many are forwarded to it',
        ),
        Row(
            'node, calls',
            'most calls of one process',
            1 / both,
            rate,
            'calls/s',
            'one core; the mean rate is needed, bursts are not in it',
            at_least=True,
        ),
    ]


def _control_rows(slopes):
    nodes = REQUIREMENTS.nodes_per_control
    memory = slopes.control_mb
    return [
        _relay_processor_row(slopes, nodes),
        Row(
            'control relay',
            'memory',
            memory.intercept + memory.slope * CONTROLS * nodes,
            None,
            'MB',
            f'{memory.intercept:.0f}'
            f' + {1e3 * memory.slope * CONTROLS:.0f} KB a node',
        ),
        Row(
            'control relay',
            'polls answered',
            nodes / POLL_S,
            None,
            'messages/s',
            f'{nodes:.0f} nodes, one held poll in {POLL_S:g} s each',
        ),
        Row(
            'fleet',
            'convergence of a change',
            slopes.convergence.at(CONTROLS * nodes),
            REQUIREMENTS.convergence_s,
            's',
            f'{nodes:.0f} nodes on each control; slope with all nodes on one'
            ' core and without the hop from voter to relay',
        ),
    ]


def _relay_processor_row(slopes, nodes):
    idle = slopes.idle_control.slope * nodes * CONTROLS
    changes = slopes.change_control.slope * CONTROLS * nodes
    subscribers = nodes * SUBSCRIPTIONS / REQUIREMENTS.services
    restarts = slopes.restart_control.slope * CONTROLS * subscribers
    cpu = (
        idle
        + changes * REQUIREMENTS.changes_per_s
        + restarts * REQUIREMENTS.restarts_per_s
    )
    return Row(
        'control relay',
        'processor',
        100 * cpu,
        100.0,
        '% of a core',
        f'{nodes:.0f} nodes each; idle {100 * idle:.1f} %, a change'
        f' {1e3 * changes:.0f} ms, a restart {1e3 * restarts:.0f} ms',
    )


def _voter_rows(results, slopes):
    claims = CLAIM_SHARE * REQUIREMENTS.calls_per_s
    most = 1 / max(slopes.claim_leader.slope, slopes.claim_elapsed.slope)
    on_disk = max(point.change_disk_bytes for point in results.fleet)
    per_day = REQUIREMENTS.changes_per_day * on_disk
    return [
        Row(
            'control voter',
            'claims that one leader makes',
            most,
            claims,
            'claims/s',
            f'slope; {CLAIM_SHARE:.0%} of all calls are assumed to need one',
            at_least=True,
        ),
        Row(
            'control voter',
            'log of changes',
            per_day / 1e6,
            None,
            'MB/day',
            f'{REQUIREMENTS.changes_per_day} changes of {on_disk:.0f} B;'
            ' compacted every 1,000 entries',
        ),
    ]


def _carry_on(line, scale):
    """Return a line's value for all nodes, or None if it does not fit."""
    if line.r_squared < LEAST_R_SQUARED:
        return None
    return scale * line.at(REQUIREMENTS.nodes)


def _operator_rows(slopes):
    read_ms = _carry_on(slopes.read_control, 1e3)
    read_mb = slopes.read_bytes.at(REQUIREMENTS.nodes) / 1e6
    return [
        Row(
            'operator interface',
            'processor for a read of the fleet',
            read_ms,
            None,
            'ms',
            f'slope to all nodes, R² {slopes.read_control.r_squared:.2f}',
        ),
        Row(
            'operator interface',
            'answer to a read of the fleet',
            read_mb,
            None,
            'MB',
            'slope to all nodes',
        ),
        Row(
            'operator interface',
            'changes taken',
            REQUIREMENTS.changes_per_s,
            None,
            'notes/s',
            'required rate',
        ),
    ]
