"""Resource needs of each role at the required size, from the fitted lines."""

from msgspec import Struct

from benchmarks.requirements import REQUIREMENTS
from snipelead.settings.schema import NodeTimings

__all__ = ['Row', 'compute_rows']

# Assumed share of calls that are not repeatable and carry an idempotency key.
CLAIM_SHARE = 0.01
# Share of calls that are forwarded to the node of another target; if targets
# are chosen at random, nearly all are.
FORWARDED_SHARE = 1.0
# Assumed number of services that the callers of one node use.
SUBSCRIBED_SERVICES = 15
# Number of controls that the nodes were spread over in the measurements.
MEASURED_CONTROLS = 3
POLL_INTERVAL_S = NodeTimings().hold_ms / 1_000
# A line with a poorer fit is not extrapolated to the required size.
MIN_R_SQUARED = 0.8


class Row(Struct, frozen=True):
    """One line of the capacity table.

    Parameters
    ----------
    role, quantity : str
        Role and the quantity that it needs.
    value, limit : float or None
        Computed value, None if the fit is too poor, and the required limit,
        None without one.
    unit : str
        Unit of value and limit.
    derivation : str
        How the value is computed.
    limit_is_minimum : bool
        Whether the limit is a minimum instead of a maximum.
    """

    role: str
    quantity: str
    value: float | None
    limit: float | None
    unit: str
    derivation: str
    limit_is_minimum: bool = False

    @property
    def within_limit(self):
        """Whether the value is within the limit; None if either is missing."""
        if self.limit is None or self.value is None:
            return None
        if self.limit_is_minimum:
            return self.value >= self.limit
        return self.value <= self.limit


def compute_rows(results, slopes):
    """Return the rows of the capacity table for all roles.

    Parameters
    ----------
    results : Results
        Measurements, for values that are not fitted.
    slopes : Slopes
        Fitted lines.

    Returns
    -------
    list of Row
    """
    return [
        *_node_rows(results, slopes),
        *_call_rows(slopes),
        *_control_rows(slopes),
        *_voter_rows(results, slopes),
        *_operator_rows(slopes),
    ]


def _subscribed_restarts_per_s():
    """Return the rate of restarts that one node receives updates of."""
    return (
        REQUIREMENTS.restarts_per_s
        * SUBSCRIBED_SERVICES
        / REQUIREMENTS.services
    )


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
            1 / POLL_INTERVAL_S,
            None,
            'messages/s',
            f'one held poll in {POLL_INTERVAL_S:g} s, and one for each news',
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
    targets = SUBSCRIBED_SERVICES * REQUIREMENTS.targets_per_service
    release_mb = slopes.release_bytes.predict(REQUIREMENTS.services) / 1e6
    directory_mb = slopes.directory_bytes.predict(targets) / 1e6
    return Row(
        'node, control',
        'memory',
        results.node_mb + release_mb + directory_mb,
        REQUIREMENTS.node_mb,
        'MB',
        f'process {results.node_mb:.0f} + release of'
        f' {REQUIREMENTS.services} services + {targets:.0f} targets of'
        f' {SUBSCRIBED_SERVICES} services',
    )


def _call_rows(slopes):
    rate = REQUIREMENTS.node_calls_per_s
    local, origin, owner = (
        slopes.call_local.slope,
        slopes.call_origin.slope,
        slopes.call_owner.slope,
    )
    call_cpu_s = FORWARDED_SHARE * (origin + owner)
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
            100 * rate * call_cpu_s,
            None,
            '% of a core',
            f'{rate:.0f} calls/s arrive and as many are forwarded to it',
        ),
        Row(
            'node, calls',
            'most calls of one process',
            1 / call_cpu_s,
            rate,
            'calls/s',
            'one core; the mean rate is needed, bursts are not in it',
            limit_is_minimum=True,
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
            memory.intercept + memory.slope * MEASURED_CONTROLS * nodes,
            None,
            'MB',
            f'{memory.intercept:.0f}'
            f' + {1e3 * memory.slope * MEASURED_CONTROLS:.0f} KB a node',
        ),
        Row(
            'control relay',
            'polls answered',
            nodes / POLL_INTERVAL_S,
            None,
            'messages/s',
            f'{nodes:.0f} nodes, one held poll in {POLL_INTERVAL_S:g} s each',
        ),
        Row(
            'fleet',
            'convergence of a change',
            slopes.convergence.predict(MEASURED_CONTROLS * nodes),
            REQUIREMENTS.convergence_s,
            's',
            f'{nodes:.0f} nodes on each control; slope with all nodes on one'
            ' core and without the hop from voter to relay',
        ),
    ]


def _relay_processor_row(slopes, nodes):
    idle = slopes.idle_control.slope * nodes * MEASURED_CONTROLS
    changes = slopes.change_control.slope * MEASURED_CONTROLS * nodes
    subscribers = nodes * SUBSCRIBED_SERVICES / REQUIREMENTS.services
    restarts = slopes.restart_control.slope * MEASURED_CONTROLS * subscribers
    core_share = (
        idle
        + changes * REQUIREMENTS.changes_per_s
        + restarts * REQUIREMENTS.restarts_per_s
    )
    return Row(
        'control relay',
        'processor',
        100 * core_share,
        100.0,
        '% of a core',
        f'{nodes:.0f} nodes each; idle {100 * idle:.1f} %, a change'
        f' {1e3 * changes:.0f} ms, a restart {1e3 * restarts:.0f} ms',
    )


def _voter_rows(results, slopes):
    claims = CLAIM_SHARE * REQUIREMENTS.calls_per_s
    max_claims_per_s = 1 / max(
        slopes.claim_leader.slope, slopes.claim_elapsed.slope
    )
    bytes_per_change = max(point.change_disk_bytes for point in results.fleet)
    log_bytes_per_day = REQUIREMENTS.changes_per_day * bytes_per_change
    return [
        Row(
            'control voter',
            'claims that one leader makes',
            max_claims_per_s,
            claims,
            'claims/s',
            f'slope; {CLAIM_SHARE:.0%} of all calls are assumed to need one',
            limit_is_minimum=True,
        ),
        Row(
            'control voter',
            'log of changes',
            log_bytes_per_day / 1e6,
            None,
            'MB/day',
            f'{REQUIREMENTS.changes_per_day} changes of'
            f' {bytes_per_change:.0f} B;'
            ' compacted every 1,000 entries',
        ),
    ]


def _extrapolate(line, scale):
    """Return a line's value for all nodes, or None if its fit is too poor."""
    if line.r_squared < MIN_R_SQUARED:
        return None
    return scale * line.predict(REQUIREMENTS.nodes)


def _operator_rows(slopes):
    read_ms = _extrapolate(slopes.read_control, 1e3)
    read_mb = slopes.read_bytes.predict(REQUIREMENTS.nodes) / 1e6
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
