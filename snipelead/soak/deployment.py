"""Processes of a deployment, each behind TCP relays."""

from enum import Enum
from pathlib import Path
import random
import resource
import shutil
import socket
import subprocess
import sys
import threading
import time

import trio
import yaml

from snipelead.soak.customers import BOUNDS
from snipelead.testing.processes import Process
from snipelead.testing.relay import Relay
from snipelead.types import Address
from snipelead.types import NodeId
from snipelead.types import RegionName
from snipelead.types import ServiceName
from snipelead.types import ZoneName

__all__ = ['Deployment', 'Machine', 'MachineState']

# Added to the last octet of a relay address, it gives the address of the
# process behind the relay.
PROCESS_HOST_OFFSET = 100
FIRST_PORT_RANGE = range(10_000, 30_000)
PORTS_PER_RUN = 10
REGION = RegionName('local')
HEARTBEAT = '500ms'
GRACE = '6s'
RETRY_RATIO = 0.2
RETRY_EXTRA = 64.0
# Delay between killing a process and starting it again, in seconds.
RESTART_DELAY_S = 0.3
EXIT_POLL_S = 0.02
# Time in which a started process loads its modules, in seconds.
LOADING_S = 5.0


class MachineState(Enum):
    """Expected state of the process of a machine."""

    RUNNING = 'running'
    KILLED = 'killed'
    STOPPING = 'stopping'
    FROZEN = 'frozen'


