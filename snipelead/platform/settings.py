"""Settings of node and control processes on the platform.

The settings files are rendered from the templates in ``deploy/``. Their keys
are defined here; only the values are filled in by the platform.
"""

from pathlib import Path

import msgspec
from msgspec import Struct

from snipelead.exceptions import InvalidParameterError
from snipelead.platform.formats import decode_duration_ms
from snipelead.settings.constraints import check_settings
from snipelead.settings.exceptions import SettingsError
from snipelead.settings.schema import ControlSettings
from snipelead.settings.schema import ControlTimings
from snipelead.settings.schema import Guarantees
from snipelead.settings.schema import LogSettings
from snipelead.settings.schema import NodeLimits
from snipelead.settings.schema import NodeSettings
from snipelead.settings.schema import NodeTimings
from snipelead.settings.schema import Peer
from snipelead.types import Address
from snipelead.types import ControlId
from snipelead.types import MembershipSource
from snipelead.types import NodeId
from snipelead.types import RegionName
from snipelead.types import ServiceName
from snipelead.types import ZoneName
from snipelead.utils.documents import parse_yaml
from snipelead.utils.exceptions import DocumentError

__all__ = [
    'PlatformControlSettings',
    'PlatformNodeSettings',
    'load_platform_settings',
]

# Longest time that a control holds a poll without news, and how much later the
# answer may arrive. Both are short so that an unresponsive control is noticed
# well within the time in which a release must be in force.
POLL_HOLD_MS = 1_200
POLL_MARGIN_MS = 600
# Clients notice that a node is stopping after two failed readiness checks, one
# second apart.
LINGER_MS = 2_400
# Part of the grace period that is reserved for the exit of the process.
EXIT_MARGIN_MS = 400
# Consecutive heartbeats that a target may miss before it is considered gone.
MAX_MISSED_HEARTBEATS = 5
# Fraction of the platform's retry budget that nodes use. Half of it is kept in
# reserve, since a node that starts does not know what other nodes have spent.
NODE_RETRY_FRACTION = 0.5
# Latency considered as costly as sending one kilobyte across zones, which is
# about 0.02 of the value of a request: if the standard deviation of response
# times equals their mean, 140 ms more make one more request in 25 late, and a
# late request loses half of its value.
CROSSING_MS_PER_KB = 140.0


class PlatformBounds(Struct, frozen=True):
    """Bounds of the platform that are optional.

    The template passes the whole group, so that a bound that an installation
    does not state, or that is not known here, keeps no process from starting.

    Parameters
    ----------
    strict_revoke : bool or None
        Whether removed API keys must be refused within ``revoke`` everywhere.
    revoke, quota_window, rollback : str or None
        Durations.
    quota_overage, quota_extra : float or None
        Tolerance of the rate limits of customers.
    exposure_share, exposure_extra : float or None
        Share and number of requests that a bad version may receive.
    """

    strict_revoke: bool | None = None
    revoke: str | None = None
    quota_window: str | None = None
    quota_overage: float | None = None
    quota_extra: float | None = None
    exposure_share: float | None = None
    exposure_extra: float | None = None
    rollback: str | None = None

    def to_guarantees(self):
        """Convert to the product's settings."""
        return Guarantees(
            revocation_ms=(
                _decode_optional_ms(self.revoke) if self.strict_revoke else 0
            ),
            quota_window_ms=_decode_optional_ms(self.quota_window),
            quota_overage=self.quota_overage or 0.0,
            quota_extra=self.quota_extra or 0.0,
            exposure_share=self.exposure_share or 0.0,
            exposure_extra=self.exposure_extra or 0.0,
            rollback_ms=_decode_optional_ms(self.rollback),
        )


def _to_guarantees(bounds):
    return (bounds or PlatformBounds()).to_guarantees()


def _decode_optional_ms(text):
    return 0 if text is None else decode_duration_ms(text)


