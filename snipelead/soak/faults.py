"""Fault injection in concurrent series."""

import signal

import trio

from snipelead.soak.deployment import MachineState
from snipelead.soak.disturbances import ANY_CONTROL
from snipelead.soak.machine_faults import allow_descriptors
from snipelead.soak.machine_faults import allow_writes
from snipelead.soak.machine_faults import block_descriptors
from snipelead.soak.machine_faults import block_writes
from snipelead.soak.machine_faults import delay_traffic
from snipelead.soak.machine_faults import erase_disk
from snipelead.soak.machine_faults import freeze
from snipelead.soak.machine_faults import heal
from snipelead.soak.machine_faults import kill
from snipelead.soak.machine_faults import partition
from snipelead.soak.machine_faults import reset_connections
from snipelead.soak.machine_faults import stall_connections
from snipelead.soak.machine_faults import start
from snipelead.soak.machine_faults import thaw
from snipelead.soak.target_faults import TargetFaults
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
STOP_GRACE_S = 6.0
# Time in which a control with an empty disk copies the state of the others,
# in seconds.
CATCH_UP_S = 4.0
SERIES_COUNT = 3


class FaultInjector(TargetFaults):
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
        super().__init__(target_hosts)
        self.deployment = deployment
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
        await self._disturb([self._choose_idle()], kill, start)

    async def kill_controls(self):
        """Kill all idle controls at once; start them within a second."""
        controls = self._idle_machines(self.deployment.controls)
        await self._disturb(controls, kill, start, (0.3, 0.9))

    async def kill_many(self):
        """Kill several processes at the same time."""
        machines = self._idle_machines(self.deployment.machines)
        count = self.rng.randint(1, max(1, len(machines)))
        chosen = self.rng.sample(machines, min(count, len(machines)))
        await self._disturb(chosen, kill, start, (0.3, 2.0))

    async def freeze(self):
        """Suspend a process for a while."""
        await self._disturb(
            [self._choose_idle()], freeze, thaw, FREEZE_DURATION_RANGE_S
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
        apply, undo = self.rng.choice(((freeze, thaw), (partition, heal)))
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
        await self._disturb([machine], erase_disk, start, (0.3, 2.0))
        disturbances = self.checker.disturbances
        spans = disturbances.begin_fault((ANY_CONTROL,), self.checker.clock())
        await trio.sleep(CATCH_UP_S)
        disturbances.end_fault(spans, self.checker.clock())
        self._release_other_controls(others)

    # Disks

    async def block_writes(self):
        """Make all file writes of a control fail for a while."""
        machine = self._choose_idle(self.deployment.controls)
        await self._disturb([machine], block_writes, allow_writes)

    # Network connections

    async def block_descriptors(self):
        """Leave a node no file descriptors for new connections."""
        # A process that cannot load its modules exits, which is no violation.
        loaded = [m for m in self.deployment.nodes if m.has_started()]
        machine = self._choose_idle(loaded) if loaded else None
        await self._disturb([machine], block_descriptors, allow_descriptors)

    async def partition(self):
        """Block the traffic to and from a machine."""
        await self._disturb([self._choose_idle()], partition, heal)

    async def partition_one_way(self):
        """Block the requests to, or the responses from, a machine."""
        direction = self.rng.choice(tuple(Direction))
        await self._disturb(
            [self._choose_idle()], lambda m: partition(m, direction), heal
        )

    async def reset_connections(self):
        """Reset the open connections to a machine."""
        await self._disturb(
            [self._choose_idle()],
            reset_connections,
            duration_range_s=(0.0, 0.2),
        )

    async def stall_connections(self):
        """Stall the open connections to a machine for good.

        The connections stay open, as after a middlebox lost its state.
        """
        await self._disturb(
            [self._choose_idle()],
            stall_connections,
            duration_range_s=(0.5, 2.0),
        )

    async def delay_traffic(self):
        """Delay the traffic to and from a machine."""
        delay_s = self.rng.uniform(*DELAY_RANGE_S)
        await self._disturb(
            [self._choose_idle()], lambda m: delay_traffic(m, delay_s), heal
        )
