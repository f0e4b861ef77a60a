"""One randomized run, from the first start to the final checks."""

from pathlib import Path
import time

import trio

from snipelead.emulator.platform_operator import send_request
from snipelead.soak.checker import HistoryChecker
from snipelead.soak.clients import Clients
from snipelead.soak.deployment import Deployment
from snipelead.soak.exceptions import GuaranteeViolationError
from snipelead.soak.faults import FaultInjector
from snipelead.soak.operators import Operators
from snipelead.soak.routes import make_rng
from snipelead.soak.targets import TargetHost
from snipelead.soak.wrong_peers import WrongPeer

__all__ = ['SoakRun']

CONTROL_COUNT = 3
# Services of the targets, in turn.
SERVICES = ('reads', 'orders')
DEFAULT_TARGET_COUNT = 6
# Time limit of the first start, in seconds.
START_TIMEOUT_S = 20.0
# Time after the last fault until all nodes must serve again, in seconds.
RECOVERY_S = 15.0
# Share of the requests of the recovery check that each node must answer
# with status 200.
MIN_SUCCESS_RATIO = 0.25
RECOVERY_CHECK_S = 3.0
MAX_FINAL_READS = 10
PROCESS_POLL_S = 0.1
POLL_S = 0.1


class SoakRun:
    """One run of a deployment under faults.

    Parameters
    ----------
    seed : int
        Seed of all random generators. The timing of the processes is not
        controlled, so a seed repeats the faults and requests but not their
        interleaving.
    seconds : float
        Duration of the fault injection, in seconds.
    directory : str or Path
        Directory for settings, logs and data; must exist.
    target_count : int
        Number of targets, each with a node beside it.

    Attributes
    ----------
    checker : HistoryChecker
        Records and checks the observed history.
    fault_injector : FaultInjector
        Injects the faults.
    """

    def __init__(
        self, seed, seconds, directory, target_count=DEFAULT_TARGET_COUNT
    ):
        self.seed = seed
        self.seconds = seconds
        self.directory = Path(directory)
        start = time.monotonic()
        services = [SERVICES[n % len(SERVICES)] for n in range(target_count)]
        self.deployment = Deployment(directory, CONTROL_COUNT, services)
        self.checker = HistoryChecker(
            lambda: time.monotonic() - start, self.deployment.get_epoch
        )
        nodes = self.deployment.nodes
        self.target_hosts = [
            TargetHost(m, self.checker, make_rng(seed, f'target {m.name}'))
            for m in nodes
        ]
        self.clients = [
            Clients(m, self.checker, make_rng(seed, f'client {m.name}'))
            for m in nodes
        ]
        self.wrong_peers = [
            WrongPeer(m, self.checker, make_rng(seed, f'wrong peer {m.name}'))
            for m in self.deployment.machines
        ]
        self.operators = Operators(
            self.deployment, self.checker, make_rng(seed, 'operators')
        )
        self.fault_injector = FaultInjector(
            self.deployment,
            self.target_hosts,
            self.checker,
            make_rng(seed, 'faults'),
        )

    async def run(self):
        """Run the deployment under faults and check its guarantees.

        Raises
        ------
        GuaranteeViolationError
            If a guarantee is violated.
        """
        with self.deployment:
            async with trio.open_nursery() as nursery:
                await self.deployment.start(nursery)
                for host in self.target_hosts:
                    nursery.start_soon(host.run)
                with trio.fail_after(START_TIMEOUT_S):
                    await self.operators.submit_first_release()
                    await self._wait_ready()
                async with trio.open_nursery() as traffic:
                    self._start_traffic(traffic)
                    with trio.move_on_after(self.seconds):
                        await self.fault_injector.run()
                    await self.fault_injector.heal()
                    await self._check_recovery()
                    traffic.cancel_scope.cancel()
                await self._check_final_read()
                self.checker.check_end(self.operators.newest_read)
                nursery.cancel_scope.cancel()

    def _start_traffic(self, nursery):
        for clients in self.clients:
            for use_connection in (
                clients.use_keep_alive_connection,
                clients.use_fresh_connections,
                clients.use_pipelined_connection,
            ):
                nursery.start_soon(clients.run, use_connection)
            nursery.start_soon(clients.probe)
        for peer in self.wrong_peers:
            nursery.start_soon(peer.run)
        nursery.start_soon(self.operators.submit_releases)
        nursery.start_soon(self.operators.read_releases)
        nursery.start_soon(self._restart_exited_processes)

    async def _restart_exited_processes(self):
        """Restart processes that exit by themselves.

        Such an exit is a violation unless the writes of the process were
        blocked.
        """
        while True:
            await trio.sleep(PROCESS_POLL_S)
            for machine in self.deployment.machines:
                status = machine.unexpected_exit_status()
                if status is None:
                    continue
                self.checker.counts['exited'] += 1
                if not machine.writes_blocked:
                    self.checker.fail(
                        'FAULT', f'{machine.name} exited with status {status}'
                    )
                machine.start()

    async def _wait_ready(self):
        for machine in self.deployment.nodes:
            address = machine.process.settings['ready_address']
            while True:
                response = await send_request(address, 'GET', '/ready')
                if response is not None and response.status == 200:
                    break
                await trio.sleep(POLL_S)

    async def _check_recovery(self):
        """Check after the recovery time that each node serves requests."""
        await trio.sleep(RECOVERY_S)
        since = self.checker.clock()
        await trio.sleep(RECOVERY_CHECK_S)
        until = self.checker.clock()
        for machine in self.deployment.nodes:
            records = [
                r
                for r in self.checker.requests.values()
                if r.node == machine.name
                and since <= r.sent_at
                # The latest requests may still be waiting for a response.
                and r.sent_at < until - RECOVERY_CHECK_S / 2
            ]
            served = sum(r.status == 200 for r in records)
            if served < MIN_SUCCESS_RATIO * len(records):
                self.checker.fail(
                    'RECOVER',
                    f'{machine.name} answered {served} of {len(records)}'
                    ' requests with status 200',
                )

    async def _check_final_read(self):
        """Read the newest release after the last submission."""
        for _ in range(MAX_FINAL_READS):
            if await self.operators.read_release():
                return
            await trio.sleep(POLL_S)
        self.checker.fail('CONFIG', 'no release can be read after the run')


def summarise(run):
    """Return one line with the number of faults and observed events."""
    counts = ', '.join(
        f'{name} {number}'
        for name, number in sorted(run.checker.counts.items())
    )
    return f'{len(run.fault_injector.injected)} faults; {counts}'


def find_violation(error):
    """Return the violation that an error is or contains, or None."""
    if isinstance(error, GuaranteeViolationError):
        return error
    if isinstance(error, BaseExceptionGroup):
        for part in error.exceptions:
            if (violation := find_violation(part)) is not None:
                return violation
    return None