class PlatformNodeSettings(Struct, frozen=True, tag_field='kind', tag='node'):
    """Settings of a node, as rendered from the platform's template.

    Parameters
    ----------
    node_id, zone, region : NodeId, ZoneName, RegionName
        Identity and location of the node.
    service : ServiceName
        Service of the node's local target.
    caller_address : Address
        Listening address for requests of clients.
    peer_address : Address
        Listening address for requests forwarded by other nodes.
    ready_address : Address
        Listening address for readiness checks of the platform.
    report_address : Address
        Listening address for heartbeats of the local target.
    seeds : tuple of Address
        Addresses at which some of the controls accept configurations.
    internal_ports : tuple of int
        First and last port reserved for traffic between processes.
    heartbeat : str
        Interval between two heartbeats of a target.
    grace : str
        Time from SIGTERM until the process is killed.
    retry_ratio, retry_extra : float
        Retry budget of all nodes together: a ratio of retries to requests,
        and a number of retries beyond that.
    metrics_port : int or None
        Port on which metrics are served; None disables them.
    advertised_address : Address or None
        Address at which other nodes reach this one, if it differs from
        ``peer_address``.
    bounds : PlatformBounds or None
        Optional bounds; None if the deployment states none.
    """

    node_id: NodeId
    zone: ZoneName
    region: RegionName
    service: ServiceName
    caller_address: Address
    peer_address: Address
    ready_address: Address
    report_address: Address
    seeds: tuple[Address, ...]
    internal_ports: tuple[int, int]
    heartbeat: str
    grace: str
    retry_ratio: float
    retry_extra: float
    metrics_port: int | None = None
    advertised_address: Address | None = None
    bounds: PlatformBounds | None = None

    def to_settings(self):
        """Convert to the product's node settings."""
        grace_ms = decode_duration_ms(self.grace)
        heartbeat_ms = decode_duration_ms(self.heartbeat)
        guarantees = _to_guarantees(self.bounds)
        return NodeSettings(
            node_id=self.node_id,
            zone=self.zone,
            region=self.region,
            caller_address=self.caller_address,
            address=self.peer_address,
            admin_address=self.report_address,
            advertised_address=self.advertised_address,
            controls=make_peers(self.seeds, self.internal_ports),
            membership=MembershipSource.LEARNED,
            timings=NodeTimings(
                hold_ms=POLL_HOLD_MS,
                miss_ms=POLL_MARGIN_MS,
                grace_ms=grace_ms - EXIT_MARGIN_MS,
                linger_ms=min(LINGER_MS, grace_ms // 2),
                announce_lease_ms=MAX_MISSED_HEARTBEATS * heartbeat_ms,
            ),
            limits=NodeLimits(
                retry_ratio=NODE_RETRY_FRACTION * self.retry_ratio,
                retry_extra=NODE_RETRY_FRACTION * self.retry_extra,
                crossing_ms_per_kb=CROSSING_MS_PER_KB,
                body_bytes=64 * 1024 * 1024,
                # Deployments whose customers do not compete keep the queues
                # that they were tuned with.
                sheds_load=guarantees.quota_window_ms > 0,
            ),
            log=LogSettings(),
            guarantees=guarantees,
        )


class PlatformControlSettings(
    Struct, frozen=True, tag_field='kind', tag='control'
):
    """Settings of a control, as rendered from the platform's template.

    Parameters
    ----------
    ip : str
        IP address of the VM.
    zone, region : ZoneName, RegionName
        Location of the control.
    order_address : Address
        Listening address for configurations sent by operators.
    internal_ports : tuple of int
        First and last port reserved for traffic between processes.
    data_dir : str
        Directory for persistent data.
    seeds : tuple of Address
        Addresses at which some of the controls accept configurations.
    may_found : bool
        Whether a new cluster may be created; true only when the whole system
        starts for the first time.
    metrics_port : int or None
        Port on which metrics are served; None disables them.
    listen_address : Address or None
        Listening address for other processes, if it differs from ``ip`` with
        the first of ``internal_ports``.
    bounds : PlatformBounds or None
        Optional bounds; None if the deployment states none.
    """

    ip: str
    zone: ZoneName
    region: RegionName
    order_address: Address
    internal_ports: tuple[int, int]
    data_dir: str
    seeds: tuple[Address, ...]
    may_found: bool
    metrics_port: int | None = None
    listen_address: Address | None = None
    bounds: PlatformBounds | None = None

    def to_settings(self):
        """Convert to the product's control settings."""
        address = Address(f'{self.ip}:{self.internal_ports[0]}')
        return ControlSettings(
            control_id=ControlId(address),
            zone=self.zone,
            region=self.region,
            address=address,
            operator_address=self.order_address,
            listen_address=self.listen_address,
            data_dir=self.data_dir,
            peers=make_peers(self.seeds, self.internal_ports),
            membership=MembershipSource.LEARNED,
            may_found=self.may_found,
            timings=ControlTimings(
                exchange_hold_ms=POLL_HOLD_MS, exchange_miss_ms=POLL_MARGIN_MS
            ),
            log=LogSettings(),
            guarantees=_to_guarantees(self.bounds),
        )


def make_peers(seeds, internal_ports):
    """Return the peers that correspond to seed addresses.

    Controls reach each other on the first internal port, which is the same on
    all VMs.

    Parameters
    ----------
    seeds : tuple of Address
        Addresses at which controls accept configurations.
    internal_ports : tuple of int
        First and last port reserved for traffic between processes.

    Returns
    -------
    tuple of Peer
        Their zones are not known from the settings.
    """
    addresses = [
        Address(f'{seed.rpartition(":")[0]}:{internal_ports[0]}')
        for seed in seeds
    ]
    return tuple(
        Peer(
            control_id=ControlId(address),
            zone=ZoneName('unknown'),
            address=address,
        )
        for address in addresses
    )


def _rename_bounds(document):
    """Return a settings file with the settings' own names of bounds.

    The template passes the group under the platform's names.
    """
    match document:
        case {'bounds': dict() as bounds}:
            renamed = {
                str(name).replace('-', '_'): value
                for name, value in bounds.items()
            }
            return document | {'bounds': renamed}
    return document


def load_platform_settings(path):
    """Load and check a settings file.

    Parameters
    ----------
    path : str
        Settings file.

    Returns
    -------
    PlatformNodeSettings or PlatformControlSettings

    Raises
    ------
    SettingsError
        If the file cannot be read or a value is not allowed.
    """
    try:
        document = _rename_bounds(parse_yaml(Path(path).read_bytes()))
        settings = msgspec.convert(
            document, PlatformNodeSettings | PlatformControlSettings
        )
        check_settings(settings.to_settings())
    except (
        DocumentError,
        InvalidParameterError,
        OSError,
        ValueError,
        msgspec.ValidationError,
    ) as error:
        raise SettingsError(f'{path}: {error}', file=path) from error
    return settings
