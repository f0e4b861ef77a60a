"""Schema of the settings of each process."""

from enum import Enum

from msgspec import field
from msgspec import Struct

from snipelead.logs import LogFormat
from snipelead.types import Address
from snipelead.types import ControlId
from snipelead.types import ControlRole
from snipelead.types import MembershipSource
from snipelead.types import NodeId
from snipelead.types import Preference
from snipelead.types import RegionName
from snipelead.types import ServiceName
from snipelead.types import TargetId
from snipelead.types import ZoneName

__all__ = [
    'ControlSettings',
    'ControlTimings',
    'HealthClaim',
    'LogSettings',
    'NodeLimits',
    'NodeSettings',
    'NodeTimings',
    'Peer',
    'ServiceTimes',
    'Settings',
    'TargetSettings',
]


class _Strict(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base that refuses unknown keys."""


class LogSettings(_Strict):
    """How a process writes its log.

    Parameters
    ----------
    format : LogFormat
        Rendering of lines.
    level : str
        Least severe level that is written.
    """

    format: LogFormat = LogFormat.JSON
    level: str = 'info'


class Peer(_Strict):
    """A control process as others reach it.

    Parameters
    ----------
    control_id : ControlId
        Its id.
    zone : ZoneName
        Its availability zone.
    address : Address
        Where it answers calls of controls and nodes.
    operator_address : Address or None
        Where it answers operators.
    role : ControlRole
        Whether it votes.
    """

    control_id: ControlId
    zone: ZoneName
    address: Address
    operator_address: Address | None = None
    role: ControlRole = ControlRole.VOTER


class ControlTimings(_Strict):
    """Timings of a control; all in milliseconds.

    Parameters
    ----------
    heartbeat_ms : int
        Time between heartbeats of the leader.
    election_min_ms, election_max_ms : int
        Range of the randomised election timeout.
    node_lease_ms : int
        A node not heard of for this long is no longer live.
    target_lease_ms : int
        A target whose node is not heard of for this long gets no new work.
    batch_window_ms : int
        How long a release waits for others before nodes are told; only
        with the preference for bytes.
    exchange_hold_ms, exchange_miss_ms : int
        How long another control may hold a long poll for targets without
        news, and how much later than that the answer may come.
    remove_silent_ms : int
        A voter that is silent for this long is removed once another has
        taken its place; only with learned membership.
    """

    heartbeat_ms: int = 100
    election_min_ms: int = 500
    election_max_ms: int = 1_000
    node_lease_ms: int = 15_000
    target_lease_ms: int = 12_000
    batch_window_ms: int = 500
    exchange_hold_ms: int = 5_000
    exchange_miss_ms: int = 1_000
    remove_silent_ms: int = 1_500


class ControlSettings(_Strict, tag_field='kind', tag='control'):
    """Settings of a control process.

    Parameters
    ----------
    control_id : ControlId
        Unique id.
    zone : ZoneName
        Availability zone.
    address : Address
        Where controls and nodes call.
    operator_address : Address
        Where operators and readers of metrics connect.
    listen_address : Address or None
        Where the control listens for ``address`` when that is not the same,
        such as behind a relay.
    data_dir : str
        Folder of the control's own files; made when missing.
    peers : tuple of Peer
        All controls, this one included; the same on each. With learned
        membership some controls that are tried first.
    membership : MembershipSource
        Where the other controls are known from.
    may_found : bool
        Whether a cluster may be founded when all of ``peers`` are empty.
    region : RegionName
        Region of the availability zone.
    role : ControlRole
        Whether this control votes or only relays.
    preference : Preference
        What is weighed more when releases are distributed.
    max_snapshots : int
        Whole snapshots that are sent at a time; other nodes come back.
    snapshot_entries : int
        Log entries after which the log is compacted.
    timings : ControlTimings
        Timings.
    log : LogSettings
        Log.
    """

    control_id: ControlId
    zone: ZoneName
    address: Address
    operator_address: Address
    data_dir: str
    peers: tuple[Peer, ...]
    listen_address: Address | None = None
    region: RegionName = RegionName('local')
    role: ControlRole = ControlRole.VOTER
    membership: MembershipSource = MembershipSource.FIXED
    may_found: bool = True
    preference: Preference = Preference.CONVERGENCE
    max_snapshots: int = 8
    snapshot_entries: int = 1_000
    timings: ControlTimings = field(default_factory=ControlTimings)
    log: LogSettings = field(default_factory=LogSettings)


class NodeTimings(_Strict):
    """Timings of a node; all in milliseconds.

    Parameters
    ----------
    hold_ms : int
        How long a control may hold a long poll without news.
    miss_ms : int
        How much later than that an answer may come before the connection
        is replaced.
    grace_ms : int
        Time that work in flight gets to finish when the node stops.
    announce_lease_ms : int
        A target that does not renew for this long is gone.
    linger_ms : int
        Time after the begin of a stop in which new connections are still
        taken, for callers that have not noticed it yet.
    floor_limit_ms : int
        Time after which a restarted node serves without a certified
        release.
    """

    hold_ms: int = 5_000
    miss_ms: int = 1_000
    grace_ms: int = 10_000
    announce_lease_ms: int = 3_000
    linger_ms: int = 0
    floor_limit_ms: int = 10_000


class NodeLimits(_Strict):
    """Limits of a node.

    Parameters
    ----------
    body_bytes : int
        Largest request body.
    head_bytes : int
        Largest request head.
    queue_per_slot : float
        Requests that may wait for each slot of the own target.
    queue_wait_ms : int
        Longest wait for a slot.
    caller_connections : int
        Connections accepted from callers.
    retry_ratio : float
        Retries allowed for each first attempt of a route.
    retry_extra : float or None
        Retries that all nodes together may make for a service beyond the
        ratio; without it each route of each node has a burst of ten.
    own_zone_load : float
        Targets of the own zone are preferred up to this load for each slot.
    crossing_ms_per_kb : float or None
        Price of carrying an answer across zones, as time that is as bad as a
        kilobyte; without it the own zone is preferred by its load.
    pipeline_depth : int
        Requests of one caller connection that are handled at a time.
    """

    body_bytes: int = 8 * 1024 * 1024
    head_bytes: int = 64 * 1024
    queue_per_slot: float = 1.0
    queue_wait_ms: int = 200
    caller_connections: int = 2_000
    retry_ratio: float = 0.1
    retry_extra: float | None = None
    own_zone_load: float = 0.75
    crossing_ms_per_kb: float | None = None
    pipeline_depth: int = 16


class NodeSettings(_Strict, tag_field='kind', tag='node'):
    """Settings of a node.

    Parameters
    ----------
    node_id : NodeId
        Unique id.
    zone : ZoneName
        Availability zone.
    caller_address : Address
        Where callers connect.
    address : Address
        Where other nodes forward requests to.
    admin_address : Address
        Where the own target announces itself, and of metrics.
    advertised_address : Address or None
        Where other nodes reach ``address`` when that is not the same, such
        as behind a relay.
    controls : tuple of Peer
        All controls; those of the own zone are tried first. With learned
        membership some controls that tell of the others.
    membership : MembershipSource
        Where the controls are known from.
    region : RegionName
        Region of the availability zone.
    timings : NodeTimings
        Timings.
    limits : NodeLimits
        Limits.
    log : LogSettings
        Log.
    """

    node_id: NodeId
    zone: ZoneName
    caller_address: Address
    address: Address
    admin_address: Address
    controls: tuple[Peer, ...]
    advertised_address: Address | None = None
    membership: MembershipSource = MembershipSource.FIXED
    region: RegionName = RegionName('local')
    timings: NodeTimings = field(default_factory=NodeTimings)
    limits: NodeLimits = field(default_factory=NodeLimits)
    log: LogSettings = field(default_factory=LogSettings)


class HealthClaim(Enum):
    """What the health endpoint of a stand-in target claims."""

    HONEST = 'honest'
    ALWAYS_UP = 'always-up'
    ALWAYS_DOWN = 'always-down'


class ServiceTimes(Enum):
    """Distribution of the time that a request takes at a target."""

    EXPONENTIAL = 'exponential'
    FIXED = 'fixed'


class TargetSettings(_Strict, tag_field='kind', tag='target'):
    """Settings of a stand-in target (emulator).

    Parameters
    ----------
    target_id : TargetId
        Unique id.
    service : ServiceName
        Service that it announces.
    address : Address
        Where it serves its node, over loopback.
    node_admin_address : Address
        Admin address of the node beside it.
    slots, connections : int
        Limits that it announces and keeps.
    service_time_ms : float
        Mean time that a request takes.
    service_times : ServiceTimes
        Distribution of those times.
    cold_start_ms : int
        Time after start during which requests are slower.
    sheds : bool
        Whether requests above the slots are refused with 503.
    health : HealthClaim
        What the health endpoint claims.
    run_log : str or None
        File that gets a line for each request that ran.
    seed : int
        Seed of the randomised service times.
    log : LogSettings
        Log.
    """

    target_id: TargetId
    service: ServiceName
    address: Address
    node_admin_address: Address
    slots: int = 20
    connections: int = 130
    service_time_ms: float = 2.0
    service_times: ServiceTimes = ServiceTimes.EXPONENTIAL
    cold_start_ms: int = 0
    sheds: bool = True
    health: HealthClaim = HealthClaim.HONEST
    run_log: str | None = None
    seed: int = 1
    log: LogSettings = field(default_factory=LogSettings)


Settings = ControlSettings | NodeSettings | TargetSettings
