"""Operators that submit and read releases during a run."""

from itertools import count
from math import inf

import msgspec
import trio

from snipelead.emulator.platform_operator import encode_release
from snipelead.emulator.platform_operator import parse_release_number
from snipelead.emulator.platform_operator import PlatformOperator
from snipelead.emulator.platform_operator import RouteSpec
from snipelead.soak.customers import make_customers
from snipelead.soak.records import ReleaseRecord
from snipelead.soak.routes import HOST
from snipelead.soak.routes import marker_prefix
from snipelead.soak.routes import MARKER_ROUTE
from snipelead.soak.routes import ROUTES
from snipelead.soak.routes import SERVICES

__all__ = ['Operators']

MAX_SUBMIT_PAUSE_S = 0.8
MAX_READ_PAUSE_S = 0.3
RACE_PROBABILITY = 0.2
# Least timeout of the route whose service varies between releases.
MOVING_ROUTE_TIMEOUT_MS = 2_000
# Weights of the two services between which this route is split, if it is. All
# releases of a period have the same, so that only these are admissible later.
SPLIT_WEIGHTS = ((90, 10), (1, 0), (1000, 3000), (0, 1), ())
SPLIT_PERIOD_S = 5.0
INVALID_PROBABILITY = 0.1
RESEND_PROBABILITY = 0.3
MAX_SUBMIT_ATTEMPTS = 4


class Operators:
    """Operators that submit releases, some concurrently, and read them.

    Parameters
    ----------
    deployment : Deployment
        Deployment whose controls receive the requests.
    checker : HistoryChecker
        Records submissions, their responses and reads.
    rng : random.Random
        Random generator of releases, controls and pauses.

    Attributes
    ----------
    newest_read : int
        Number of the newest release that was read.
    """

    def __init__(self, deployment, checker, rng):
        self.operator = PlatformOperator(deployment.seeds)
        self.checker = checker
        self.rng = rng
        self.newest_read = 0
        self.timeout_offsets_ms = count(1)

    async def submit_releases(self):
        """Submit releases until cancelled.

        Some submissions race with another one, and some repeat a release that
        was acknowledged.
        """
        while True:
            await trio.sleep(self.rng.uniform(0, MAX_SUBMIT_PAUSE_S))
            if not await self.read_release():
                continue
            if self.rng.random() < RESEND_PROBABILITY:
                await self._resend()
            elif self.rng.random() < RACE_PROBABILITY:
                async with trio.open_nursery() as nursery:
                    for _ in range(2):
                        nursery.start_soon(self.submit, self._make_release())
            else:
                await self.submit(self._make_release())

    async def read_releases(self):
        """Read the newest release repeatedly until cancelled."""
        while True:
            await trio.sleep(self.rng.uniform(0, MAX_READ_PAUSE_S))
            await self.read_release()

    async def read_release(self):
        """Read the newest release at a random control.

        Returns
        -------
        bool
            Whether the control returned a release or that there is none.
        """
        sent_at = self.checker.clock()
        response = await self.operator.read_newest(self._choose_address())
        if response is None or response.status not in (200, 404):
            return False
        number = (
            0
            if response.status == 404
            else parse_release_number(response.body)
        )
        self.checker.record_read(sent_at, number, response.body)
        self.newest_read = max(self.newest_read, number)
        return True

    async def submit(self, release):
        """Submit a release until its outcome is known or attempts run out."""
        self.checker.releases.append(release)
        for _ in range(MAX_SUBMIT_ATTEMPTS):
            if await self._send(release):
                return
            await trio.sleep(self.rng.uniform(0, MAX_SUBMIT_PAUSE_S))

    async def submit_first_release(self):
        """Submit the first release until its outcome is known."""
        release = self._make_release(always_valid=True)
        self.checker.releases.append(release)
        while not await self._send(release):
            await trio.sleep(MAX_SUBMIT_PAUSE_S)

    async def _send(self, release):
        response = await self.operator.submit(
            release.body, self._choose_address()
        )
        status = response.status if response is not None else 0
        self.checker.record_submit_response(release, status)
        return status == 200 or 400 <= status < 500

    async def _resend(self):
        accepted = [
            release
            for release in self.checker.releases
            if release.acked_at < inf
        ]
        if accepted:
            await self._send(self.rng.choice(accepted))

    def _choose_address(self):
        return self.rng.choice(self.operator.addresses)

    def _make_release(self, always_valid=False):
        base = self.newest_read
        number = base + self.rng.randint(1, 5)
        used = {
            release.number
            for release in self.checker.releases
            if release.number > base
        }
        # Concurrent operators may choose the same number.
        while number in used and self.rng.random() >= RACE_PROBABILITY:
            number += 1
        valid = always_valid or self.rng.random() >= INVALID_PROBABILITY
        period = int(self.checker.clock() / SPLIT_PERIOD_S)
        weights = SPLIT_WEIGHTS[period % len(SPLIT_WEIGHTS)]
        # The timeout makes releases of the same number differ.
        moving_route = RouteSpec(
            '/moves/',
            self.rng.choice(SERVICES),
            timeout_ms=MOVING_ROUTE_TIMEOUT_MS + next(self.timeout_offsets_ms),
            split=tuple(zip(SERVICES, weights, strict=False)),
            public=True,
        )
        marker_route = msgspec.structs.replace(
            MARKER_ROUTE, prefix=marker_prefix(number)
        )
        routes = [
            ROUTES['/reads/'],
            ROUTES['/orders/'],
            moving_route,
            marker_route,
        ]
        if not valid:
            routes.append(RouteSpec('/dangling/', 'unknown'))
        customers = make_customers(self.checker.clock())
        return ReleaseRecord(
            number,
            base,
            encode_release(number, base, HOST, routes, SERVICES, customers),
            {r.prefix: r.services for r in routes},
            self.checker.clock(),
            valid=valid,
            holders_by_key={
                key: c.name for c in customers for key in c.api_keys
            },
        )
