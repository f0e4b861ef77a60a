"""Clients that send requests to the nodes of a run."""

from itertools import count

import trio

from snipelead.emulator.exceptions import InvalidResponseError
from snipelead.emulator.platform_client import Attempt
from snipelead.emulator.platform_client import ClientConnection
from snipelead.emulator.platform_client import guarantees_not_run
from snipelead.soak.crashing_requests import CRASHING_PREFIXES
from snipelead.soak.customers import draw_api_key
from snipelead.soak.customers import draw_fields
from snipelead.soak.customers import STEADY_KEY
from snipelead.soak.records import RequestRecord
from snipelead.soak.routes import BODY_BYTE
from snipelead.soak.routes import HOST
from snipelead.soak.routes import marker_prefix
from snipelead.soak.routes import MARKER_ROUTE
from snipelead.soak.routes import ROUTES
from snipelead.soak.routes import SERVICES

__all__ = ['Clients']

# Most requests on one keep-alive connection, and in one pipeline.
MAX_REQUESTS_PER_CONNECTION = 20
MAX_PIPELINE_DEPTH = 4
# Longest pause between two requests of a client, in seconds.
MAX_PAUSE_S = 0.15
# Most retries of a request after failures that permit a retry.
MAX_RETRIES = 2
# Shortest and longest deadline of a request, in seconds.
DEADLINE_RANGE_S = (0.5, 3.0)
# Clients of the platform wait one second for a connection.
CONNECT_TIMEOUT_S = 1.0
# Probability that a client abandons a request before its deadline.
ABANDON_PROBABILITY = 0.03
# Probability that a request is a copy of an active crashing request.
CRASHING_PROBABILITY = 0.03
# Long bodies; a node receives the shorter ones in full before it sends them.
LONG_BODY_PROBABILITY = 0.1
LONG_BODY_BYTES = (60_000, 300_000)
# Longest pause between two probes for the release that a node has applied, in
# seconds.
MAX_PROBE_PAUSE_S = 0.2
_CONNECTION_ERRORS = (OSError, trio.BrokenResourceError, InvalidResponseError)


