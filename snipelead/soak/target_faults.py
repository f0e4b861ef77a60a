"""Faults of the targets beside the nodes."""

import trio

from snipelead.soak.crashing_requests import CRASHING_PREFIXES

__all__ = ['TargetFaults']

SLOWDOWN_RANGE = (3.0, 15.0)
FAULTY_RESPONSE_PROBABILITY = 0.3
LEAVE_DURATION_RANGE_S = (2.5, 4.0)
# Rate limits that targets state, in requests per second, and how long each of
# them lasts, in seconds. The checks begin 3 s after a target has begun.
STATED_LIMITS = (0.0, 0.5, 1.5, 5.0, 20.0)
LIMIT_DURATION_RANGE_S = (5.0, 9.0)
MAX_LIMITS_IN_SERIES = 3
# How long copies of a crashing request are sent, in seconds.
CRASHING_DURATION_RANGE_S = (3.0, 9.0)


class TargetFaults:
    """Faults of targets, for a class that disturbs their machines.

    Parameters
    ----------
    target_hosts : list of TargetHost
        Targets beside the nodes.
    """

    def __init__(self, target_hosts):
        self.target_hosts = target_hosts

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
