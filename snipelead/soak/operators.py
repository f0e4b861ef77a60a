"""Operators of a run."""

from itertools import count
from math import inf

import msgspec
import trio

from snipelead.emulator.platform_operator import encode_order
from snipelead.emulator.platform_operator import PlatformOperator
from snipelead.emulator.platform_operator import read_number
from snipelead.emulator.platform_operator import RouteSpec
from snipelead.soak.records import OrderRecord
from snipelead.soak.routes import HOST
from snipelead.soak.routes import only_prefix
from snipelead.soak.routes import ONLY_ROUTE
from snipelead.soak.routes import ROUTES
from snipelead.soak.routes import SERVICES

__all__ = ['Operators']

ORDER_PAUSE_S = 0.8
READ_PAUSE_S = 0.3
RACE_SHARE = 0.2
MOVES_TIMEOUT_MS = 2_000
INVALID_SHARE = 0.1
RESEND_SHARE = 0.3
ORDER_TRIES = 4


class Operators:
    """Operators that change releases, race, resend and read back.

    Parameters
    ----------
    deployment : Deployment
        Its controls are asked.
    ledger : Ledger
        Told of each order and answer.
    chooser : random.Random
        Source of random choices.

    Attributes
    ----------
    current : int
        Newest release that was read back.
    """

    def __init__(self, deployment, ledger, chooser):
        self.operator = PlatformOperator(deployment.seeds)
        self.ledger = ledger
        self.random = chooser
        self.current = 0
        self.numbers = count(1)

    async def change(self):
        """Send changes until cancelled."""
        while True:
            await trio.sleep(self.random.uniform(0, ORDER_PAUSE_S))
            if not await self.read():
                continue
            if self.random.random() < RESEND_SHARE:
                await self._resend()
            elif self.random.random() < RACE_SHARE:
                async with trio.open_nursery() as nursery:
                    for _ in range(2):
                        nursery.start_soon(self.submit, self._make())
            else:
                await self.submit(self._make())

    async def read_often(self):
        """Read releases back until cancelled."""
        while True:
            await trio.sleep(self.random.uniform(0, READ_PAUSE_S))
            await self.read()

    async def read(self):
        """Read the newest release at one control.

        Returns
        -------
        bool
            Whether a control told which one is the newest.
        """
        sent_at = self.ledger.clock()
        answer = await self.operator.read(self._pick())
        if answer is None or answer.status not in (200, 404):
            return False
        number = 0 if answer.status == 404 else read_number(answer.body)
        self.ledger.note_read(sent_at, number, answer.body)
        self.current = max(self.current, number)
        return True

    async def submit(self, order):
        """Send an order until its outcome is clear, or give up."""
        self.ledger.orders.append(order)
        for _ in range(ORDER_TRIES):
            if await self._send(order):
                return
            await trio.sleep(self.random.uniform(0, ORDER_PAUSE_S))

    async def begin(self):
        """Send the first release until it is accepted."""
        order = self._make(always_valid=True)
        self.ledger.orders.append(order)
        while not await self._send(order):
            await trio.sleep(ORDER_PAUSE_S)

    async def _send(self, order):
        answer = await self.operator.order(order.body, self._pick())
        status = answer.status if answer is not None else 0
        self.ledger.note_order_answer(order, status)
        return status == 200 or 400 <= status < 500

    async def _resend(self):
        accepted = [o for o in self.ledger.orders if o.acked_at < inf]
        if accepted:
            await self._send(self.random.choice(accepted))

    def _pick(self):
        return self.random.choice(self.operator.addresses)

    def _make(self, always_valid=False):
        base = self.current
        number = base + self.random.randint(1, 5)
        used = {o.number for o in self.ledger.orders if o.number > base}
        # Operators that race may choose the same number.
        while number in used and self.random.random() >= RACE_SHARE:
            number += 1
        valid = always_valid or self.random.random() >= INVALID_SHARE
        # Orders of the same number that race differ in this timeout.
        moves = RouteSpec(
            '/moves/',
            self.random.choice(SERVICES),
            timeout_ms=MOVES_TIMEOUT_MS + next(self.numbers),
        )
        only = msgspec.structs.replace(ONLY_ROUTE, prefix=only_prefix(number))
        routes = [ROUTES['/reads/'], ROUTES['/orders/'], moves, only]
        if not valid:
            routes.append(RouteSpec('/dangling/', 'unknown'))
        return OrderRecord(
            number,
            base,
            encode_order(number, base, HOST, routes, SERVICES),
            {r.prefix: r.service for r in routes},
            self.ledger.clock(),
            valid=valid,
        )
