"""Processes of a deployment, with relays in front of each."""

from enum import Enum
from pathlib import Path
import random
import resource
import shutil
import socket
import subprocess
import sys
import threading

import trio
import yaml

from snipelead.testing.processes import Process
from snipelead.testing.relay import Relay
from snipelead.types import Address
from snipelead.types import NodeId
from snipelead.types import RegionName
from snipelead.types import ServiceName
from snipelead.types import ZoneName

__all__ = ['Deployment', 'Machine', 'MachineState']

# Hosts of the processes themselves; those without this offset are relays.
PROCESS_HOST_OFFSET = 100
FIRST_PORTS = range(10_000, 30_000)
PORTS_PER_RUN = 10
REGION = RegionName('local')
HEARTBEAT = '500ms'
GRACE = '6s'
RETRY_RATIO = 0.2
RETRY_EXTRA = 64.0
# Time after which a killed process is started again, in seconds.
RESTART_S = 0.3
END_POLL_S = 0.02


class MachineState(Enum):
    """What was done to the process of a machine last."""

    RUNNING = 'running'
    KILLED = 'killed'
    STOPPING = 'stopping'
    FROZEN = 'frozen'


class PlatformProcess(Process):
    """A process that is started as the users' platform starts it."""

    def write_settings(self):
        """Write the settings file and return its path."""
        path = self.folder / f'{self.name}.yaml'
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

        Its log goes through a pipe, so that a limit on the size of its files
        does not hide what it does then.
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
    """One machine: its process, and the relay that others reach it by.

    Parameters
    ----------
    name : str
        Its name.
    zone : ZoneName
        Its availability zone.
    process : PlatformProcess
        Its process.
    relays : tuple of Relay
        Relays in front of what the process listens to.

    Attributes
    ----------
    state : MachineState
        What was done to it last.
    lives : int
        How often its process was started.
    disk_limited : bool
        Whether its process can write no file, or could not in this life.
    """

    def __init__(self, name, zone, process, relays):
        self.name = name
        self.zone = zone
        self.process = process
        self.relays = relays
        self.state = MachineState.KILLED
        self.lives = 0
        self.disk_limited = False

    def start(self):
        """Start the process."""
        self.process.start()
        self.state = MachineState.RUNNING
        self.lives += 1
        self.disk_limited = False

    def kill(self):
        """End the process at once."""
        self.process.kill()
        self.state = MachineState.KILLED

    def freeze(self):
        """Stop the process from running until :meth:`thaw`."""
        self.process.freeze()
        self.state = MachineState.FROZEN

    def thaw(self):
        """Let the process run again."""
        self.process.thaw()
        self.state = MachineState.RUNNING

    async def stop(self, grace_s):
        """Ask the process to end, and kill it after the grace period."""
        self.state = MachineState.STOPPING
        self.process.popen.terminate()
        with trio.move_on_after(grace_s):
            while self.process.is_running():
                await trio.sleep(END_POLL_S)
        self.kill()

    def limit_disk(self):
        """Let each further write of a file fail."""
        self._limit_files(0)
        self.disk_limited = True

    def free_disk(self):
        """Let writes of files succeed again."""
        self._limit_files(resource.RLIM_INFINITY)

    def _limit_files(self, size):
        if self.process.is_running():
            limits = (size, resource.RLIM_INFINITY)
            pid = self.process.popen.pid
            resource.prlimit(pid, resource.RLIMIT_FSIZE, limits)

    def wipe(self):
        """Remove the data folder of a process that does not run."""
        folder = self.process.settings.get('data_dir')
        if folder is not None:
            shutil.rmtree(folder, ignore_errors=True)

    def take_unasked_end(self):
        """Return the exit status of a process that ended by itself."""
        if self.state is not MachineState.RUNNING:
            return None
        return self.process.popen.poll()


class Deployment:
    """Controls and nodes; a context manager that ends their processes.

    Parameters
    ----------
    folder : str or Path
        Folder for settings, logs and data.
    controls : int
        Number of controls, each in a zone of its own.
    services : sequence of ServiceName
        Service of the target beside each node.

    Attributes
    ----------
    controls, nodes : list of Machine
        Machines by their role.
    """

    def __init__(self, folder, controls, services):
        self.folder = Path(folder)
        # The choice is not seeded, so that runs side by side differ in it.
        chooser = random.SystemRandom()
        while True:
            self.network = '127.{}.{}'.format(
                *chooser.choices(range(1, 250), k=2)
            )
            self.port = chooser.choice(FIRST_PORTS)
            if self._is_free():
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
        """All machines, controls first."""
        return [*self.controls, *self.nodes]

    async def start(self, nursery):
        """Start all relays and processes."""
        for machine in self.machines:
            for relay in machine.relays:
                await nursery.start(relay.run)
        for machine in self.machines:
            machine.start()
        for control in self.controls:
            # Only the first start of the whole system may found a cluster.
            control.process.settings['may_found'] = False

    async def restart(self, machine):
        """Start a process again after a short while."""
        machine.kill()
        await trio.sleep(RESTART_S)
        machine.start()

    def _is_free(self):
        with socket.socket() as sock:
            try:
                sock.bind((f'{self.network}.1', self.port))
            except OSError:
                return False
        return True

    def _address(self, host, port):
        return Address(f'{self.network}.{host}:{self.port + port}')

    def _internal_ports(self):
        return [self.port + 1, self.port + 9]

    def _make_control(self, number):
        host = number + 1
        own = host + PROCESS_HOST_OFFSET
        name = f'control-{number}'
        settings = {
            'kind': 'control',
            'ip': f'{self.network}.{host}',
            'zone': self.zones[number],
            'region': REGION,
            'order_address': self._address(own, 0),
            'listen_address': self._address(own, 1),
            'internal_ports': self._internal_ports(),
            'data_dir': str(self.folder / name),
            'seeds': self.seeds,
            'may_found': True,
        }
        relays = tuple(
            Relay(self._address(own, port), self._address(host, port))
            for port in (0, 1)
        )
        process = PlatformProcess(settings, name, self.folder)
        return Machine(name, self.zones[number], process, relays)

    def _make_node(self, number, service):
        host = number + len(self.zones) + 1
        own = host + PROCESS_HOST_OFFSET
        name = NodeId(f'node-{number}')
        zone = self.zones[number % len(self.zones)]
        settings = {
            'kind': 'node',
            'node_id': name,
            'zone': zone,
            'region': REGION,
            'service': service,
            'caller_address': self._address(own, 2),
            'peer_address': self._address(own, 3),
            'advertised_address': self._address(host, 3),
            'ready_address': self._address(own, 4),
            'report_address': self._address(own, 5),
            'seeds': self.seeds,
            'internal_ports': self._internal_ports(),
            'heartbeat': HEARTBEAT,
            'grace': GRACE,
            'retry_ratio': RETRY_RATIO,
            'retry_extra': RETRY_EXTRA,
        }
        relays = (Relay(self._address(own, 3), self._address(host, 3)),)
        process = PlatformProcess(settings, name, self.folder)
        return Machine(name, zone, process, relays)
