"""Fault injection in concurrent series."""

import signal

import trio

from snipelead.soak.crashing_requests import CRASHING_PREFIXES
from snipelead.soak.deployment import MachineState
from snipelead.soak.disturbances import ANY_CONTROL
from snipelead.testing.relay import Direction

__all__ = ['FaultInjector']

# Duration of most faults, and pause between two faults of one series, in
# seconds.
FAULT_DURATION_RANGE_S = (0.3, 4.0)
PAUSE_RANGE_S = (0.1, 2.0)
# Occasional longer pause of a series, in seconds. The strictest checks apply
# only while machines are undisturbed.
FAULT_FREE_S = 7.0
FAULT_FREE_PROBABILITY = 0.1
FREEZE_DURATION_RANGE_S = (0.3, 5.0)
# Longer than the time in which nodes must leave a control that is silent.
SILENCE_DURATION_RANGE_S = (6.0, 10.0)
DELAY_RANGE_S = (0.005, 0.15)
SLOWDOWN_RANGE = (3.0, 15.0)
FAULTY_RESPONSE_PROBABILITY = 0.3
STOP_GRACE_S = 6.0
LEAVE_DURATION_RANGE_S = (2.5, 4.0)
# Time in which a control with an empty disk copies the state of the others,
# in seconds.
CATCH_UP_S = 4.0
SERIES_COUNT = 3
# Rate limits that targets state, in requests per second, and how long each of
# them lasts, in seconds. The checks begin 3 s after a target has begun.
STATED_LIMITS = (0.0, 0.5, 1.5, 5.0, 20.0)
LIMIT_DURATION_RANGE_S = (5.0, 9.0)
MAX_LIMITS_IN_SERIES = 3
# How long copies of a crashing request are sent, in seconds.
CRASHING_DURATION_RANGE_S = (3.0, 9.0)


