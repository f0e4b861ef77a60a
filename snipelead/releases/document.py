"""Data model of a release, which every node keeps in full."""

from functools import cached_property

import msgspec
from msgspec import Struct
from msgspec.structs import astuple
import xxhash

from snipelead.types import ApiKey
from snipelead.types import Digest
from snipelead.types import ReleaseNumber
from snipelead.types import RequestClass
from snipelead.types import RouteName
from snipelead.types import ServiceName
from snipelead.types import SettingName
from snipelead.types import TenantName

__all__ = [
    'AUTHENTICATION_SETTING',
    'Customer',
    'EMPTY_RELEASE',
    'ReleaseId',
    'Release',
    'Route',
    'Service',
    'Setting',
    'WeightedService',
]

# Setting of a release; if true, requests must carry a customer's API key.
AUTHENTICATION_SETTING = SettingName('callers.authenticate')
DEFAULT_DEADLINE_MS = 2_000
DEFAULT_MAX_ATTEMPTS = 3
# Number of routes for which a process keeps statistics; several times the
# routes of one release, so that routes in use are not evicted.
MAX_TRACKED_ROUTES = 4_096
# Upper limit on the deadline of a request. Nodes remember attempt ids for
# twice this time, so that no id is forgotten while its request may still
# arrive.
MAX_DEADLINE_MS = 60_000


class Service(
    Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True
):
    """Service provided by a group of targets.

    Parameters
    ----------
    name : ServiceName
        Unique name.
    slots : int
        Number of requests that one target processes concurrently, unless the
        target announces another number.
    connections : int
        Maximum number of connections that one target accepts.
    health_path : str
        Path of the health check endpoint of the targets; empty if there is
        none.
    protocol : str
        Protocol of the targets.
    tls : bool
        Whether the targets require TLS.
    """

    name: ServiceName
    slots: int = 20
    connections: int = 130
    health_path: str = ''
    protocol: str = 'h1'
    tls: bool = False


class WeightedService(Struct, frozen=True, forbid_unknown_fields=True):
    """One weighted service of a route's traffic split.

    Parameters
    ----------
    service : ServiceName
        Service in the same release.
    weight : float
        Relative weight; the service receives this fraction of the sum of all
        weights.
    """

    service: ServiceName
    weight: float


class Route(
    Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True
):
    """Rule that routes matching requests to a service.

    Parameters
    ----------
    name : RouteName
        Unique name.
    service : ServiceName
        Service in the same release.
    path_prefix : str
        Prefix of the request path; the route with the longest matching
        prefix is selected.
    host : str or None
        Host to match, or None for any host.
    methods : tuple of str
        HTTP methods to match; empty for all methods.
    request_class : RequestClass
        Class of the requests.
    repeatable : bool
        Whether a request may be sent to a target more than once.
    tenant : TenantName or None
        Default tenant of requests that do not name one.
    deadline_ms : int
        Default deadline of requests without one, in milliseconds; at most
        ``MAX_DEADLINE_MS``.
    settings : tuple of SettingName
        Settings in the same release that the route depends on.
    split : tuple of WeightedService
        Traffic split over several services, of which ``service`` is the
        first; empty if all requests go to ``service``.
    timeout_ms : int
        Upper limit on the deadline of all requests, in milliseconds; 0 for
        no limit beyond the deadline of the request.
    target_latency_ms : int or None
        Latency objective, in milliseconds; later responses are worth less to
        the caller. None if the route has no such objective.
    priority : int
        Priority among the routes of a service; 0 is the highest.
    max_attempts : int
        Maximum number of targets that one request may be sent to.
    label : str
        Name given by the operator if several routes share that name, else
        empty.
    public : bool
        Whether requests need no API key in a release that asks for one.
    """

    name: RouteName
    service: ServiceName
    path_prefix: str = '/'
    host: str | None = None
    methods: tuple[str, ...] = ()
    request_class: RequestClass = RequestClass.INTERACTIVE
    repeatable: bool = False
    tenant: TenantName | None = None
    deadline_ms: int = DEFAULT_DEADLINE_MS
    settings: tuple[SettingName, ...] = ()
    split: tuple[WeightedService, ...] = ()
    timeout_ms: int = 0
    target_latency_ms: int | None = None
    priority: int = 0
    max_attempts: int = DEFAULT_MAX_ATTEMPTS
    label: str = ''
    public: bool = False

    @property
    def services(self):
        """Names of all services that the route sends requests to."""
        if not self.split:
            return (self.service,)
        return tuple(part.service for part in self.split)


class Customer(
    Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True
):
    """Customer whose requests are authenticated by API keys.

    Parameters
    ----------
    name : TenantName
        Unique name.
    api_keys : tuple of ApiKey
        Keys of which each authenticates a request as the customer's.
    priority : int or None
        Priority of the customer's requests, which takes precedence over that
        of their route; None for the priority of the route.
    rate_per_s : float
        Sustained rate limit over all nodes, in requests per second; 0 for no
        limit.
    burst : float
        Requests beyond the sustained rate that are allowed at once.
    """

    name: TenantName
    api_keys: tuple[ApiKey, ...] = ()
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0

    def __repr__(self):
        # Keys must not appear in logs or error messages.
        return f'Customer({self.name!r}, {len(self.api_keys)} keys)'


class Setting(
    Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True
):
    """Named value that routes can depend on.

    Parameters
    ----------
    name : SettingName
        Unique name.
    value : str, int, float or bool
        Value.
    """

    name: SettingName
    value: str | int | float | bool


class ReleaseId(Struct, frozen=True):
    """Identity of a release.

    Parameters
    ----------
    number : ReleaseNumber
        Number of the release.
    digest : Digest
        Digest of the number and contents of the release.
    """

    number: ReleaseNumber
    digest: Digest


class Release(Struct, frozen=True, dict=True):
    """Complete, immutable release; a node replaces its release atomically.

    Parameters
    ----------
    number : ReleaseNumber
        Number assigned by the operator; increases with every release.
    services, routes, settings, customers : dict
        Services, routes, settings and customers by name.
    """

    number: ReleaseNumber
    services: dict[ServiceName, Service] = {}
    routes: dict[RouteName, Route] = {}
    settings: dict[SettingName, Setting] = {}
    customers: dict[TenantName, Customer] = {}

    @cached_property
    def digest(self):
        """Digest of the number and contents, independent of the dict order."""
        tables = [self.services, self.routes, self.settings]
        if self.customers:
            tables.append(self.customers)
        packed = msgspec.msgpack.encode(
            (self.number, [_sort_field_values(table) for table in tables])
        )
        return Digest(xxhash.xxh3_128_hexdigest(packed))

    @property
    def release_id(self):
        """Number and digest of this release."""
        return ReleaseId(self.number, self.digest)


def _sort_field_values(table):
    """Return the field values of all entries in a canonical form.

    Equal tables must encode to the same bytes. The entries are sorted by name
    and all of their fields are included, because msgspec decides by object
    identity whether to omit a field that equals its default.
    """
    return [_get_field_values(table[name]) for name in sorted(table)]


def _get_field_values(entry):
    values = astuple(entry)
    # Releases from before this field existed keep their digests, which nodes
    # and controls of different versions compare.
    if isinstance(entry, Route) and not entry.public:
        return values[:-1]
    return values


EMPTY_RELEASE = Release(ReleaseNumber(0))
