"""Emulated operators and heartbeat senders of the users' platform."""

from itertools import count

import msgspec
from msgspec import Struct
import trio

from snipelead.emulator.client import CallerConnection
from snipelead.emulator.exceptions import InvalidResponseError

__all__ = [
    'CustomerSpec',
    'PlatformOperator',
    'RouteSpec',
    'HeartbeatSender',
    'encode_release',
    'parse_release_number',
]

# Calls without a complete response are given up after this time.
CALL_TIMEOUT_S = 1.0
HEARTBEAT_INTERVAL_S = 0.5
LIMITS = {
    'max-header-bytes': 16_384,
    'max-body-bytes': 1_048_576,
    'header-timeout': '3000ms',
    'idle-timeout': '15000ms',
}


class CustomerSpec(Struct, frozen=True):
    """Specification of a customer in a release.

    Parameters
    ----------
    name : str
        Name of the customer.
    api_keys : tuple of str
        API keys of the customer.
    rate_per_s, burst : float
        Rate limit in requests per second, and burst; 0 without a limit.
    """

    name: str
    api_keys: tuple[str, ...]
    rate_per_s: float = 0.0
    burst: float = 0.0

    def to_tenant(self):
        """Return the customer as an entry of ``tenants`` in the release."""
        tenant = {'name': self.name, 'api-keys': self.api_keys}
        if self.rate_per_s:
            tenant |= {'rate-per-s': self.rate_per_s, 'burst': self.burst}
        return tenant


class RouteSpec(Struct, frozen=True):
    """Specification of a route in a release.

    Parameters
    ----------
    prefix : str
        Path prefix that the route serves, with leading and trailing slash.
    service : str
        Service that requests are sent to, unless there is a split.
    repeatable : bool
        Whether requests may run more than once.
    timeout_ms, target_latency_ms : int
        Timeout and latency objective of a response, in milliseconds.
    max_attempts : int
        Maximum number of targets that one request is sent to.
    split : tuple of (str, float)
        Weighted services that the requests are split among.
    public : bool
        Whether requests need no API key.
    """

    prefix: str
    service: str
    repeatable: bool = True
    timeout_ms: int = 2_000
    target_latency_ms: int = 500
    max_attempts: int = 2
    split: tuple[tuple[str, float], ...] = ()
    public: bool = False

    @property
    def services(self):
        """Services that requests may be sent to."""
        if self.split:
            return tuple(name for name, weight in self.split if weight)
        return (self.service,)

    def to_path(self):
        """Return the route as an entry of ``paths`` in the release."""
        path = {
            'name': 'r' + self.prefix.replace('/', '-').rstrip('-'),
            'path-prefix': self.prefix,
            'kind': 'safe' if self.repeatable else 'unsafe',
            'timeout': f'{self.timeout_ms}ms',
            'target-latency': f'{self.target_latency_ms}ms',
            'priority': 1 + self.repeatable,
            'max-attempts': self.max_attempts,
        }
        if self.split:
            path['traffic-split'] = [
                {'service': name, 'weight': weight}
                for name, weight in self.split
            ]
        else:
            path['service'] = self.service
        return path


def encode_release(  # noqa: PLR0913
    number, base, host, routes, services, customers=None
):
    """Encode a complete release as JSON.

    Parameters
    ----------
    number, base : int
        Number of the release and of its base release.
    host : str
        Virtual host of all routes.
    routes : iterable of RouteSpec
        Routes of the release.
    services : iterable of str
        Names of the services.
    customers : iterable of CustomerSpec or None
        Customers; None if requests are not authenticated.

    Returns
    -------
    bytes
    """
    routes = tuple(routes)
    paths = [r.to_path() for r in routes]
    document = {
        'version': f'{number:08x}',
        'services': [
            {
                'name': name,
                'health-path': '/health',
                'max-connections': 110,
                'protocol': 'h1',
                'tls': False,
            }
            for name in services
        ],
        'limits': LIMITS,
        'base-version': f'{base:08x}',
        'virtual-hosts': [{'host': host, 'paths': paths}],
    }
    if customers is not None:
        document['tenants'] = [c.to_tenant() for c in customers]
        # Operators state this of every path of a release with tenants.
        for path, route in zip(paths, routes, strict=True):
            path['public'] = route.public
    return msgspec.json.encode(document)


def parse_release_number(body):
    """Return the number of a JSON-encoded release."""
    return int(msgspec.json.decode(body)['version'], 16)


async def send_request(address, method, path, body=b''):
    """Send one request on a new connection.

    Returns
    -------
    Response or None
        None if there was no complete response in time.
    """
    with trio.move_on_after(CALL_TIMEOUT_S):
        try:
            connection = await CallerConnection.open(address)
            try:
                return await connection.request(method, path, body=body)
            finally:
                connection.close()
        except (OSError, trio.BrokenResourceError, InvalidResponseError):
            return None
    return None


class PlatformOperator:
    """Submits complete releases and reads them back.

    Parameters
    ----------
    addresses : sequence of Address
        Operator addresses of the controls.
    """

    def __init__(self, addresses):
        self.addresses = addresses

    async def submit(self, body, address):
        """Submit a release to one control; return its response or None."""
        return await send_request(address, 'PUT', '/config', body)

    async def read_newest(self, address):
        """Read the newest release at a control; return a response or None."""
        return await send_request(address, 'GET', '/config')


class HeartbeatSender:
    """Sends the heartbeats of a target to its local node.

    Parameters
    ----------
    target_id, service, zone : str
        Id, service and availability zone of the target.
    address : Address
        Address that the target serves on.
    report_address : Address
        Address that the node receives heartbeats on.
    slots : int
        Maximum number of concurrent requests.
    started_ms : int
        Start time of the target, in milliseconds since the Unix epoch.

    Attributes
    ----------
    is_leaving : bool
        Whether heartbeats say that the target is leaving.
    """

    def __init__(
        self,
        target_id,
        service,
        zone,
        address,
        report_address,
        slots,
        started_ms,
    ):
        self.target_id = target_id
        self.service = service
        self.zone = zone
        self.address = address
        self.report_address = report_address
        self.slots = slots
        self.started_ms = started_ms
        self.is_leaving = False
        self.sequence_numbers = count(1)
        self.delayed_heartbeat = b''

    async def run(self):
        """Send heartbeats until cancelled."""
        while True:
            await self.send_heartbeat()
            await trio.sleep(HEARTBEAT_INTERVAL_S)

    async def send_delayed_heartbeat(self):
        """Send the last heartbeat from before leaving, as if delayed."""
        if self.delayed_heartbeat:
            await self._send_request('PUT', self.delayed_heartbeat)

    async def send_heartbeat(self):
        """Send a heartbeat; return whether the node acknowledged it."""
        body = self._encode()
        if not self.is_leaving:
            self.delayed_heartbeat = body
        response = await self._send_request('PUT', body)
        return response is not None and response.status == 200

    async def withdraw(self):
        """Withdraw the target; return whether the node acknowledged it."""
        response = await self._send_request('DELETE', b'')
        return response is not None and response.status == 200

    async def _send_request(self, method, body):
        path = f'/instances/{self.target_id}'
        return await send_request(self.report_address, method, path, body)

    def _encode(self):
        return msgspec.json.encode(
            {
                'address': self.address,
                'born': self.started_ms,
                'info': {
                    'service': self.service,
                    'version': 'v1',
                    'zone': self.zone,
                    'slots': self.slots,
                },
                'status': {
                    'state': 'draining' if self.is_leaving else 'ready',
                    'seq': next(self.sequence_numbers),
                    'cold-remaining': '0ms',
                },
            }
        )
