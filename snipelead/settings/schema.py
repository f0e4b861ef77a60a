"""Schema of the settings of each kind of process."""

from enum import Enum

from msgspec import field
from msgspec import Struct

from snipelead.logs import LogFormat
from snipelead.routing.policies import Policy
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
    'Guarantees',
    'HealthMode',
    'LogSettings',
    'NodeLimits',
    'NodeSettings',
    'NodeTimings',
    'Peer',
    'ServiceTimeDistribution',
    'Settings',
    'TargetSettings',
]


class _StrictStruct(
    Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base class that rejects unknown keys."""


class LogSettings(_StrictStruct):
    """Log settings of a process.

    Parameters
    ----------
    format : LogFormat
        Format of the log lines.
    level : str
        Minimum level of the events that are logged.
    """

    format: LogFormat = LogFormat.JSON
    level: str = 'info'


class Peer(_StrictStruct):
    """Control process as seen by other processes.

    Parameters
    ----------
    control_id : ControlId
        Unique id.
    zone : ZoneName
        Availability zone.
    address : Address
        Address for calls from controls and nodes.
    operator_address : Address or None
        Address of the operator interface.
    role : ControlRole
        Whether the control is a voter or a relay.
    """

    control_id: ControlId
    zone: ZoneName
    address: Address
    operator_address: Address | None = None
    role: ControlRole = ControlRole.VOTER


class Guarantees(_StrictStruct):
    """Bounds on authentication, rate limits and rollouts of the whole fleet.

    A feature whose bound is 0 is off.

    Parameters
    ----------
    revocation_ms : int
        Maximum time from the acknowledgement of a release that removes an
        API key until no node accepts the key, including nodes that are cut
        off from the controls.
    quota_window_ms : int
        Length of the sliding window in which the rate limits of customers
        hold over all nodes.
    quota_overage : float
        Share by which the requests of a customer may exceed the limit in a
        window.
    quota_extra : float
        Number of requests by which they may exceed it besides.
    exposure_share : float
        Maximum share of the requests of a service that a rollout may send to
        a version before it is approved.
    exposure_extra : float
        Number of requests that it may send besides.
    rollback_ms : int
        Maximum time from the evidence against a version until it receives no
        more requests.
    """

    revocation_ms: int = 0
    quota_window_ms: int = 0
    quota_overage: float = 0.0
    quota_extra: float = 0.0
    exposure_share: float = 0.0
    exposure_extra: float = 0.0
    rollback_ms: int = 0


class ControlTimings(_StrictStruct):
    """Timings of a control, in milliseconds.

    Parameters
    ----------
    heartbeat_ms : int
        Interval between heartbeats of the leader.
    election_min_ms, election_max_ms : int
        Bounds of the randomised election timeout.
    node_lease_ms : int
        Time without contact after which a node is considered lost.
    target_lease_ms : int
        Time without contact to a node after which the targets of that node
        receive no new requests.
    batch_window_ms : int
        Time to wait for further releases before nodes are notified; only
        used with preference ``bytes``.
    exchange_hold_ms : int
        Maximum time that another control may hold a long poll for target
        updates.
    exchange_miss_ms : int
        Additional time to wait for the response to a long poll for target
        updates.
    remove_silent_ms : int
        Time without a response after which a voter is removed once another
        voter has replaced it; only used with learned membership.
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


class ControlSettings(_StrictStruct, tag_field='kind', tag='control'):
    """Settings of a control process.

    Parameters
    ----------
    control_id : ControlId
        Unique id.
    zone : ZoneName
        Availability zone.
    address : Address
        Address for calls from controls and nodes.
    operator_address : Address
        Address of the operator interface and the metrics endpoint.
    listen_address : Address or None
        Local address to listen on if it differs from ``address``, for
        example behind a proxy.
    data_dir : str
        Data directory of the control; created if missing.
    peers : tuple of Peer
        All controls including this one, with the same list on each control.
        With learned membership, the controls to contact first.
    membership : MembershipSource
        Source of the list of controls.
    may_found : bool
        Whether the control may create a new cluster if the data directories
        of all voters in ``peers`` are empty.
    region : RegionName
        Region of the availability zone.
    role : ControlRole
        Whether the control is a voter or a relay.
    preference : Preference
        Whether the distribution of releases is optimised for convergence
        time or for bytes sent.
    max_snapshots : int
        Maximum number of release snapshots sent concurrently; further nodes
        are asked to retry later.
    snapshot_entries : int
        Number of log entries after which the log is compacted.
    timings : ControlTimings
        Timings.
    log : LogSettings
        Log settings.
    guarantees : Guarantees
        Bounds that hold over the whole fleet.
    buffer_bytes : int
        Limit of the requests of operators that the process buffers for all
        connections; beyond it, the connections that use most are closed.
    descriptor_share : float
        Share of the descriptors of the process that connections of operators
        may use.
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
    guarantees: Guarantees = field(default_factory=Guarantees)
    buffer_bytes: int = 34 * 1024 * 1024
    descriptor_share: float = 0.8


class NodeTimings(_StrictStruct):
    """Timings of a node, in milliseconds.

    Parameters
    ----------
    hold_ms : int
        Maximum time that a control may hold a long poll.
    miss_ms : int
        Additional time to wait for the response to a long poll before the
        connection is replaced.
    grace_ms : int
        Time limit of a graceful stop, including ``linger_ms``; requests in
        flight are cut afterwards.
    announce_lease_ms : int
        Time without renewal after which a target is removed.
    linger_ms : int
        Time after the start of a graceful stop during which new connections
        are still accepted, for callers that have not noticed the stop.
    floor_limit_ms : int
        Time after which a restarted node serves requests even if no control
        has certified its release as current.
    """

    hold_ms: int = 5_000
    miss_ms: int = 1_000
    grace_ms: int = 10_000
    announce_lease_ms: int = 3_000
    linger_ms: int = 0
    floor_limit_ms: int = 10_000


class NodeLimits(_StrictStruct):
    """Resource limits and load balancing parameters of a node.

    Parameters
    ----------
    body_bytes : int
        Maximum size of a request body.
    head_bytes : int
        Maximum size of a request head.
    queue_per_slot : float
        Maximum queue length per slot of the local target.
    queue_wait_ms : int
        Maximum time that a request waits for a slot.
    caller_connections : int
        Maximum number of connections from callers.
    retry_ratio : float
        Number of retries allowed per first attempt, counted per route, or
        per service if ``retry_extra`` is set.
    retry_extra : float or None
        Number of retries per service that all nodes together may send beyond
        ``retry_ratio``; if null, each route of each node may send a burst of
        ten.
    own_zone_load : float
        Load per slot up to which targets in the zone of the node are
        preferred.
    crossing_ms_per_kb : float or None
        Cost of transferring a kilobyte of response between zones, in
        milliseconds of latency; if null, targets in the zone of the node are
        preferred as set by ``own_zone_load``.
    sheds_load : bool
        Whether requests past the capacity of a service are shed by priority,
        customer and what targets are seen to take. Otherwise each target's
        queue decides alone.
    policy : Policy
        Load balancing policy. ``expected-completion`` needs the loads that
        nodes share if ``load_interval_ms`` is set.
    load_interval_ms : int
        Interval at which the node shares the load of its targets with the
        other nodes, through the controls; 0 disables that.
    pipeline_depth : int
        Maximum number of pipelined requests per caller connection that are
        processed concurrently.
    connection_buffer_bytes : int
        Size of the requests and responses of one caller connection from which
        on no further pipelined request is read.
    buffer_bytes : int
        Limit of the requests and responses that the process buffers for all
        connections that it has accepted; beyond it, the connections that use
        most are closed.
    descriptor_share : float
        Share of the descriptors of the process that accepted connections may
        use.
    head_timeout_ms : int
        Time after which a connection is closed if a request head remains
        incomplete.
    response_timeout_ms : int
        Time after which a connection is closed if its peer reads nothing of a
        response.
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
    sheds_load: bool = True
    policy: Policy = Policy.OBSERVED
    load_interval_ms: int = 0
    connection_buffer_bytes: int = 1024 * 1024
    buffer_bytes: int = 32 * 1024 * 1024
    descriptor_share: float = 0.8
    head_timeout_ms: int = 10_000
    response_timeout_ms: int = 30_000


class NodeSettings(_StrictStruct, tag_field='kind', tag='node'):
    """Settings of a node.

    Parameters
    ----------
    node_id : NodeId
        Unique id.
    zone : ZoneName
        Availability zone.
    caller_address : Address
        Address for requests from callers.
    address : Address
        Address for requests forwarded by other nodes.
    admin_address : Address
        Address of the admin interface, where the local target announces
        itself, and of the metrics endpoint.
    advertised_address : Address or None
        Address at which other nodes reach this node if it differs from
        ``address``, for example behind a proxy.
    controls : tuple of Peer
        All controls; those in the zone of the node are tried first. With
        learned membership, the controls to contact first.
    membership : MembershipSource
        Source of the list of controls.
    region : RegionName
        Region of the availability zone.
    timings : NodeTimings
        Timings.
    limits : NodeLimits
        Resource limits and load balancing parameters.
    log : LogSettings
        Log settings.
    guarantees : Guarantees
        Bounds that hold over the whole fleet.
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
    guarantees: Guarantees = field(default_factory=Guarantees)


class HealthMode(Enum):
    """Behaviour of the health check endpoint of an emulated target."""

    HONEST = 'honest'
    ALWAYS_UP = 'always-up'
    ALWAYS_DOWN = 'always-down'


class ServiceTimeDistribution(Enum):
    """Distribution of the service time of an emulated target."""

    EXPONENTIAL = 'exponential'
    FIXED = 'fixed'


class TargetSettings(_StrictStruct, tag_field='kind', tag='target'):
    """Settings of an emulated target.

    Parameters
    ----------
    target_id : TargetId
        Unique id.
    service : ServiceName
        Service announced by the target.
    address : Address
        Loopback address for requests from the node.
    node_admin_address : Address
        Admin address of the node on the same machine.
    slots : int
        Number of requests processed concurrently; announced and enforced.
    connections : int
        Maximum number of connections; announced and enforced.
    service_time_ms : float
        Mean service time.
    service_times : ServiceTimeDistribution
        Distribution of the service time.
    cold_start_ms : int
        Time after the start during which requests take longer.
    sheds : bool
        Whether requests beyond ``slots`` are rejected with status 503.
    health : HealthMode
        Behaviour of the health check endpoint.
    run_log : str or None
        File to which one line is appended per request that ran.
    seed : int
        Seed for random service times.
    log : LogSettings
        Log settings.
    """

    target_id: TargetId
    service: ServiceName
    address: Address
    node_admin_address: Address
    slots: int = 20
    connections: int = 130
    service_time_ms: float = 2.0
    service_times: ServiceTimeDistribution = (
        ServiceTimeDistribution.EXPONENTIAL
    )
    cold_start_ms: int = 0
    sheds: bool = True
    health: HealthMode = HealthMode.HONEST
    run_log: str | None = None
    seed: int = 1
    log: LogSettings = field(default_factory=LogSettings)


Settings = ControlSettings | NodeSettings | TargetSettings