class FaultInjector:
    """Injects faults from outside the processes.

    Parameters
    ----------
    deployment : Deployment
        Machines and relays.
    target_hosts : list of TargetHost
        Targets beside the nodes.
    checker : HistoryChecker
        Records which machines are disturbed.
    rng : random.Random
        Random generator of faults, machines and durations.

    Attributes
    ----------
    injected : list of str
        Names of the injected faults, in order.
    needs_other_controls : bool
        Whether a fault of one control needs the others to form a majority.
    busy_machines : set of str
        Names of the machines that no further fault may affect.
    fault_types : tuple of callable
        Faults to draw from; one listed twice is twice as likely.
    """

    def __init__(self, deployment, target_hosts, checker, rng):
        self.deployment = deployment
        self.target_hosts = target_hosts
        self.checker = checker
        self.rng = rng
        self.injected = []
        self.needs_other_controls = False
        self.busy_machines = set()
        self.fault_types = (
            self.kill,
            self.kill,
            self.freeze,
            self.restart_gracefully,
            self.restart_gracefully,
            self.restart_nodes_in_turn,
            self.kill_controls,
            self.kill_many,
            self.silence_control,
            self.silence_control,
            self.erase_disk,
            self.block_writes,
            self.block_descriptors,
            self.reload_settings,
            self.partition,
            self.partition_one_way,
            self.reset_connections,
            self.stall_connections,
            self.delay_traffic,
            self.crash_target,
            self.slow_target,
            self.leave_target,
            self.leave_target_without_heartbeat,
            self.restart_node_of_leaving_target,
            self.limit_target,
            self.limit_target,
            self.restart_node_of_limited_target,
            self.send_crashing_request,
            self.send_crashing_request,
            self.send_faulty_responses,
            self.stall_target_connections,
        )

    async def run(self):
        """Inject concurrent series of faults until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(SERIES_COUNT):
                nursery.start_soon(self._run_series)

    async def _run_series(self):
        while True:
            await trio.sleep(self.rng.uniform(*PAUSE_RANGE_S))
            if self.rng.random() < FAULT_FREE_PROBABILITY:
                await trio.sleep(FAULT_FREE_S)
            fault = self.rng.choice(self.fault_types)
            self.injected.append(fault.__name__)
            await fault()

    async def heal(self):
        """End all faults and start the processes that do not run."""
        for host in self.target_hosts:
            host.slowdown, host.faulty_response_probability = 1.0, 0.0
            if host.target is not None and host.target.rate_limits:
                host.state_limit(host.target, None)
        for machine in self.deployment.machines:
            for relay in machine.relays:
                relay.heal()
            if machine.state is MachineState.FROZEN:
                machine.thaw()
            if machine.writes_blocked:
                machine.allow_writes()
            machine.allow_descriptors()
            if not machine.process.is_running():
                await self.deployment.restart(machine)
        now = self.checker.clock()
        self.checker.disturbances.end_all_faults(now)
        self.checker.disturbances.record_event(ANY_CONTROL, now)

    # Selection of machines

    def _idle_machines(self, machines):
        return [m for m in machines if m.name not in self.busy_machines]

    def _choose_idle(self, machines=None):
        machines = self._idle_machines(machines or self.deployment.machines)
        return self.rng.choice(machines) if machines else None

    def _affected_names(self, *machines):
        names = [m.name for m in machines]
        if any(m in self.deployment.controls for m in machines):
            names.append(ANY_CONTROL)
        return names

    async def _disturb(
        self,
        machines,
        apply,
        undo=None,
        duration_range_s=FAULT_DURATION_RANGE_S,
    ):
        """Apply a fault to machines, and undo it after a random time.

        Parameters
        ----------
        machines : list of Machine or None
            Machines to disturb; None entries are skipped.
        apply : callable
            Begins the fault of a machine.
        undo : callable or None
            Ends the fault of a machine.
        duration_range_s : tuple of float
            Shortest and longest duration, in seconds.
        """
        machines = [m for m in machines if m is not None]
        if not machines:
            return
        names = self._affected_names(*machines)
        disturbances = self.checker.disturbances
        self.busy_machines.update(m.name for m in machines)
        spans = disturbances.begin_fault(names, self.checker.clock())
        for machine in machines:
            apply(machine)
        await trio.sleep(self.rng.uniform(*duration_range_s))
        for machine in machines:
            if undo is not None:
                undo(machine)
        disturbances.end_fault(spans, self.checker.clock())
        self.busy_machines.difference_update(m.name for m in machines)

    # Processes

    async def kill(self):
        """Kill a process and start it again later."""
        await self._disturb([self._choose_idle()], _kill, _start)

    async def kill_controls(self):
        """Kill all idle controls at once; start them within a second."""
        controls = self._idle_machines(self.deployment.controls)
        await self._disturb(controls, _kill, _start, (0.3, 0.9))

    async def kill_many(self):
        """Kill several processes at the same time."""
        machines = self._idle_machines(self.deployment.machines)
        count = self.rng.randint(1, max(1, len(machines)))
        chosen = self.rng.sample(machines, min(count, len(machines)))
        await self._disturb(chosen, _kill, _start, (0.3, 2.0))

    async def freeze(self):
        """Suspend a process for a while."""
        await self._disturb(
            [self._choose_idle()], _freeze, _thaw, FREEZE_DURATION_RANGE_S
        )

    async def restart_gracefully(self):
        """Stop a process gracefully and start it again."""
        machine = self._choose_idle()
        if machine is not None:
            await self._restart_gracefully(machine)

    async def restart_nodes_in_turn(self):
        """Restart all nodes gracefully, one after another."""
        for machine in self.deployment.nodes:
            if machine.name not in self.busy_machines:
                await self._restart_gracefully(machine)

    async def _restart_gracefully(self, machine):
        disturbances = self.checker.disturbances
        names = self._affected_names(machine)
        self.busy_machines.add(machine.name)
        for name in names:
            disturbances.begin_stop(name, self.checker.clock())
        if machine.process.is_running():
            await machine.stop(STOP_GRACE_S)
        await self.deployment.restart(machine)
        for name in names:
            disturbances.end_stop(name, self.checker.clock())
        self.busy_machines.discard(machine.name)

    async def reload_settings(self):
        """Make a process reload its settings by SIGHUP."""
        machine = self._choose_idle()
        if machine is not None and machine.process.is_running():
            machine.process.popen.send_signal(signal.SIGHUP)

    # Single controls, while the others form a majority

    def _reserve_other_controls(self, machine):
        """Keep the other controls from faults; return their names, or None.

        Returns None, and keeps none, unless they are undisturbed.
        """
        if self.needs_other_controls or machine is None:
            return None
        others = [c.name for c in self.deployment.controls if c is not machine]
        now = self.checker.clock()
        if not self.checker.disturbances.is_undisturbed(
            (*others, ANY_CONTROL), now, now
        ):
            return None
        self.needs_other_controls = True
        self.busy_machines.update(others)
        return others

    def _release_other_controls(self, others):
        self.busy_machines.difference_update(others)
        self.needs_other_controls = False

    async def silence_control(self):
        """Freeze a control, or cut it off, for long.

        Only its start and its end disturb the fleet: in between, the nodes
        must get releases from the other controls.
        """
        machine = self._choose_idle(self.deployment.controls)
        others = self._reserve_other_controls(machine)
        if others is None:
            return
        disturbances = self.checker.disturbances
        apply, undo = self.rng.choice(((_freeze, _thaw), (_partition, _heal)))
        self.busy_machines.add(machine.name)
        now = self.checker.clock()
        spans = disturbances.begin_fault((machine.name,), now)
        disturbances.record_event(ANY_CONTROL, now)
        apply(machine)
        await trio.sleep(self.rng.uniform(*SILENCE_DURATION_RANGE_S))
        undo(machine)
        now = self.checker.clock()
        disturbances.end_fault(spans, now)
        disturbances.record_event(ANY_CONTROL, now)
        self.busy_machines.discard(machine.name)
        self._release_other_controls(others)

    async def erase_disk(self):
        """Erase the disk of one control.

        Does nothing unless the other controls are undisturbed and have
        recovered from the previous loss.
        """
        machine = self._choose_idle(self.deployment.controls)
        others = self._reserve_other_controls(machine)
        if others is None:
            return
        await self._disturb([machine], _erase_disk, _start, (0.3, 2.0))
        disturbances = self.checker.disturbances
        spans = disturbances.begin_fault((ANY_CONTROL,), self.checker.clock())
        await trio.sleep(CATCH_UP_S)
        disturbances.end_fault(spans, self.checker.clock())
        self._release_other_controls(others)

    # Disks

    async def block_writes(self):
        """Make all file writes of a control fail for a while."""
        machine = self._choose_idle(self.deployment.controls)
        await self._disturb([machine], _block_writes, _allow_writes)

    # Network connections

    async def block_descriptors(self):
        """Leave a node no file descriptors for new connections."""
        # A process that cannot load its modules exits, which is no violation.
        loaded = [m for m in self.deployment.nodes if m.has_started()]
        machine = self._choose_idle(loaded) if loaded else None
        await self._disturb([machine], _block_descriptors, _allow_descriptors)

    async def partition(self):
        """Block the traffic to and from a machine."""
        await self._disturb([self._choose_idle()], _partition, _heal)

    async def partition_one_way(self):
        """Block the requests to, or the responses from, a machine."""
        direction = self.rng.choice(tuple(Direction))
        await self._disturb(
            [self._choose_idle()], lambda m: _partition(m, direction), _heal
        )

    async def reset_connections(self):
        """Reset the open connections to a machine."""
        await self._disturb(
            [self._choose_idle()],
            _reset_connections,
            duration_range_s=(0.0, 0.2),
        )

    async def stall_connections(self):
        """Stall the open connections to a machine for good.

        The connections stay open, as after a middlebox lost its state.
        """
        await self._disturb(
            [self._choose_idle()],
            _stall_connections,
            duration_range_s=(0.5, 2.0),
        )

    async def delay_traffic(self):
        """Delay the traffic to and from a machine."""
        delay_s = self.rng.uniform(*DELAY_RANGE_S)
        await self._disturb(
            [self._choose_idle()], lambda m: _delay_traffic(m, delay_s), _heal
        )

    # Targets

    async def _disturb_target(self, apply, undo=None):
        host = self.rng.choice(self.target_hosts)
        if host.target is None:
            return
        await self._disturb(
            [host.machine]
            if host.machine.name not in self.busy_machines
            else [],
            lambda _: apply(host),
            None if undo is None else lambda _: undo(host),
        )

    async def crash_target(self):
        """End a target at once; a new one replaces it."""
        await self._disturb_target(lambda host: host.crash())

    async def slow_target(self):
        """Multiply the service times of a target for a while."""
        slowdown = self.rng.uniform(*SLOWDOWN_RANGE)
        await self._disturb_target(
            lambda host: setattr(host, 'slowdown', slowdown),
            lambda host: setattr(host, 'slowdown', 1.0),
        )

    async def send_faulty_responses(self):
        """Make a target send faulty responses for a while."""
        await self._disturb_target(
            lambda host: setattr(
                host,
                'faulty_response_probability',
                FAULTY_RESPONSE_PROBABILITY,
            ),
            lambda host: setattr(host, 'faulty_response_probability', 0.0),
        )

    async def stall_target_connections(self):
        """Stall the open connections to a target for good."""
        await self._disturb_target(lambda host: host.relay.stall_connections())

    async def leave_target(self):
        """Make a target leave as planned."""
        host = self.rng.choice(self.target_hosts)
        if (
            host.target is not None
            and host.machine.name not in self.busy_machines
        ):
            self.busy_machines.add(host.machine.name)
            await self._leave(host)

    async def leave_target_without_heartbeat(self):
        """Make a target leave that says so in its responses only."""
        host = self.rng.choice(self.target_hosts)
        if (
            host.target is not None
            and host.machine.name not in self.busy_machines
        ):
            self.busy_machines.add(host.machine.name)
            await self._leave(host, announced=False)

    async def limit_target(self):
        """Make a target state one rate limit after another.

        Other faults may overlap, also those of its node.
        """
        await self._limit(self.rng.choice(self.target_hosts))

    async def restart_node_of_limited_target(self):
        """Restart the node beside a target again and again under a limit."""
        host = self.rng.choice(self.target_hosts)
        if host.target is None or host.machine.name in self.busy_machines:
            return
        self.busy_machines.add(host.machine.name)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._limit, host)
            for _ in range(self.rng.randint(1, 3)):
                await trio.sleep(self.rng.uniform(1.0, 3.0))
                await self._restart(host.machine)
        self.busy_machines.discard(host.machine.name)

    async def send_crashing_request(self):
        """Let clients of all nodes send a request that crashes targets.

        Its copies come in several series, amid other faults.
        """
        crashing_requests = self.checker.crashing_requests
        path = self.rng.choice(sorted(CRASHING_PREFIXES))
        crashing_requests.active.append(path)
        await trio.sleep(self.rng.uniform(*CRASHING_DURATION_RANGE_S))
        crashing_requests.active.remove(path)

    async def _limit(self, host):
        target = host.target
        if target is None or target.rate_limits:
            return
        for _ in range(self.rng.randint(1, MAX_LIMITS_IN_SERIES)):
            host.state_limit(target, self.rng.choice(STATED_LIMITS))
            await trio.sleep(self.rng.uniform(*LIMIT_DURATION_RANGE_S))
        host.state_limit(target, None)

    async def _restart(self, machine):
        disturbances = self.checker.disturbances
        names = self._affected_names(machine)
        spans = disturbances.begin_fault(names, self.checker.clock())
        await self.deployment.restart(machine)
        disturbances.end_fault(spans, self.checker.clock())

    async def restart_node_of_leaving_target(self):
        """Restart the node beside a target while the target leaves."""
        host = self.rng.choice(self.target_hosts)
        if host.target is None or host.machine.name in self.busy_machines:
            return
        self.busy_machines.add(host.machine.name)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._leave, host)
            await trio.sleep(self.rng.uniform(0.0, 1.0))
            await self._restart(host.machine)

    async def _leave(self, host, announced=True):
        name = host.machine.name
        await host.leave(self.rng.uniform(*LEAVE_DURATION_RANGE_S), announced)
        # The end of the target cuts off the requests that it still runs.
        disturbances = self.checker.disturbances
        now = self.checker.clock()
        disturbances.end_fault(disturbances.begin_fault((name,), now), now)
        self.busy_machines.discard(name)


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


def _erase_disk(machine):
    machine.kill()
    machine.erase_data()


def _block_writes(machine):
    machine.block_writes()


def _allow_writes(machine):
    machine.allow_writes()


def _block_descriptors(machine):
    machine.block_descriptors()


def _allow_descriptors(machine):
    machine.allow_descriptors()


def _partition(machine, *directions):
    for relay in machine.relays:
        relay.cut(*directions)


def _heal(machine):
    for relay in machine.relays:
        relay.heal()


def _reset_connections(machine):
    for relay in machine.relays:
        relay.reset()


def _stall_connections(machine):
    for relay in machine.relays:
        relay.stall_connections()


def _delay_traffic(machine, delay_s):
    for relay in machine.relays:
        relay.delay_s = delay_s
