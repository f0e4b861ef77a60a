"""Constraints on the values of settings, declared in one place."""

from collections.abc import Callable
from dataclasses import dataclass

from snipelead.exceptions import InvalidParameterError
from snipelead.settings.schema import ControlSettings
from snipelead.settings.schema import ControlTimings
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

__all__ = ['CONSTRAINTS', 'RELATIONS', 'Relation', 'check_settings']

MAX_TIME_MS = 24 * 60 * 60 * 1_000
MAX_BYTES = 1024 * 1024 * 1024
MAX_COUNT = 100_000
VOTER_COUNTS = (1, 3, 5)
LOG_LEVELS = ('debug', 'info', 'warning', 'error')

_TIME_MS = Interval(int, 1, MAX_TIME_MS)
_TIME_OR_ZERO_MS = Interval(int, 0, MAX_TIME_MS)
_COUNT = Interval(int, 1, MAX_COUNT)
_SIZE_BYTES = Interval(int, 1, MAX_BYTES)


def _is_path(value):
    """Path that is not empty."""
    return isinstance(value, str) and bool(value.strip())


CONSTRAINTS = {
    LogSettings: {'level': [Options(LOG_LEVELS)]},
    Peer: {
        'control_id': [is_name],
        'zone': [is_name],
        'address': [is_address],
        'operator_address': [is_address, None],
    },
    ControlTimings: {
        'heartbeat_ms': [_TIME_MS],
        'election_min_ms': [_TIME_MS],
        'election_max_ms': [_TIME_MS],
        'node_lease_ms': [_TIME_MS],
        'target_lease_ms': [_TIME_MS],
        'batch_window_ms': [_TIME_OR_ZERO_MS],
        'exchange_hold_ms': [_TIME_MS],
        'exchange_miss_ms': [_TIME_MS],
        'remove_silent_ms': [_TIME_MS],
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
    },
    NodeTimings: {
        'hold_ms': [_TIME_MS],
        'miss_ms': [_TIME_MS],
        'grace_ms': [_TIME_OR_ZERO_MS],
        'announce_lease_ms': [_TIME_MS],
        'linger_ms': [_TIME_OR_ZERO_MS],
        'floor_limit_ms': [_TIME_OR_ZERO_MS],
    },
    NodeLimits: {
        'body_bytes': [_SIZE_BYTES],
        'head_bytes': [_SIZE_BYTES],
        'queue_per_slot': [Interval(float, 0, MAX_COUNT)],
        'queue_wait_ms': [_TIME_OR_ZERO_MS],
        'caller_connections': [_COUNT],
        'retry_ratio': [Interval(float, 0, 1)],
        'retry_extra': [Interval(float, 0, MAX_COUNT), None],
        'own_zone_load': [Interval(float, 0, 100)],
        'crossing_ms_per_kb': [Interval(float, 0, MAX_COUNT), None],
        'pipeline_depth': [_COUNT],
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
        'cold_start_ms': [_TIME_OR_ZERO_MS],
        'run_log': [_is_path, None],
    },
}


@dataclass(frozen=True)
class Relation:
    """Constraint on several values of one settings object.

    Attributes
    ----------
    key : str
        Key named in the error.
    allowed : str
        What is allowed.
    holds : callable
        Takes the settings object, tells whether the relation holds.
    """

    key: str
    allowed: str
    holds: Callable


def _are_unique(values):
    return len(set(values)) == len(values)


def _are_fixed_unique(addresses):
    """Tell whether addresses differ; port 0 stands for any free port."""
    return _are_unique([a for a in addresses if not a.endswith(':0')])


def _find_own_peer(settings):
    for peer in settings.peers:
        if peer.control_id == settings.control_id:
            return peer
    return None


def _own_peer_has(name):
    def holds(settings):
        peer = _find_own_peer(settings)
        if peer is None or _is_learned(settings):
            return True
        return getattr(peer, name) == getattr(settings, name)

    return holds


def _is_learned(settings):
    return settings.membership is MembershipSource.LEARNED


def _has_voter_majority(peers):
    voters = [peer for peer in peers if peer.role is ControlRole.VOTER]
    return len(voters) in VOTER_COUNTS


def _peer_relations(key):
    """Return what must hold of a list of controls."""

    def peers(settings):
        return getattr(settings, key)

    return [
        Relation(
            key,
            'controls with different ids',
            lambda s: _are_unique([p.control_id for p in peers(s)]),
        ),
        Relation(
            key,
            'controls with different addresses',
            lambda s: _are_fixed_unique([p.address for p in peers(s)]),
        ),
        Relation(
            key,
            '1, 3 or 5 controls with role voter',
            lambda s: _is_learned(s) or _has_voter_majority(peers(s)),
        ),
    ]


RELATIONS = {
    ControlTimings: [
        Relation(
            'election_min_ms',
            'below election_max_ms',
            lambda t: t.election_min_ms < t.election_max_ms,
        ),
        Relation(
            'heartbeat_ms',
            'below election_min_ms',
            lambda t: t.heartbeat_ms < t.election_min_ms,
        ),
    ],
    ControlSettings: [
        *_peer_relations('peers'),
        Relation(
            'peers',
            'a list that holds the own control_id',
            lambda s: _is_learned(s) or _find_own_peer(s) is not None,
        ),
        Relation('role', 'as listed in peers', _own_peer_has('role')),
        Relation('zone', 'as listed in peers', _own_peer_has('zone')),
        Relation('address', 'as listed in peers', _own_peer_has('address')),
        Relation(
            'operator_address',
            'different from address',
            lambda s: _are_fixed_unique([s.address, s.operator_address]),
        ),
    ],
    NodeSettings: [
        *_peer_relations('controls'),
        Relation(
            'caller_address',
            'different from address and admin_address',
            lambda s: _are_fixed_unique(
                [s.caller_address, s.address, s.admin_address]
            ),
        ),
    ],
    TargetSettings: [
        Relation(
            'address',
            'different from node_admin_address',
            lambda s: _are_fixed_unique([s.address, s.node_admin_address]),
        )
    ],
}


def _check_relation(owner, value, relation):
    if relation.holds(value):
        return
    got = getattr(value, relation.key)
    raise InvalidParameterError(
        f'{owner}: {relation.key!r} must be {relation.allowed}, got {got!r}',
        parameter=relation.key,
        got=repr(got),
        allowed=relation.allowed,
    )


def _check_struct(owner, value):
    constraints = CONSTRAINTS.get(type(value), {})
    values = {name: getattr(value, name) for name in constraints}
    check_parameters(owner, values, constraints)
    for name in value.__struct_fields__:
        _check_inner(f'{owner}.{name}', getattr(value, name))
    for relation in RELATIONS.get(type(value), []):
        _check_relation(owner, value, relation)


def _check_inner(owner, value):
    match value:
        case tuple():
            for index, item in enumerate(value):
                _check_inner(f'{owner}[{index}]', item)
        case _ if hasattr(value, '__struct_fields__'):
            _check_struct(owner, value)


def check_settings(settings):
    """Check the values of settings against all constraints.

    Parameters
    ----------
    settings : ControlSettings, NodeSettings or TargetSettings
        Settings with values of the right types.

    Raises
    ------
    InvalidParameterError
        Naming the parameter, the value got and the values allowed.
    """
    _check_struct(type(settings).__struct_config__.tag, settings)
