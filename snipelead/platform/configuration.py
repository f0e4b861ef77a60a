"""JSON format in which operators of the platform send and read releases."""

from typing import Annotated

import msgspec
from msgspec import field
from msgspec import Meta
from msgspec import Struct

from snipelead.platform.exceptions import UnreadableConfigurationError
from snipelead.platform.formats import decode_duration_ms
from snipelead.platform.formats import decode_release_number
from snipelead.platform.formats import encode_duration
from snipelead.platform.formats import encode_release_number
from snipelead.releases.document import AUTHENTICATION_SETTING
from snipelead.releases.document import Customer
from snipelead.releases.document import MAX_DEADLINE_MS
from snipelead.releases.document import Release
from snipelead.releases.document import Route
from snipelead.releases.document import Service
from snipelead.releases.document import Setting
from snipelead.releases.document import WeightedService
from snipelead.types import ApiKey
from snipelead.types import ReleaseNumber
from snipelead.types import RequestClass
from snipelead.types import RouteName
from snipelead.types import ServiceName
from snipelead.types import SettingName
from snipelead.types import TenantName
from snipelead.utils.decoding import limit_nesting

__all__ = [
    'ReleaseReplacement',
    'decode_configuration',
    'encode_configuration',
]

# Release settings that hold the parts of a configuration that apply to all
# services and routes.
BASE_SETTING = SettingName('release.base')
HEAD_BYTES_SETTING = SettingName('callers.head_bytes')
BODY_BYTES_SETTING = SettingName('callers.body_bytes')
HEAD_TIMEOUT_SETTING = SettingName('callers.head_timeout_ms')
IDLE_TIMEOUT_SETTING = SettingName('callers.idle_timeout_ms')
# The latency objective of a route may exceed its timeout by less than this.
MAX_LATENCY_EXCESS_MS = 60_000
MIN_CONNECTIONS = 1
# Releases are encoded as msgpack, which has no larger integers.
_Integer = Annotated[int, Meta(ge=-(2**63), le=2**63 - 1)]


class ReleaseReplacement(Struct, frozen=True):
    """Request of an operator to replace the current release.

    Parameters
    ----------
    base : ReleaseNumber
        Number of the release to be replaced.
    release : Release
        Complete new release.
    """

    base: ReleaseNumber
    release: Release


class _Service(Struct, rename='kebab'):
    name: ServiceName
    health_path: str
    max_connections: _Integer
    protocol: str = 'h1'
    tls: bool = False


class _WeightedService(Struct):
    service: ServiceName
    weight: float | int


class _PathRule(Struct, rename='kebab', omit_defaults=True):
    name: str
    path_prefix: str
    kind: str
    timeout: str
    target_latency: str
    priority: _Integer
    max_attempts: _Integer
    service: ServiceName | None = None
    # Each request goes to one of these services, chosen by weight.
    traffic_split: list[_WeightedService] | None = None
    public: bool | None = None


class _VirtualHost(Struct):
    host: str
    paths: list[_PathRule]


class _Tenant(Struct, rename='kebab', omit_defaults=True):
    name: TenantName
    api_keys: list[ApiKey]
    priority: _Integer | None = None
    rate_per_s: float | int | None = None
    burst: float | int | None = None


class _Limits(Struct, rename='kebab'):
    max_header_bytes: _Integer
    max_body_bytes: _Integer
    header_timeout: str
    idle_timeout: str


class _Configuration(Struct, rename='kebab', omit_defaults=True):
    # Number of the release, not of the message format.
    version: str
    services: list[_Service]
    limits: _Limits
    base_version: str
    virtual_hosts: list[_VirtualHost] = field(name='virtual-hosts')
    # If present, requests are authenticated.
    tenants: list[_Tenant] | None = None


_decode_json = limit_nesting(msgspec.json.Decoder(_Configuration).decode)
_encode_json = msgspec.json.encode


def decode_configuration(body):
    """Decode a configuration sent by an operator.

    Parameters
    ----------
    body : bytes
        JSON document.

    Returns
    -------
    ReleaseReplacement

    Raises
    ------
    UnreadableConfigurationError
        If the document is incomplete or malformed, or has a value that is
        not allowed.
    """
    try:
        document = _decode_json(body)
        number = decode_release_number(document.version)
        base = decode_release_number(document.base_version)
        services = {s.name: _decode_service(s) for s in document.services}
        routes = _decode_routes(document.virtual_hosts)
        settings = _decode_limits(document.limits)
        customers = _decode_tenants(document.tenants or ())
    except (msgspec.DecodeError, ValueError, OverflowError) as error:
        raise UnreadableConfigurationError(
            f'the configuration is malformed: {error}'
        ) from error
    settings[BASE_SETTING] = Setting(BASE_SETTING, base)
    if document.tenants is not None:
        settings[AUTHENTICATION_SETTING] = Setting(
            AUTHENTICATION_SETTING, True
        )
    return ReleaseReplacement(
        base, Release(number, services, routes, settings, customers)
    )


