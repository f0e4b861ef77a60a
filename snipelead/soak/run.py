"""One randomised run, from its start to the last check."""

from pathlib import Path
import time

import trio

from snipelead.emulator.platform_operator import call
from snipelead.soak.clients import Clients
from snipelead.soak.deployment import Deployment
from snipelead.soak.exceptions import PromiseBrokenError
from snipelead.soak.faults import Faults
from snipelead.soak.ledger import Ledger
from snipelead.soak.operators import Operators
from snipelead.soak.routes import make_chooser
from snipelead.soak.targets import TargetHost

__all__ = ['SoakRun']

CONTROLS = 3
SERVICES = ('reads', 'orders') * 3
# Time to be ready after the first start, in seconds.
START_S = 20.0
# Time after the last fault in which all is served again, in seconds.
RECOVERY_S = 15.0
# Then each node has to serve at least this share of some requests.
SERVED_SHARE = 0.25
SERVED_S = 3.0
READ_BACK_TRIES = 10
WATCH_S = 0.1
POLL_S = 0.1


class SoakRun:
    """One run.

    Parameters
    ----------
    seed : int
        Seed of all choices. Processes take their own time, so that a seed
        repeats the faults and requests but not each interleaving.
    seconds : float
        Time under faults.
    folder : str or Path
        Folder for settings, logs and data; must exist.

    Attributes
    ----------
    ledger : Ledger
        What was seen.
    faults : Faults
        What was done.
    """

    def __init__(self, seed, seconds, folder):
        self.seed = seed
        self.seconds = seconds
        self.folder = Path(folder)
        began = time.monotonic()
        self.ledger = Ledger(lambda: time.monotonic() - began)
        self.deployment = Deployment(folder, CONTROLS, SERVICES)
        nodes = self.deployment.nodes
        self.hosts = [
            TargetHost(m, self.ledger, make_chooser(seed, f'target {m.name}'))
            for m in nodes
        ]
        self.clients = [
            Clients(m, self.ledger, make_chooser(seed, f'client {m.name}'))
            for m in nodes
        ]
        self.operators = Operators(
            self.deployment, self.ledger, make_chooser(seed, 'operators')
        )
        self.faults = Faults(
            self.deployment,
            self.hosts,
            self.ledger,
            make_chooser(seed, 'faults'),
        )

    async def run(self):
        """Run and check.

        Raises
        ------
        PromiseBrokenError
            If a promise does not hold.
        """
        with self.deployment:
            async with trio.open_nursery() as nursery:
                await self.deployment.start(nursery)
                for host in self.hosts:
                    nursery.start_soon(host.run)
                with trio.fail_after(START_S):
                    await self.operators.begin()
                    await self._wait_ready()
                async with trio.open_nursery() as traffic:
                    self._start_traffic(traffic)
                    with trio.move_on_after(self.seconds):
                        await self.faults.run()
                    await self.faults.heal()
                    await self._recover()
                    traffic.cancel_scope.cancel()
                await self._read_back()
                self.ledger.check_end(self.operators.current)
                nursery.cancel_scope.cancel()

    def _start_traffic(self, nursery):
        for clients in self.clients:
            for use in (
                clients.use_kept,
                clients.use_once,
                clients.use_pipeline,
            ):
                nursery.start_soon(clients.run, use)
            nursery.start_soon(clients.probe)
        nursery.start_soon(self.operators.change)
        nursery.start_soon(self.operators.read_often)
        nursery.start_soon(self._watch_processes)

    async def _watch_processes(self):
        """Notice processes that end by themselves."""
        while True:
            await trio.sleep(WATCH_S)
            for machine in self.deployment.machines:
                status = machine.take_unasked_end()
                if status is None:
                    continue
                self.ledger.counts['ended'] += 1
                if not machine.disk_limited:
                    self.ledger.fail(
                        'FAULT', f'{machine.name} ended with {status}'
                    )
                machine.start()

    async def _wait_ready(self):
        for machine in self.deployment.nodes:
            address = machine.process.settings['ready_address']
            while True:
                answer = await call(address, 'GET', '/ready')
                if answer is not None and answer.status == 200:
                    break
                await trio.sleep(POLL_S)

    async def _recover(self):
        """Wait for the time to recover, then look whether all is served."""
        await trio.sleep(RECOVERY_S)
        since = self.ledger.clock()
        await trio.sleep(SERVED_S)
        until = self.ledger.clock()
        for machine in self.deployment.nodes:
            records = [
                r
                for r in self.ledger.requests.values()
                if r.node == machine.name
                and since <= r.sent_at
                # What was sent last may not be answered yet.
                and r.sent_at < until - SERVED_S / 2
            ]
            served = sum(r.status == 200 for r in records)
            if served < SERVED_SHARE * len(records):
                self.ledger.fail(
                    'RECOVER',
                    f'{machine.name} serves {served} of {len(records)}',
                )

    async def _read_back(self):
        """Read what is in force once nobody changes it any more."""
        for _ in range(READ_BACK_TRIES):
            if await self.operators.read():
                return
            await trio.sleep(POLL_S)
        self.ledger.fail('CONFIG', 'no release can be read at the end')


def summarise(run):
    """Return one line on what a run saw."""
    counts = ', '.join(
        f'{name} {number}'
        for name, number in sorted(run.ledger.counts.items())
    )
    return f'{len(run.faults.done)} faults; {counts}'


def find_broken(error):
    """Return the broken promise within an error, or None."""
    if isinstance(error, PromiseBrokenError):
        return error
    if isinstance(error, BaseExceptionGroup):
        for part in error.exceptions:
            if (found := find_broken(part)) is not None:
                return found
    return None
