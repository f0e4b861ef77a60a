"""Faults of a run, in series that overlap."""

import signal

import trio

from snipelead.soak.deployment import MachineState
from snipelead.soak.disturbances import CORE
from snipelead.testing.relay import Direction

__all__ = ['Faults']

# Length of most faults and pause between those of one series, in seconds.
FAULT_S = (0.3, 4.0)
PAUSE_S = (0.1, 2.0)
# Calm time now and then, in which the strictest checks apply, in seconds.
CALM_S = 7.0
CALM_SHARE = 0.1
FREEZE_S = (0.3, 5.0)
DELAY_S = (0.005, 0.15)
SLOWNESS = (3.0, 15.0)
WRONG_SHARE = 0.3
GRACE_S = 6.0
STAYS_S = (2.5, 4.0)
# Time in which an emptied control takes over the state of the others.
CATCH_UP_S = 4.0
SERIES = 3


class Faults:
    """Injects faults from outside of the processes.

    Parameters
    ----------
    deployment : Deployment
        Machines and relays.
    hosts : list of TargetHost
        Targets.
    ledger : Ledger
        Told which machines are disturbed.
    chooser : random.Random
        Source of random choices.

    Attributes
    ----------
    done : list of str
        Names of the faults, in order.
    """

    def __init__(self, deployment, hosts, ledger, chooser):
        self.deployment = deployment
        self.hosts = hosts
        self.ledger = ledger
        self.random = chooser
        self.done = []
        self.wiping = False
        self.busy = set()
        self.catalogue = (
            self.kill,
            self.kill,
            self.freeze,
            self.stop,
            self.stop,
            self.roll,
            self.kill_controls,
            self.herd,
            self.wipe,
            self.limit_disk,
            self.hang_up,
            self.cut,
            self.cut_one_way,
            self.reset,
            self.silence,
            self.delay,
            self.crash_target,
            self.slow_target,
            self.leave_target,
            self.leave_and_restart,
            self.answer_wrongly,
            self.silence_target,
        )

    async def run(self):
        """Inject several series of faults until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(SERIES):
                nursery.start_soon(self._run_series)

    async def _run_series(self):
        while True:
            await trio.sleep(self.random.uniform(*PAUSE_S))
            if self.random.random() < CALM_SHARE:
                await trio.sleep(CALM_S)
            fault = self.random.choice(self.catalogue)
            self.done.append(fault.__name__)
            await fault()

    async def heal(self):
        """End all faults and start what was killed."""
        for host in self.hosts:
            host.slowness, host.wrong_share = 1.0, 0.0
        for machine in self.deployment.machines:
            for relay in machine.relays:
                relay.heal()
            if machine.state is MachineState.FROZEN:
                machine.thaw()
            if machine.disk_limited:
                machine.free_disk()
            if not machine.process.is_running():
                await self.deployment.restart(machine)
        self.ledger.disturbances.end_all(self.ledger.clock())

    # Choices

    def _idle(self, machines):
        return [m for m in machines if m.name not in self.busy]

    def _pick(self, machines=None):
        machines = self._idle(machines or self.deployment.machines)
        return self.random.choice(machines) if machines else None

    def _names(self, *machines):
        names = [m.name for m in machines]
        if any(m in self.deployment.controls for m in machines):
            names.append(CORE)
        return names

    async def _disturb(self, machines, act, end=None, seconds=FAULT_S):
        """Do something to machines for a while, and undo it."""
        machines = [m for m in machines if m is not None]
        if not machines:
            return
        names = self._names(*machines)
        disturbances = self.ledger.disturbances
        self.busy.update(m.name for m in machines)
        spans = disturbances.begin(names, self.ledger.clock())
        for machine in machines:
            act(machine)
        await trio.sleep(self.random.uniform(*seconds))
        for machine in machines:
            if end is not None:
                end(machine)
        disturbances.end(spans, self.ledger.clock())
        self.busy.difference_update(m.name for m in machines)

    # Processes

    async def kill(self):
        """Kill a process and start it after a while."""
        await self._disturb([self._pick()], _kill, _start)

    async def kill_controls(self):
        """Kill all controls at once; they are back within a second."""
        controls = self._idle(self.deployment.controls)
        await self._disturb(controls, _kill, _start, (0.3, 0.9))

    async def herd(self):
        """Kill many processes at the same moment."""
        machines = self._idle(self.deployment.machines)
        count = self.random.randint(1, max(1, len(machines)))
        chosen = self.random.sample(machines, min(count, len(machines)))
        await self._disturb(chosen, _kill, _start, (0.3, 2.0))

    async def freeze(self):
        """Let a process not run for a while."""
        await self._disturb([self._pick()], _freeze, _thaw, FREEZE_S)

    async def stop(self):
        """Stop a process as planned and start it again."""
        machine = self._pick()
        if machine is not None:
            await self._stop(machine)

    async def roll(self):
        """Stop and start all nodes in turn."""
        for machine in self.deployment.nodes:
            if machine.name not in self.busy:
                await self._stop(machine)

    async def _stop(self, machine):
        disturbances = self.ledger.disturbances
        names = self._names(machine)
        self.busy.add(machine.name)
        for name in names:
            disturbances.begin_stop(name, self.ledger.clock())
        if machine.process.is_running():
            await machine.stop(GRACE_S)
        await self.deployment.restart(machine)
        for name in names:
            disturbances.end_stop(name, self.ledger.clock())
        self.busy.discard(machine.name)

    async def hang_up(self):
        """Tell a process that its settings changed."""
        machine = self._pick()
        if machine is not None and machine.process.is_running():
            machine.process.popen.send_signal(signal.SIGHUP)

    # Disks

    async def wipe(self):
        """Lose the disk of one control, once the last loss is mended."""
        machine = self._pick(self.deployment.controls)
        if self.wiping or machine is None:
            return
        others = [c.name for c in self.deployment.controls if c is not machine]
        now = self.ledger.clock()
        if not self.ledger.disturbances.is_calm((*others, CORE), now, now):
            return
        self.wiping = True
        # A majority of the others has to run until the disk is replaced.
        self.busy.update(others)
        await self._disturb([machine], _lose_disk, _start, (0.3, 2.0))
        disturbances = self.ledger.disturbances
        spans = disturbances.begin((CORE,), self.ledger.clock())
        await trio.sleep(CATCH_UP_S)
        disturbances.end(spans, self.ledger.clock())
        self.busy.difference_update(others)
        self.wiping = False

    async def limit_disk(self):
        """Let a control write no file for a while."""
        machine = self._pick(self.deployment.controls)
        await self._disturb([machine], _limit_disk, _free_disk)

    # Links

    async def cut(self):
        """Let nothing through to a machine."""
        await self._disturb([self._pick()], _cut, _heal)

    async def cut_one_way(self):
        """Let nothing through to, or back from, a machine."""
        direction = self.random.choice(tuple(Direction))
        await self._disturb(
            [self._pick()], lambda m: _cut(m, direction), _heal
        )

    async def reset(self):
        """Reset the connections to a machine."""
        await self._disturb([self._pick()], _reset, seconds=(0.0, 0.2))

    async def silence(self):
        """Let the open connections to a machine go silent for good."""
        await self._disturb([self._pick()], _silence, seconds=(0.5, 2.0))

    async def delay(self):
        """Delay what goes to and comes from a machine."""
        delay_s = self.random.uniform(*DELAY_S)
        await self._disturb(
            [self._pick()], lambda m: _delay(m, delay_s), _heal
        )

    # Targets

    async def _disturb_target(self, act, end=None):
        host = self.random.choice(self.hosts)
        if host.target is None:
            return
        await self._disturb(
            [host.machine] if host.machine.name not in self.busy else [],
            lambda _: act(host),
            None if end is None else lambda _: end(host),
        )

    async def crash_target(self):
        """End a target at once; another one follows."""
        await self._disturb_target(lambda host: host.crash())

    async def slow_target(self):
        """Let a target take much longer for a while."""
        slowness = self.random.uniform(*SLOWNESS)
        await self._disturb_target(
            lambda host: setattr(host, 'slowness', slowness),
            lambda host: setattr(host, 'slowness', 1.0),
        )

    async def answer_wrongly(self):
        """Let a target give wrong answers for a while."""
        await self._disturb_target(
            lambda host: setattr(host, 'wrong_share', WRONG_SHARE),
            lambda host: setattr(host, 'wrong_share', 0.0),
        )

    async def silence_target(self):
        """Let open connections to a target go silent for good."""
        await self._disturb_target(lambda host: host.relay.silence())

    async def leave_target(self):
        """Let a target leave as planned."""
        host = self.random.choice(self.hosts)
        if host.target is not None and host.machine.name not in self.busy:
            self.busy.add(host.machine.name)
            await self._leave(host)

    async def leave_and_restart(self):
        """Restart the node beside a target that leaves."""
        host = self.random.choice(self.hosts)
        if host.target is None or host.machine.name in self.busy:
            return
        self.busy.add(host.machine.name)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._leave, host)
            await trio.sleep(self.random.uniform(0.0, 1.0))
            disturbances = self.ledger.disturbances
            names = self._names(host.machine)
            spans = disturbances.begin(names, self.ledger.clock())
            await self.deployment.restart(host.machine)
            disturbances.end(spans, self.ledger.clock())

    async def _leave(self, host):
        name = host.machine.name
        await host.leave(self.random.uniform(*STAYS_S))
        # What it still ran when it ended is cut off.
        disturbances = self.ledger.disturbances
        now = self.ledger.clock()
        disturbances.end(disturbances.begin((name,), now), now)
        self.busy.discard(name)


def _kill(machine):
    machine.kill()


def _start(machine):
    machine.start()


def _freeze(machine):
    if machine.process.is_running():
        machine.freeze()


def _thaw(machine):
    if machine.state is MachineState.FROZEN:
        machine.thaw()


def _lose_disk(machine):
    machine.kill()
    machine.wipe()


def _limit_disk(machine):
    machine.limit_disk()


def _free_disk(machine):
    machine.free_disk()


def _cut(machine, *directions):
    for relay in machine.relays:
        relay.cut(*directions)


def _heal(machine):
    for relay in machine.relays:
        relay.heal()


def _reset(machine):
    for relay in machine.relays:
        relay.reset()


def _silence(machine):
    for relay in machine.relays:
        relay.silence()


def _delay(machine, delay_s):
    for relay in machine.relays:
        relay.delay_s = delay_s
