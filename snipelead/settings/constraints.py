"""Constraints on the values of all settings."""

from collections.abc import Callable
from dataclasses import dataclass

from snipelead.exceptions import InvalidParameterError
from snipelead.settings.schema import ControlSettings
from snipelead.settings.schema import ControlTimings
from snipelead.settings.schema import Guarantees
from snipelead.settings.schema import LogSettings
from snipelead.settings.schema import NodeLimits
from snipelead.settings.schema import NodeSettings
from snipelead.settings.schema import NodeTimings
from snipelead.settings.schema import Peer
from snipelead.settings.schema import TargetSettings
from snipelead.types import ControlRole
from snipelead.types import MembershipSource
from snipelead.utils.validation import check_parameters
from snipelead.utils.validation import Interval
from snipelead.utils.validation import is_address
from snipelead.utils.validation import is_name
from snipelead.utils.validation import Options

__all__ = [
    'CROSS_FIELD_CONSTRAINTS',
    'CrossFieldConstraint',
    'FIELD_CONSTRAINTS',
    'check_settings',
]

MAX_TIME_MS = 24 * 60 * 60 * 1_000
MAX_BYTES = 1024 * 1024 * 1024
MAX_COUNT = 100_000
# Below it, single requests of ordinary size would not fit.
MIN_BUFFER_BYTES = 1024 * 1024
VOTER_COUNTS = (1, 3, 5)
LOG_LEVELS = ('debug', 'info', 'warning', 'error')

_POSITIVE_TIME_MS = Interval(int, 1, MAX_TIME_MS)
_NON_NEGATIVE_TIME_MS = Interval(int, 0, MAX_TIME_MS)
_COUNT = Interval(int, 1, MAX_COUNT)
_SIZE_BYTES = Interval(int, 1, MAX_BYTES)
_BUFFER_BYTES = Interval(int, MIN_BUFFER_BYTES, MAX_BYTES)
_DESCRIPTOR_SHARE = Interval(float, 0.1, 0.95)


def _is_path(value):
    """Non-empty path."""
    return isinstance(value, str) and bool(value.strip())


FIELD_CONSTRAINTS = {
    LogSettings: {'level': [Options(LOG_LEVELS)]},
    Peer: {
        'control_id': [is_name],
        'zone': [is_name],
        'address': [is_address],
        'operator_address': [is_address, None],
    },
    Guarantees: {
        'revocation_ms': [_NON_NEGATIVE_TIME_MS],
        'quota_window_ms': [_NON_NEGATIVE_TIME_MS],
        'quota_overage': [Interval(float, 0, 1)],
        'quota_extra': [Interval(float, 0, MAX_COUNT)],
        'exposure_share': [Interval(float, 0, 1)],
        'exposure_extra': [Interval(float, 0, MAX_COUNT)],
        'rollback_ms': [_NON_NEGATIVE_TIME_MS],
    },
    ControlTimings: {
        'heartbeat_ms': [_POSITIVE_TIME_MS],
        'election_min_ms': [_POSITIVE_TIME_MS],
        'election_max_ms': [_POSITIVE_TIME_MS],
        'node_lease_ms': [_POSITIVE_TIME_MS],
        'target_lease_ms': [_POSITIVE_TIME_MS],
        'batch_window_ms': [_NON_NEGATIVE_TIME_MS],
        'exchange_hold_ms': [_POSITIVE_TIME_MS],
        'exchange_miss_ms': [_POSITIVE_TIME_MS],
        'remove_silent_ms': [_POSITIVE_TIME_MS],
    },
    ControlSettings: {
        'control_id': [is_name],
        'zone': [is_name],
        'region': [is_name],
        'address': [is_address],
        'operator_address': [is_address],
        'listen_address': [is_address, None],
        'data_dir': [_is_path],
        'max_snapshots': [_COUNT],
        'snapshot_entries': [_COUNT],
        'buffer_bytes': [_BUFFER_BYTES],
        'descriptor_share': [_DESCRIPTOR_SHARE],
    },
    NodeTimings: {
        'hold_ms': [_POSITIVE_TIME_MS],
        'miss_ms': [_POSITIVE_TIME_MS],
        'grace_ms': [_NON_NEGATIVE_TIME_MS],
        'announce_lease_ms': [_POSITIVE_TIME_MS],
        'linger_ms': [_NON_NEGATIVE_TIME_MS],
        'floor_limit_ms': [_NON_NEGATIVE_TIME_MS],
    },
    NodeLimits: {
        'body_bytes': [_SIZE_BYTES],
        'head_bytes': [_SIZE_BYTES],
        'queue_per_slot': [Interval(float, 0, MAX_COUNT)],
        'queue_wait_ms': [_NON_NEGATIVE_TIME_MS],
        'caller_connections': [_COUNT],
        'retry_ratio': [Interval(float, 0, 1)],
        'retry_extra': [Interval(float, 0, MAX_COUNT), None],
        'own_zone_load': [Interval(float, 0, 100)],
        'crossing_ms_per_kb': [Interval(float, 0, MAX_COUNT), None],
        'pipeline_depth': [_COUNT],
        'load_interval_ms': [_NON_NEGATIVE_TIME_MS],
        'connection_buffer_bytes': [_SIZE_BYTES],
        'buffer_bytes': [_BUFFER_BYTES],
        'descriptor_share': [_DESCRIPTOR_SHARE],
        'head_timeout_ms': [_POSITIVE_TIME_MS],
        'response_timeout_ms': [_POSITIVE_TIME_MS],
    },
    NodeSettings: {
        'node_id': [is_name],
        'zone': [is_name],
        'region': [is_name],
        'caller_address': [is_address],
        'address': [is_address],
        'admin_address': [is_address],
        'advertised_address': [is_address, None],
    },
    TargetSettings: {
        'target_id': [is_name],
        'service': [is_name],
        'address': [is_address],
        'node_admin_address': [is_address],
        'slots': [_COUNT],
        'connections': [_COUNT],
        'service_time_ms': [Interval(float, 0, MAX_TIME_MS)],
        'cold_start_ms': [_NON_NEGATIVE_TIME_MS],
        'run_log': [_is_path, None],
    },
}