class PlatformProcess(Process):
    """Process that is started the way the users' platform starts it."""

    def write_settings(self):
        """Write the settings file and return its path."""
        path = self.directory / f'{self.name}.yaml'
        path.write_text(yaml.safe_dump(self.settings))
        return path

    def command(self, path):
        """Return the command that runs the process with a settings file."""
        return (
            *(sys.executable, '-m', 'snipelead.platform'),
            *('--settings', str(path)),
        )

    def start(self):
        """Start the process; it is not ready yet when this returns.

        Its log goes through a pipe, so that log lines are still written while
        a file size limit blocks the writes of the process.
        """
        self.popen = subprocess.Popen(
            self.command(self.write_settings()),
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        copier = threading.Thread(
            target=_copy_log, args=(self.popen.stdout, self.log_path)
        )
        copier.daemon = True
        copier.start()
        return self


def _copy_log(pipe, path):
    with pipe, path.open('ab') as log:
        while data := pipe.read1():
            log.write(data)


class Machine:
    """One process, and the TCP relays through which others reach it.

    Parameters
    ----------
    name : str
        Name of the machine.
    zone : ZoneName
        Availability zone of the machine.
    process : PlatformProcess
        Process that runs on the machine.
    relays : tuple of Relay
        Relays in front of the listening addresses of the process.

    Attributes
    ----------
    state : MachineState
        Expected state of the process.
    incarnation : int
        Number of starts of the process.
    started_at : float
        Time of the last start, in seconds of the monotonic clock.
    freezes : int
        Number of times that the process was suspended.
    writes_blocked : bool
        Whether file writes were blocked since the last start.
    """

    def __init__(self, name, zone, process, relays):
        self.name = name
        self.zone = zone
        self.process = process
        self.relays = relays
        self.state = MachineState.KILLED
        self.incarnation = 0
        self.freezes = 0
        self.started_at = 0.0
        self.writes_blocked = False

    def start(self):
        """Start the process."""
        self.process.start()
        self.state = MachineState.RUNNING
        self.incarnation += 1
        self.started_at = time.monotonic()
        self.writes_blocked = False

    def has_started(self):
        """Return whether the process has had time to load its modules."""
        return (
            self.state is MachineState.RUNNING
            and time.monotonic() - self.started_at >= LOADING_S
        )

    def kill(self):
        """Kill the process."""
        self.process.kill()
        self.state = MachineState.KILLED

    def freeze(self):
        """Suspend the process until :meth:`thaw`."""
        self.process.freeze()
        self.freezes += 1
        self.state = MachineState.FROZEN

    def thaw(self):
        """Resume a suspended process."""
        self.process.thaw()
        self.state = MachineState.RUNNING

    async def stop(self, grace_s):
        """Terminate the process, and kill it after the grace period."""
        self.state = MachineState.STOPPING
        self.process.popen.terminate()
        with trio.move_on_after(grace_s):
            while self.process.is_running():
                await trio.sleep(EXIT_POLL_S)
        self.kill()

    def block_writes(self):
        """Make all file writes of the process fail."""
        self._set_soft_limit(resource.RLIMIT_FSIZE, 0)
        self.writes_blocked = True

    def allow_writes(self):
        """Make file writes of the process succeed again."""
        self._reset_soft_limit(resource.RLIMIT_FSIZE)

    def block_descriptors(self):
        """Leave the process at most a few file descriptors."""
        if self.process.is_running():
            # poll() fails if there are more open files than the limit allows.
            directory = Path(f'/proc/{self.process.popen.pid}/fd')
            newest = max((int(p.name) for p in directory.iterdir()), default=0)
            self._set_soft_limit(resource.RLIMIT_NOFILE, newest + 1)

    def allow_descriptors(self):
        """Allow the process new file descriptors again."""
        self._reset_soft_limit(resource.RLIMIT_NOFILE)

    def _set_soft_limit(self, limit, value):
        if self.process.is_running():
            pid = self.process.popen.pid
            _, hard = resource.prlimit(pid, limit)
            resource.prlimit(pid, limit, (value, hard))

    def _reset_soft_limit(self, limit):
        # The processes inherit the soft limits of this one.
        self._set_soft_limit(limit, resource.getrlimit(limit)[0])

    def erase_data(self):
        """Remove the data directory; the process must not run."""
        directory = self.process.settings.get('data_dir')
        if directory is not None:
            shutil.rmtree(directory, ignore_errors=True)

    def unexpected_exit_status(self):
        """Return the exit status if the process exited by itself, or None."""
        if self.state is not MachineState.RUNNING:
            return None
        return self.process.popen.poll()


class Deployment:
    """Controls and nodes; a context manager that kills their processes.

    Parameters
    ----------
    directory : str or Path
        Directory for settings, logs and data.
    controls : int
        Number of controls, each in a zone of its own.
    services : sequence of ServiceName
        Service of the target beside each node, one node per entry.

    Attributes
    ----------
    controls, nodes : list of Machine
        Machines of the controls and of the nodes.
    """

    def __init__(self, directory, controls, services):
        self.directory = Path(directory)
        # Not seeded, so that concurrent runs use different addresses.
        rng = random.SystemRandom()
        while True:
            self.network = '127.{}.{}'.format(*rng.choices(range(1, 250), k=2))
            self.first_port = rng.choice(FIRST_PORT_RANGE)
            if self._is_port_free():
                break
        self.zones = [ZoneName(f'zone-{n}') for n in range(controls)]
        self.seeds = [self._address(n, 0) for n in range(1, controls + 1)]
        self.controls = [self._make_control(n) for n in range(controls)]
        self.nodes = [
            self._make_node(number, ServiceName(service))
            for number, service in enumerate(services)
        ]

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        for machine in self.machines:
            machine.kill()

    @property
    def machines(self):
        """All machines, the controls first."""
        return [*self.controls, *self.nodes]

    def get_epoch(self, name):
        """Return the number of starts and of freezes of a machine."""
        (machine,) = (m for m in self.machines if m.name == name)
        return (machine.incarnation, machine.freezes)

    async def start(self, nursery):
        """Start all relays and processes."""
        for machine in self.machines:
            for relay in machine.relays:
                await nursery.start(relay.run)
        for machine in self.machines:
            machine.start()
        for control in self.controls:
            # Only the first start may found a cluster; a control that lost its
            # data must join the existing one.
            control.process.settings['may_found'] = False

    async def restart(self, machine):
        """Kill a process and start it again after a short delay."""
        machine.kill()
        await trio.sleep(RESTART_DELAY_S)
        machine.start()

    def _is_port_free(self):
        with socket.socket() as sock:
            try:
                sock.bind((f'{self.network}.1', self.first_port))
            except OSError:
                return False
        return True

    def _address(self, host, offset):
        return Address(f'{self.network}.{host}:{self.first_port + offset}')

    def _internal_ports(self):
        return [self.first_port + 1, self.first_port + 9]

    def _make_control(self, number):
        host = number + 1
        process_host = host + PROCESS_HOST_OFFSET
        name = f'control-{number}'
        settings = {
            'kind': 'control',
            'ip': f'{self.network}.{host}',
            'zone': self.zones[number],
            'region': REGION,
            'order_address': self._address(process_host, 0),
            'listen_address': self._address(process_host, 1),
            'internal_ports': self._internal_ports(),
            'data_dir': str(self.directory / name),
            'seeds': self.seeds,
            'may_found': True,
            'bounds': BOUNDS,
        }
        relays = tuple(
            Relay(
                self._address(process_host, offset),
                self._address(host, offset),
            )
            for offset in (0, 1)
        )
        process = PlatformProcess(settings, name, self.directory)
        return Machine(name, self.zones[number], process, relays)

    def _make_node(self, number, service):
        host = number + len(self.zones) + 1
        process_host = host + PROCESS_HOST_OFFSET
        name = NodeId(f'node-{number}')
        zone = self.zones[number % len(self.zones)]
        settings = {
            'kind': 'node',
            'node_id': name,
            'zone': zone,
            'region': REGION,
            'service': service,
            'caller_address': self._address(process_host, 2),
            'peer_address': self._address(process_host, 3),
            'advertised_address': self._address(host, 3),
            'ready_address': self._address(process_host, 4),
            'report_address': self._address(process_host, 5),
            'seeds': self.seeds,
            'internal_ports': self._internal_ports(),
            'heartbeat': HEARTBEAT,
            'grace': GRACE,
            'retry_ratio': RETRY_RATIO,
            'retry_extra': RETRY_EXTRA,
            'bounds': BOUNDS,
        }
        relays = (
            Relay(self._address(process_host, 3), self._address(host, 3)),
        )
        process = PlatformProcess(settings, name, self.directory)
        return Machine(name, zone, process, relays)