class Clients:
    """Clients of one node.

    They use keep-alive, fresh and pipelined connections.

    Parameters
    ----------
    machine : Machine
        Machine of the node.
    checker : HistoryChecker
        Records requests and responses.
    rng : random.Random
        Random generator of requests, deadlines and pauses.
    """

    request_numbers = count(1)

    def __init__(self, machine, checker, rng):
        self.machine = machine
        self.checker = checker
        self.rng = rng

    async def run(self, use_connection):
        """Open connections and send requests on them until cancelled.

        Parameters
        ----------
        use_connection : callable
            Async function that sends requests on an open connection.
        """
        while True:
            await trio.sleep(self.rng.uniform(0, MAX_PAUSE_S))
            with trio.move_on_after(CONNECT_TIMEOUT_S):
                try:
                    connection = await ClientConnection.open(self.address)
                except OSError:
                    continue
                with connection:
                    with trio.CancelScope(shield=True):
                        await use_connection(connection)

    @property
    def address(self):
        """Address at which the node accepts requests."""
        return self.machine.process.settings['caller_address']

    async def use_keep_alive_connection(self, connection):
        """Send several requests on one connection, each after a response."""
        for _ in range(self.rng.randint(1, MAX_REQUESTS_PER_CONNECTION)):
            attempt, record = self._make_request()
            response = await self._exchange(connection, attempt, record)
            if response is None or not response.keep_alive:
                return
            await trio.sleep(self.rng.uniform(0, MAX_PAUSE_S))

    async def use_fresh_connections(self, connection):
        """Send one request; retry it on new connections if permitted."""
        attempt, record = self._make_request()
        response = await self._exchange(connection, attempt, record)
        for _ in range(MAX_RETRIES):
            if not self._may_retry(record, response):
                return
            if response is not None:
                await trio.sleep(min(response.retry_after_s or 0, 1.0))
            with trio.move_on_after(CONNECT_TIMEOUT_S) as scope:
                try:
                    retry_connection = await ClientConnection.open(
                        self.address
                    )
                except OSError:
                    return
            if scope.cancelled_caught:
                return
            with retry_connection:
                attempt, record = self._make_request(
                    record.prefix,
                    record.path if record.path in CRASHING_PREFIXES else None,
                )
                response = await self._exchange(
                    retry_connection, attempt, record
                )

    async def use_pipelined_connection(self, connection):
        """Send several requests before the first response arrives."""
        pairs = [
            self._make_request('/reads/')
            for _ in range(self.rng.randint(2, MAX_PIPELINE_DEPTH))
        ]
        for attempt, record in pairs:
            self._record_sent(record)
            try:
                await connection.send(attempt)
            except _CONNECTION_ERRORS:
                break
        for _, record in pairs:
            response = await self._receive(connection, record)
            if response is None or not response.keep_alive:
                # The node does not read requests that follow a response with
                # which it closes the connection.
                return

    def _make_request(self, prefix=None, path=None):
        """Return a new request and its record.

        Parameters
        ----------
        prefix : str or None
            Path prefix; None draws one, or a crashing request.
        path : str or None
            Path; None draws one that no other request has.
        """
        active = self.checker.crashing_requests.active
        if active and prefix is None and self._draws_crashing_request():
            path = self.rng.choice(active)
            prefix = CRASHING_PREFIXES[path]
        prefix = prefix or self.rng.choice(
            ('/reads/', '/reads/', '/orders/', '/moves/')
        )
        number = next(self.request_numbers)
        path = path or f'{prefix}{number:x}'
        repeatable = prefix != '/orders/'
        deadline_s = self.rng.uniform(*DEADLINE_RANGE_S)
        # All copies of a crashing request are of the same customer.
        api_key = (
            STEADY_KEY if path in CRASHING_PREFIXES else draw_api_key(self.rng)
        )
        attempt = Attempt(
            f'a{number:x}',
            'GET' if repeatable else 'POST',
            HOST,
            path,
            int(deadline_s * 1_000),
            b'' if repeatable else self._make_body(path),
            draw_fields(self.rng, api_key),
        )
        record = RequestRecord(
            attempt.attempt_id,
            path,
            prefix,
            repeatable,
            self.machine.name,
            self.machine.process.settings['service'],
            self.machine.incarnation,
            0.0,
            deadline_s,
            ROUTES.get(prefix, MARKER_ROUTE).timeout_ms / 1_000,
            api_key=api_key,
        )
        return attempt, record

    def _make_body(self, path):
        size = 1
        # All copies of a crashing request have the same body.
        if (
            path not in CRASHING_PREFIXES
            and self.rng.random() < LONG_BODY_PROBABILITY
        ):
            size = self.rng.choice(LONG_BODY_BYTES)
        return BODY_BYTE * size

    def _draws_crashing_request(self):
        return self.rng.random() < CRASHING_PROBABILITY

    def _record_sent(self, record):
        record.sent_at = self.checker.clock()
        record.incarnation = self.machine.incarnation
        if record.prefix == '/moves/':
            services = SERVICES
        else:
            services = (ROUTES.get(record.prefix, MARKER_ROUTE).service,)
        self.checker.record_sent(record, services)

    async def _exchange(self, connection, attempt, record):
        self._record_sent(record)
        try:
            await connection.send(attempt)
        except _CONNECTION_ERRORS:
            self.checker.record_connection_loss(
                record, self._is_fault_free(record)
            )
            return None
        return await self._receive(connection, record)

    async def _receive(self, connection, record):
        wait_s = record.deadline_s
        if self.rng.random() < ABANDON_PROBABILITY:
            wait_s *= self.rng.random()
        with trio.move_on_after(wait_s):
            try:
                response = await connection.receive()
            except _CONNECTION_ERRORS:
                self.checker.record_connection_loss(
                    record, self._is_fault_free(record)
                )
                return None
            self.checker.record_response(record, response)
            return response
        record.abandoned = True
        record.ended_at = self.checker.clock()
        return None

    def _is_fault_free(self, record):
        """Return whether no fault can explain the failure of a request.

        Planned stops are not faults.
        """
        return self.checker.disturbances.is_fault_free(
            record.sent_at, self.checker.clock()
        )

    def _may_retry(self, record, response):
        if record.abandoned:
            return False
        if response is None:
            return record.repeatable
        if response.status < 400 or response.status == 404:
            return False
        return record.repeatable or guarantees_not_run(response.status)

    async def probe(self):
        """Request marker routes of recent releases until cancelled."""
        while True:
            await trio.sleep(self.rng.uniform(0, MAX_PROBE_PAUSE_S))
            releases = self.checker.releases[-4:]
            if releases:
                await self._probe_once(self.rng.choice(releases).number)

    async def _probe_once(self, number):
        attempt, record = self._make_request(marker_prefix(number))
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            try:
                with await ClientConnection.open(self.address) as connection:
                    self._record_sent(record)
                    await connection.send(attempt)
                    response = await connection.receive()
            except _CONNECTION_ERRORS:
                return
            if response.status in (404, 200):
                found = response.status == 200
                self.checker.record_probe(record, number, found)
