"""Settings of processes on the platform.

The files are made from the templates in ``deploy/``; keys are the product's.
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
from snipelead.utils.documents import load_yaml
from snipelead.utils.exceptions import DocumentError

__all__ = [
    'PlatformControlSettings',
    'PlatformNodeSettings',
    'load_platform_settings',
]

# A poll of a control is answered after at most this time, so that a silent
# control is noticed well within the time in which a release must be in force.
HOLD_MS = 1_200
MISS_MS = 600
# Callers notice that a node stops by two readiness checks, a second apart.
LINGER_MS = 2_400
# Part of the grace period that is left for the end of the process.
EXIT_MARGIN_MS = 400
# Reports that a target may miss before it counts as gone.
MISSED_REPORTS = 5
# Half of what all nodes together may retry: nodes that start know nothing of
# what others have spent.
RETRY_SHARE = 0.5
# A kilobyte that crosses zones costs about 0.02 of a request. With times that
# spread as widely as their mean, 140 ms more make one more request in 25 late,
# which loses half of its worth.
CROSSING_MS_PER_KB = 140.0


class PlatformNodeSettings(Struct, frozen=True, tag_field='kind', tag='node'):
    """What the platform tells a node.

    Parameters
    ----------
    node_id, zone, region : NodeId, ZoneName, RegionName
        The node and its place.
    service : ServiceName
        Service of the target beside the node.
    caller_address : Address
        Where clients connect.
    peer_address : Address
        Where other nodes forward requests to.
    ready_address : Address
        Where the platform asks whether the node is ready.
    report_address : Address
        Where the target beside the node reports itself.
    seeds : tuple of Address
        Where some controls take orders.
    internal_ports : tuple of int
        First and last port for the system's own use.
    heartbeat : str
        Time between two reports of a target.
    grace : str
        Time from SIGTERM until the process is killed.
    retry_ratio, retry_extra : float
        Retries that all nodes together may make: a share of the requests,
        and a number beyond that.
    metrics_port : int or None
        Where metrics are served; None serves none.
    advertised_address : Address or None
        Where other nodes reach ``peer_address`` when that is not the same.
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

    def to_settings(self):
        """Return the settings of the product's node."""
        grace_ms = decode_duration_ms(self.grace)
        heartbeat_ms = decode_duration_ms(self.heartbeat)
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
                hold_ms=HOLD_MS,
                miss_ms=MISS_MS,
                grace_ms=grace_ms - EXIT_MARGIN_MS,
                linger_ms=min(LINGER_MS, grace_ms // 2),
                announce_lease_ms=MISSED_REPORTS * heartbeat_ms,
            ),
            limits=NodeLimits(
                retry_ratio=RETRY_SHARE * self.retry_ratio,
                retry_extra=RETRY_SHARE * self.retry_extra,
                crossing_ms_per_kb=CROSSING_MS_PER_KB,
                body_bytes=64 * 1024 * 1024,
            ),
            log=LogSettings(),
        )


class PlatformControlSettings(
    Struct, frozen=True, tag_field='kind', tag='control'
):
    """What the platform tells a control.

    Parameters
    ----------
    ip : str
        Address of its VM.
    zone, region : ZoneName, RegionName
        Its place.
    order_address : Address
        Where operators send whole releases.
    internal_ports : tuple of int
        First and last port for the system's own use.
    data_dir : str
        Folder on its disk.
    seeds : tuple of Address
        Where some controls take orders.
    may_found : bool
        Whether the whole system starts for the first time.
    metrics_port : int or None
        Where metrics are served; None serves none.
    listen_address : Address or None
        Where it listens for other processes when that is not the first of
        ``internal_ports`` at ``ip``.
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

    def to_settings(self):
        """Return the settings of the product's control."""
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
                exchange_hold_ms=HOLD_MS, exchange_miss_ms=MISS_MS
            ),
            log=LogSettings(),
        )


def make_peers(seeds, internal_ports):
    """Return the controls that take orders at some addresses.

    Each calls the others at the first port for the system's own use, which
    is the same on all VMs.
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


def load_platform_settings(path):
    """Read a settings file.

    Raises
    ------
    SettingsError
        If it cannot be read or a value is not allowed.
    """
    try:
        document = load_yaml(Path(path).read_bytes())
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
