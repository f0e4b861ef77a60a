"""Stand-in of operators and reporting targets on the users' platform."""

from itertools import count

import msgspec
from msgspec import Struct
import trio

from snipelead.emulator.client import CallerConnection
from snipelead.emulator.exceptions import WrongAnswerError

__all__ = [
    'PlatformOperator',
    'RouteSpec',
    'TargetReporter',
    'encode_order',
    'read_number',
]

# Time after which the next control or report is tried, in seconds.
CALL_TIMEOUT_S = 1.0
HEARTBEAT_S = 0.5
LIMITS = {
    'max-header-bytes': 16_384,
    'max-body-bytes': 1_048_576,
    'header-timeout': '3000ms',
    'idle-timeout': '15000ms',
}


class RouteSpec(Struct, frozen=True):
    """A route of a release.

    Parameters
    ----------
    prefix : str
        Paths that it serves, from slash to slash.
    service : str
        Where its requests go.
    repeatable : bool
        Whether they may be repeated.
    timeout_ms, latency_ms : int
        Longest time to an answer and when it is late, in milliseconds.
    max_attempts : int
        Targets that one request may be sent to.
    """

    prefix: str
    service: str
    repeatable: bool = True
    timeout_ms: int = 2_000
    latency_ms: int = 500
    max_attempts: int = 2

    def to_path(self):
        """Return the route as operators write it."""
        return {
            'name': 'r' + self.prefix.replace('/', '-').rstrip('-'),
            'path-prefix': self.prefix,
            'kind': 'safe' if self.repeatable else 'unsafe',
            'timeout': f'{self.timeout_ms}ms',
            'target-latency': f'{self.latency_ms}ms',
            'priority': 1 + self.repeatable,
            'service': self.service,
            'max-attempts': self.max_attempts,
        }


def encode_order(number, base, host, routes, services):
    """Return the bytes of a whole release.

    Parameters
    ----------
    number, base : int
        Number of the release and of the one that it replaces.
    host : str
        Host of all routes.
    routes : iterable of RouteSpec
        Its routes.
    services : iterable of str
        Its services.
    """
    return msgspec.json.encode(
        {
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
            'virtual-hosts': [
                {'host': host, 'paths': [r.to_path() for r in routes]}
            ],
        }
    )


def read_number(body):
    """Return the number of a release that was read back."""
    return int(msgspec.json.decode(body)['version'], 16)


async def call(address, method, path, body=b''):
    """Make one call on a connection of its own.

    Returns
    -------
    Answer or None
        None when no clear answer came in time.
    """
    with trio.move_on_after(CALL_TIMEOUT_S):
        try:
            connection = await CallerConnection.open(address)
            try:
                return await connection.request(method, path, body=body)
            finally:
                connection.close()
        except (OSError, trio.BrokenResourceError, WrongAnswerError):
            return None
    return None


class PlatformOperator:
    """Sends whole releases and reads them back.

    Parameters
    ----------
    addresses : sequence of Address
        Where controls take orders.
    """

    def __init__(self, addresses):
        self.addresses = addresses

    async def order(self, body, address):
        """Send an order to one control; returns its answer or None."""
        return await call(address, 'PUT', '/config', body)

    async def read(self, address):
        """Read the newest release at a control; returns an answer or None."""
        return await call(address, 'GET', '/config')


class TargetReporter:
    """Tells the node beside a target about it.

    Parameters
    ----------
    target_id, service, zone : str
        The target and its place.
    address : Address
        Where it serves.
    report_address : Address
        Where its node takes reports.
    slots : int
        Requests that it runs at a time.
    born_ms : int
        Unix time of its start, in milliseconds.

    Attributes
    ----------
    is_leaving : bool
        Whether it tells that it takes no new work.
    """

    def __init__(
        self, target_id, service, zone, address, report_address, slots, born_ms
    ):
        self.target_id = target_id
        self.service = service
        self.zone = zone
        self.address = address
        self.report_address = report_address
        self.slots = slots
        self.born_ms = born_ms
        self.is_leaving = False
        self.numbers = count(1)
        self.delayed = b''

    async def run(self):
        """Report until cancelled."""
        while True:
            await self.report()
            await trio.sleep(HEARTBEAT_S)

    async def report_late(self):
        """Let a report arrive that was delayed on its way."""
        if self.delayed:
            await self._call('PUT', self.delayed)

    async def report(self):
        """Report once; returns whether it was acknowledged."""
        body = self._encode()
        if not self.is_leaving:
            self.delayed = body
        answer = await self._call('PUT', body)
        return answer is not None and answer.status == 200

    async def withdraw(self):
        """Tell that the target is gone; returns whether it was heard."""
        answer = await self._call('DELETE', b'')
        return answer is not None and answer.status == 200

    async def _call(self, method, body):
        path = f'/instances/{self.target_id}'
        return await call(self.report_address, method, path, body)

    def _encode(self):
        return msgspec.json.encode(
            {
                'address': self.address,
                'born': self.born_ms,
                'info': {
                    'service': self.service,
                    'version': 'v1',
                    'zone': self.zone,
                    'slots': self.slots,
                },
                'status': {
                    'state': 'draining' if self.is_leaving else 'ready',
                    'seq': next(self.numbers),
                    'cold-remaining': '0ms',
                },
            }
        )
