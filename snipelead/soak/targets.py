"""Targets of a run."""

from itertools import count

import trio

from snipelead.emulator.platform import Misbehaviour
from snipelead.emulator.platform import PlatformTarget
from snipelead.emulator.platform_operator import TargetReporter
from snipelead.soak.records import Run
from snipelead.testing.relay import Relay

__all__ = ['TargetHost']

SLOTS = 8
MEAN_WORK_S = 0.03
LATE_REPORT_PAUSE_S = 0.4
FIRST_BORN_MS = 1_700_000_000_000
# Kinds of wrong answers that a target may give to some requests.
WRONG_ANSWERS = (
    Misbehaviour.SHED,
    Misbehaviour.UNSURE,
    Misbehaviour.STRAY,
    Misbehaviour.EXTRA,
    Misbehaviour.CUT,
    Misbehaviour.GARBAGE,
    Misbehaviour.RESET,
    Misbehaviour.ERROR,
)


class TargetHost:
    """The place of a target beside a node; each start is a new life.

    Parameters
    ----------
    machine : Machine
        The node's machine.
    ledger : Ledger
        Told of each run.
    chooser : random.Random
        Source of random times.
    """

    lives = count(1)

    def __init__(self, machine, ledger, chooser):
        self.machine = machine
        self.ledger = ledger
        self.random = chooser
        self.target = None
        self.reporter = None
        self.relay = None
        self.slowness = 1.0
        self.wrong_share = 0.0
        self.scope = None

    @property
    def service(self):
        """Service of the targets here."""
        return self.machine.process.settings['service']

    async def run(self):
        """Run one life after another until cancelled."""
        while True:
            with trio.CancelScope() as self.scope:
                await self._live()
            await trio.sleep(self.random.uniform(0.2, 1.0))

    def crash(self):
        """End the life of the target at once; another one follows."""
        self.scope.cancel()

    async def leave(self, stays_s):
        """Leave as planned, and end some time after that was told.

        Parameters
        ----------
        stays_s : float
            Time that it goes on serving, in seconds.
        """
        reporter, name = self.reporter, self.target.target_id
        reporter.is_leaving = self.target.is_leaving = True
        if await reporter.report():
            self.ledger.note_left(name)
        # Reports of before may come late all the while.
        with trio.move_on_after(stays_s):
            while True:
                await trio.sleep(LATE_REPORT_PAUSE_S)
                await reporter.report_late()
        await reporter.withdraw()
        if reporter is self.reporter:
            self.crash()

    async def _live(self):
        life = next(self.lives)
        target = PlatformTarget(f'{self.machine.name}-t{life}')
        target.slots = SLOTS
        target.work_s = self._choose_work_s
        target.on_run = self._note_run
        settings = self.machine.process.settings
        self.slowness = 1.0
        self.wrong_share = 0.0
        async with trio.open_nursery() as nursery:
            await nursery.start(target.run)
            self.relay = Relay(target.address)
            address = await nursery.start(self.relay.run)
            self.target = target
            self.reporter = TargetReporter(
                target.target_id,
                settings['service'],
                settings['zone'],
                address,
                settings['report_address'],
                SLOTS,
                FIRST_BORN_MS + life,
            )
            await self.reporter.run()

    def _choose_work_s(self):
        if self.random.random() < self.wrong_share:
            self.target.next.append(self.random.choice(WRONG_ANSWERS))
        return self.random.expovariate(1 / MEAN_WORK_S) * self.slowness

    def _note_run(self, told):
        self.ledger.note_run(
            told,
            Run(self.target.target_id, self.service, self.ledger.clock()),
        )
