"""Clients of a run."""

from itertools import count

import trio

from snipelead.emulator.exceptions import WrongAnswerError
from snipelead.emulator.platform_client import Attempt
from snipelead.emulator.platform_client import ClientConnection
from snipelead.emulator.platform_client import is_not_run_status
from snipelead.soak.records import RequestRecord
from snipelead.soak.routes import HOST
from snipelead.soak.routes import only_prefix
from snipelead.soak.routes import ONLY_ROUTE
from snipelead.soak.routes import ROUTES
from snipelead.soak.routes import SERVICES

__all__ = ['Clients']

# Requests of one client on a kept connection, and of one pipeline.
MAX_KEPT = 20
MAX_PIPELINED = 4
# Longest pause between two requests, in seconds.
MAX_PAUSE_S = 0.15
# Further attempts after a failure that allows them.
RETRIES = 2
# Least and greatest time that a client waits, in seconds.
DEADLINE_S = (0.5, 3.0)
# Clients of the platform allow a connection one second.
CONNECT_S = 1.0
# Share of requests whose client leaves before its deadline.
GIVE_UP_SHARE = 0.03
# Longest pause between two questions for the release in force, in seconds.
PROBE_PAUSE_S = 0.2
_LOST = (OSError, trio.BrokenResourceError, WrongAnswerError)


class Clients:
    """Clients of one node: kept, fresh and pipelined connections.

    Parameters
    ----------
    machine : Machine
        The node's machine.
    ledger : Ledger
        Told of each request and answer.
    chooser : random.Random
        Source of random choices.
    """

    numbers = count(1)

    def __init__(self, machine, ledger, chooser):
        self.machine = machine
        self.ledger = ledger
        self.random = chooser

    async def run(self, begin_connection):
        """Make requests, in turns of one connection, until cancelled."""
        while True:
            await trio.sleep(self.random.uniform(0, MAX_PAUSE_S))
            with trio.move_on_after(CONNECT_S):
                try:
                    connection = await ClientConnection.open(self.address)
                except OSError:
                    continue
                with connection:
                    with trio.CancelScope(shield=True):
                        await begin_connection(connection)

    @property
    def address(self):
        """Where the node takes requests."""
        return self.machine.process.settings['caller_address']

    async def use_kept(self, connection):
        """Send one request after another."""
        for _ in range(self.random.randint(1, MAX_KEPT)):
            attempt, record = self._make()
            reply = await self._exchange(connection, attempt, record)
            if reply is None or not reply.keep_alive:
                return
            await trio.sleep(self.random.uniform(0, MAX_PAUSE_S))

    async def use_once(self, connection):
        """Send one request, and again on a new connection if that may be."""
        attempt, record = self._make()
        reply = await self._exchange(connection, attempt, record)
        for _ in range(RETRIES):
            if not self._may_retry(record, reply):
                return
            if reply is not None:
                await trio.sleep(min(reply.retry_after_s or 0, 1.0))
            with trio.move_on_after(CONNECT_S) as scope:
                try:
                    again = await ClientConnection.open(self.address)
                except OSError:
                    return
            if scope.cancelled_caught:
                return
            with again:
                attempt, record = self._make(record.prefix)
                reply = await self._exchange(again, attempt, record)

    async def use_pipeline(self, connection):
        """Send several requests before the first is answered."""
        pairs = [
            self._make('/reads/')
            for _ in range(self.random.randint(2, MAX_PIPELINED))
        ]
        for attempt, record in pairs:
            self._note_sent(record)
            try:
                await connection.send(attempt)
            except _LOST:
                break
        for _, record in pairs:
            reply = await self._receive(connection, record)
            if reply is None or not reply.keep_alive:
                # What follows an answer that closes was not read.
                return

    def _make(self, prefix=None):
        prefix = prefix or self.random.choice(
            ('/reads/', '/reads/', '/orders/', '/moves/')
        )
        number = next(self.numbers)
        path = f'{prefix}{number:x}'
        repeatable = prefix != '/orders/'
        deadline_s = self.random.uniform(*DEADLINE_S)
        attempt = Attempt(
            f'a{number:x}',
            'GET' if repeatable else 'POST',
            HOST,
            path,
            int(deadline_s * 1_000),
            b'' if repeatable else b'order',
        )
        record = RequestRecord(
            attempt.attempt_id,
            path,
            prefix,
            repeatable,
            self.machine.name,
            self.machine.process.settings['service'],
            self.machine.lives,
            0.0,
            deadline_s,
            ROUTES.get(prefix, ONLY_ROUTE).timeout_ms / 1_000,
        )
        return attempt, record

    def _note_sent(self, record):
        record.sent_at = self.ledger.clock()
        record.life = self.machine.lives
        if record.prefix == '/moves/':
            services = SERVICES
        else:
            services = (ROUTES.get(record.prefix, ONLY_ROUTE).service,)
        self.ledger.note_sent(record, services)

    async def _exchange(self, connection, attempt, record):
        self._note_sent(record)
        try:
            await connection.send(attempt)
        except _LOST:
            self.ledger.note_lost(record, self._is_planned(record))
            return None
        return await self._receive(connection, record)

    async def _receive(self, connection, record):
        wait_s = record.deadline_s
        if self.random.random() < GIVE_UP_SHARE:
            wait_s *= self.random.random()
        with trio.move_on_after(wait_s):
            try:
                reply = await connection.receive()
            except _LOST:
                self.ledger.note_lost(record, self._is_planned(record))
                return None
            self.ledger.note_reply(record, reply)
            return reply
        record.gone = True
        record.ended_at = self.ledger.clock()
        return None

    def _is_planned(self, record):
        """Tell whether at most a planned stop can have ended a request."""
        return self.ledger.disturbances.is_all_calm(
            record.sent_at, self.ledger.clock()
        )

    def _may_retry(self, record, reply):
        if record.gone:
            return False
        if reply is None:
            return record.repeatable
        if reply.status < 400 or reply.status == 404:
            return False
        return record.repeatable or is_not_run_status(reply.status)

    async def probe(self):
        """Ask for routes that only one release has, until cancelled."""
        while True:
            await trio.sleep(self.random.uniform(0, PROBE_PAUSE_S))
            orders = self.ledger.orders[-4:]
            if orders:
                await self._probe_once(self.random.choice(orders).number)

    async def _probe_once(self, number):
        attempt, record = self._make(only_prefix(number))
        with trio.move_on_after(CONNECT_S):
            try:
                with await ClientConnection.open(self.address) as connection:
                    self._note_sent(record)
                    await connection.send(attempt)
                    reply = await connection.receive()
            except _LOST:
                return
            if reply.status in (404, 200):
                found = reply.status == 200
                self.ledger.note_probe(record, number, found)