@dataclass(frozen=True)
class CrossFieldConstraint:
    """Constraint on several fields of one settings object.

    Attributes
    ----------
    key : str
        Key named in the error message.
    allowed : str
        Description of the allowed values.
    is_satisfied : callable
        Takes the settings object and returns whether the constraint is
        satisfied.
    """

    key: str
    allowed: str
    is_satisfied: Callable


def _are_distinct(values):
    return len(set(values)) == len(values)


def _are_distinct_addresses(addresses):
    """Return whether addresses differ; port 0 selects any free port."""
    return _are_distinct([a for a in addresses if not a.endswith(':0')])


def _find_own_peer(settings):
    for peer in settings.peers:
        if peer.control_id == settings.control_id:
            return peer
    return None


def _make_own_peer_check(name):
    def is_satisfied(settings):
        peer = _find_own_peer(settings)
        if peer is None or _has_learned_membership(settings):
            return True
        return getattr(peer, name) == getattr(settings, name)

    return is_satisfied


def _has_learned_membership(settings):
    return settings.membership is MembershipSource.LEARNED


def _has_valid_voter_count(peers):
    voters = [peer for peer in peers if peer.role is ControlRole.VOTER]
    return len(voters) in VOTER_COUNTS


def _make_peer_constraints(key):
    """Return the constraints on a list of controls."""

    def get_peers(settings):
        return getattr(settings, key)

    return [
        CrossFieldConstraint(
            key,
            'controls with different ids',
            lambda s: _are_distinct([p.control_id for p in get_peers(s)]),
        ),
        CrossFieldConstraint(
            key,
            'controls with different addresses',
            lambda s: _are_distinct_addresses(
                [p.address for p in get_peers(s)]
            ),
        ),
        CrossFieldConstraint(
            key,
            '1, 3 or 5 controls with role voter',
            lambda s: (
                _has_learned_membership(s)
                or _has_valid_voter_count(get_peers(s))
            ),
        ),
    ]


CROSS_FIELD_CONSTRAINTS = {
    ControlTimings: [
        CrossFieldConstraint(
            'election_min_ms',
            'below election_max_ms',
            lambda t: t.election_min_ms < t.election_max_ms,
        ),
        CrossFieldConstraint(
            'heartbeat_ms',
            'below election_min_ms',
            lambda t: t.heartbeat_ms < t.election_min_ms,
        ),
    ],
    ControlSettings: [
        *_make_peer_constraints('peers'),
        CrossFieldConstraint(
            'peers',
            'a list that contains the control_id of this control',
            lambda s: (
                _has_learned_membership(s) or _find_own_peer(s) is not None
            ),
        ),
        CrossFieldConstraint(
            'role', 'equal to the value in peers', _make_own_peer_check('role')
        ),
        CrossFieldConstraint(
            'zone', 'equal to the value in peers', _make_own_peer_check('zone')
        ),
        CrossFieldConstraint(
            'address',
            'equal to the value in peers',
            _make_own_peer_check('address'),
        ),
        CrossFieldConstraint(
            'operator_address',
            'different from address',
            lambda s: _are_distinct_addresses([s.address, s.operator_address]),
        ),
    ],
    NodeSettings: [
        *_make_peer_constraints('controls'),
        CrossFieldConstraint(
            'caller_address',
            'different from address and admin_address',
            lambda s: _are_distinct_addresses(
                [s.caller_address, s.address, s.admin_address]
            ),
        ),
    ],
    TargetSettings: [
        CrossFieldConstraint(
            'address',
            'different from node_admin_address',
            lambda s: _are_distinct_addresses(
                [s.address, s.node_admin_address]
            ),
        )
    ],
}


def _check_cross_field(owner, value, constraint):
    if constraint.is_satisfied(value):
        return
    got = getattr(value, constraint.key)
    raise InvalidParameterError(
        f'{owner}: {constraint.key!r} must be {constraint.allowed},'
        f' got {got!r}',
        parameter=constraint.key,
        got=repr(got),
        allowed=constraint.allowed,
    )


def _check_struct(owner, value):
    constraints = FIELD_CONSTRAINTS.get(type(value), {})
    values = {name: getattr(value, name) for name in constraints}
    check_parameters(owner, values, constraints)
    for name in value.__struct_fields__:
        _check_nested(f'{owner}.{name}', getattr(value, name))
    for constraint in CROSS_FIELD_CONSTRAINTS.get(type(value), []):
        _check_cross_field(owner, value, constraint)


def _check_nested(owner, value):
    match value:
        case tuple():
            for index, item in enumerate(value):
                _check_nested(f'{owner}[{index}]', item)
        case _ if hasattr(value, '__struct_fields__'):
            _check_struct(owner, value)


def check_settings(settings):
    """Check settings against all constraints.

    Parameters
    ----------
    settings : ControlSettings, NodeSettings or TargetSettings
        Settings with values of the declared types.

    Raises
    ------
    InvalidParameterError
        If a value is not allowed; names the parameter, the value and the
        allowed values.
    """
    _check_struct(type(settings).__struct_config__.tag, settings)