def _decode_tenants(tenants):
    customers = {}
    for tenant in tenants:
        if tenant.name in customers:
            raise ValueError(f'tenant {tenant.name!r} is listed twice')
        customers[tenant.name] = Customer(
            tenant.name,
            tuple(tenant.api_keys),
            tenant.priority,
            float(tenant.rate_per_s or 0),
            float(tenant.burst or 0),
        )
    return customers


def _decode_service(service):
    return Service(
        service.name,
        connections=max(MIN_CONNECTIONS, service.max_connections),
        health_path=service.health_path,
        protocol=service.protocol,
        tls=service.tls,
    )


def _decode_routes(hosts):
    routes = {}
    for host in hosts:
        for path in host.paths:
            name = path.name
            occurrence = 1
            # Routes of different hosts may share a name, but the names of
            # a release are unique.
            while name in routes:
                occurrence += 1
                name = f'{path.name}:{occurrence}'
            routes[name] = _decode_route(name, host.host, path)
    return routes


def _decode_route(name, host, path):
    timeout_ms = decode_duration_ms(path.timeout)
    latency_ms = decode_duration_ms(path.target_latency)
    if timeout_ms <= 0:
        raise ValueError(
            f'route {name!r}: timeout must be above 0, got {path.timeout}'
        )
    if latency_ms - timeout_ms >= MAX_LATENCY_EXCESS_MS:
        raise ValueError(
            f'route {name!r}: target-latency {path.target_latency} must be'
            f' less than 60 s above the timeout {path.timeout}'
        )
    if path.kind not in ('safe', 'unsafe'):
        raise ValueError(
            f'route {name!r}: kind must be safe or unsafe, got {path.kind!r}'
        )
    parts = tuple(
        WeightedService(part.service, float(part.weight))
        for part in path.traffic_split or ()
    )
    service = path.service or (parts[0].service if parts else None)
    if service is None:
        raise ValueError(
            f'route {name!r}: either service or traffic-split must be given'
        )
    is_safe = path.kind == 'safe'
    return Route(
        RouteName(name),
        service,
        path.path_prefix,
        host,
        request_class=(
            RequestClass.INTERACTIVE if is_safe else RequestClass.ONCE
        ),
        repeatable=is_safe,
        deadline_ms=min(timeout_ms, MAX_DEADLINE_MS),
        split=parts,
        timeout_ms=timeout_ms,
        target_latency_ms=max(0, latency_ms),
        priority=path.priority,
        max_attempts=path.max_attempts,
        label=path.name if name != path.name else '',
        public=bool(path.public),
    )


def _decode_limits(limits):
    values = {
        HEAD_BYTES_SETTING: limits.max_header_bytes,
        BODY_BYTES_SETTING: limits.max_body_bytes,
        HEAD_TIMEOUT_SETTING: decode_duration_ms(limits.header_timeout),
        IDLE_TIMEOUT_SETTING: decode_duration_ms(limits.idle_timeout),
    }
    return {name: Setting(name, value) for name, value in values.items()}


def encode_configuration(release):
    """Encode a release that was decoded by :func:`decode_configuration`.

    Parameters
    ----------
    release : Release
        Release to encode.

    Returns
    -------
    bytes
        JSON document.
    """
    values = {name: s.value for name, s in release.settings.items()}
    is_authenticated = AUTHENTICATION_SETTING in values
    hosts = {}
    for route in release.routes.values():
        paths = hosts.setdefault(route.host, [])
        paths.append(_encode_route(route, is_authenticated))
    return _encode_json(
        _Configuration(
            encode_release_number(release.number),
            [_encode_service(s) for s in release.services.values()],
            _Limits(
                values.get(HEAD_BYTES_SETTING, 0),
                values.get(BODY_BYTES_SETTING, 0),
                encode_duration(values.get(HEAD_TIMEOUT_SETTING, 0)),
                encode_duration(values.get(IDLE_TIMEOUT_SETTING, 0)),
            ),
            encode_release_number(values.get(BASE_SETTING, 0)),
            [_VirtualHost(host, paths) for host, paths in hosts.items()],
            [_encode_customer(c) for c in release.customers.values()]
            if is_authenticated
            else None,
        )
    )


def _encode_service(service):
    return _Service(
        service.name,
        service.health_path,
        service.connections,
        service.protocol,
        service.tls,
    )


def _encode_customer(customer):
    return _Tenant(
        customer.name,
        list(customer.api_keys),
        customer.priority,
        _drop_zero_fraction(customer.rate_per_s) or None,
        _drop_zero_fraction(customer.burst) or None,
    )


def _encode_route(route, is_authenticated):
    parts = [
        _WeightedService(p.service, _drop_zero_fraction(p.weight))
        for p in route.split
    ]
    return _PathRule(
        route.label or route.name,
        route.path_prefix,
        'safe' if route.repeatable else 'unsafe',
        encode_duration(route.timeout_ms),
        encode_duration(route.target_latency_ms or 0),
        route.priority,
        route.max_attempts,
        None if parts else route.service,
        parts or None,
        route.public if is_authenticated else None,
    )


def _drop_zero_fraction(weight):
    return int(weight) if weight.is_integer() else weight
