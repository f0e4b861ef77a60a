"""Processes of the system under test, for tests and benchmarks."""

from collections.abc import Callable
from pathlib import Path
import signal
import subprocess
import sys
import time

import httpx
import msgspec
import yaml

from snipelead.settings.schema import ControlSettings
from snipelead.settings.schema import ControlTimings
from snipelead.settings.schema import NodeSettings
from snipelead.settings.schema import Peer
from snipelead.settings.schema import TargetSettings
from snipelead.testing.exceptions import ConditionTimeoutError
from snipelead.testing.exceptions import ProcessEndedError
from snipelead.types import ControlId
from snipelead.types import NodeId
from snipelead.types import ServiceName
from snipelead.types import TargetId
from snipelead.types import ZoneName
from snipelead.utils.ports import find_free_addresses

__all__ = ['Fleet', 'Process', 'wait_for']

DEFAULT_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05
STOP_TIMEOUT_S = 30.0
HTTP_TIMEOUT_S = 30.0
LOG_TAIL_CHARS = 2_000


def wait_for(
    condition: Callable, description: str, timeout_s: float = DEFAULT_TIMEOUT_S
):
    """Wait until a condition is true and return its value.

    Connection errors count as false.

    Parameters
    ----------
    condition : callable
        Returns a true value when the wait is over.
    description : str
        Description of the condition for the error message.
    timeout_s : float
        Time limit, in seconds.

    Raises
    ------
    ConditionTimeoutError
        If the condition is not true in time. The message contains the
        description and the last value or connection error.
    """
    end = time.monotonic() + timeout_s
    while True:
        try:
            last = condition()
            if last:
                return last
        except (httpx.HTTPError, OSError) as error:
            last = error
        if time.monotonic() > end:
            raise ConditionTimeoutError(
                f'{description}: not true within {timeout_s} s; last value:'
                f' {last!r}'
            )
        time.sleep(POLL_INTERVAL_S)


class Process:
    """One process of the system; a context manager that kills it.

    Parameters
    ----------
    settings : ControlSettings, NodeSettings or TargetSettings
        Settings of the process, written to a file in ``directory``.
    name : str
        Name of the process and its files.
    directory : Path
        Directory for the settings file and the log.

    Attributes
    ----------
    popen : subprocess.Popen or None
        Latest started process, None before the first start.
    stop_requested : bool
        Whether that process was killed or terminated.
    """

    def __init__(self, settings, name, directory):
        self.settings = settings
        self.name = name
        self.directory = Path(directory)
        self.popen = None
        self.stop_requested = False

    @property
    def kind(self):
        """Subcommand that starts the process."""
        return type(self.settings).__struct_config__.tag

    @property
    def log_path(self):
        """Path of the file that receives standard output and error."""
        return self.directory / f'{self.name}.log'

    def write_settings(self):
        """Write the settings file and return its path."""
        path = self.directory / f'{self.name}.yaml'
        path.write_text(yaml.safe_dump(msgspec.to_builtins(self.settings)))
        return path

    def command(self, path):
        """Return the command that runs the process with a settings file."""
        return (
            *(sys.executable, '-m', 'snipelead'),
            *(self.kind, '--settings', str(path)),
        )

    def start(self):
        """Start the process; it is not ready yet when this returns."""
        path = self.write_settings()
        with self.log_path.open('ab') as log:
            self.popen = subprocess.Popen(
                self.command(path),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.stop_requested = False
        return self

    def is_running(self):
        """Return whether the process was started and has not exited."""
        return self.popen is not None and self.popen.poll() is None

    def has_ended_by_itself(self):
        """Return whether the process ended without being asked to."""
        return (
            self.popen is not None
            and self.popen.poll() is not None
            and not self.stop_requested
        )

    def check_running(self):
        """Return True, or raise if the process is not running.

        Raises
        ------
        ProcessEndedError
            If the process is not running, with the end of its log.
        """
        if self.is_running():
            return True
        log = self.log_path.read_text()[-LOG_TAIL_CHARS:]
        raise ProcessEndedError(
            f'process {self.name} has exited; end of its log: {log}'
        )

    def kill(self):
        """Send SIGKILL and wait until the process exits."""
        if self.is_running():
            self.stop_requested = True
            self.popen.kill()
            self.popen.wait(STOP_TIMEOUT_S)

    def freeze(self):
        """Suspend the process by SIGSTOP."""
        self.popen.send_signal(signal.SIGSTOP)

    def thaw(self):
        """Resume the process by SIGCONT."""
        self.popen.send_signal(signal.SIGCONT)

    def terminate(self):
        """Send SIGTERM, wait for the exit and return the exit status."""
        self.stop_requested = True
        self.popen.terminate()
        return self.popen.wait(STOP_TIMEOUT_S)

    def restart(self):
        """Kill the process if it runs, and start it again."""
        self.kill()
        return self.start()

    def __enter__(self):
        return self.start()

    def __exit__(self, *exc_info):
        self.kill()


class Fleet:
    """Controls, nodes and targets; a context manager that kills them.

    Each node has at most one target. Settings may be replaced before the
    start, for example to insert a relay between two processes.

    Parameters
    ----------
    directory : str or Path
        Directory for settings, logs, data and the run logs of the targets.
    controls : int
        Number of voting controls, each in a zone of its own.
    services : sequence of str
        Service of the target of each node, one node per entry; None for a
        node without a target.
    timings : ControlTimings or None
        Timings of the controls.
    target_changes : dict or None
        Target settings that differ from the defaults.
    """

    def __init__(
        self,
        directory,
        controls=3,
        services=('stock', 'stock'),
        timings=None,
        target_changes=None,
    ):
        self.directory = Path(directory)
        self.services = services
        self.timings = timings or ControlTimings()
        self.target_changes = target_changes or {}
        self.peers = _make_peers(controls)
        self.controls = [self._make_control(peer) for peer in self.peers]
        self.client = httpx.Client(timeout=HTTP_TIMEOUT_S, trust_env=False)
        self.nodes = []
        self.targets = []
        for number, service in enumerate(services):
            self._add_node(number, service)

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        for process in self.processes:
            process.kill()
        self.client.close()

    @property
    def processes(self):
        """All processes, in the order controls, nodes, targets."""
        return [*self.controls, *self.nodes, *filter(None, self.targets)]

    def start(self):
        """Start all processes and wait until each is ready."""
        for process in self.processes:
            process.start()
        self.wait_until_processes_ready(self.processes)
        return self

    def wait_until_ready(self):
        """Wait until each running process is ready."""
        self.wait_until_processes_ready(
            p for p in self.processes if p.is_running()
        )

    def wait_until_processes_ready(self, processes):
        """Wait until some processes are ready."""
        for process in processes:
            wait_for(
                lambda p=process: (
                    p.check_running() and is_ready(self.client, p)
                ),
                f'{process.name} ready',
            )

    def replace_settings(self, process, **changes):
        """Replace settings of a process; they apply from its next start."""
        process.settings = msgspec.structs.replace(process.settings, **changes)

    def run_log_paths(self):
        """Return the paths of the run logs of all targets."""
        return [t.settings.run_log for t in self.targets if t is not None]

    def get_operator_addresses(self):
        """Return the addresses at which the controls serve operators."""
        return [peer.operator_address for peer in self.peers]

    def caller_urls(self):
        """Return the URLs at which the nodes serve callers."""
        return [f'http://{n.settings.caller_address}' for n in self.nodes]

    def _make_control(self, peer):
        settings = ControlSettings(
            control_id=peer.control_id,
            zone=peer.zone,
            address=peer.address,
            operator_address=peer.operator_address,
            data_dir=str(self.directory / peer.control_id),
            peers=self.peers,
            timings=self.timings,
        )
        return Process(settings, peer.control_id, self.directory)

    def _add_node(self, number, service):
        caller_address, address, admin_address, target_address = (
            find_free_addresses(4)
        )
        peer = self.peers[number % len(self.peers)]
        name = f'node-{number}'
        node = NodeSettings(
            node_id=NodeId(name),
            zone=peer.zone,
            caller_address=caller_address,
            address=address,
            admin_address=admin_address,
            controls=self.peers,
        )
        self.nodes.append(Process(node, name, self.directory))
        if service is None:
            self.targets.append(None)
            return
        name = f'target-{number}'
        settings = TargetSettings(
            target_id=TargetId(name),
            service=ServiceName(service),
            address=target_address,
            node_admin_address=admin_address,
            run_log=str(self.directory / f'{name}.runs'),
            **self.target_changes,
        )
        self.targets.append(Process(settings, name, self.directory))


def is_ready(client, process):
    """Return whether a process responds successfully to a status request."""
    match process.settings:
        case ControlSettings(operator_address=address):
            path = '/v1/releases'
        case NodeSettings(admin_address=address):
            path = '/v1/status'
        case TargetSettings(address=address):
            path = '/load'
    return client.get(f'http://{address}{path}').is_success


def _make_peers(count):
    addresses = find_free_addresses(2 * count)
    return tuple(
        Peer(
            control_id=ControlId(f'control-{number}'),
            zone=ZoneName(f'zone-{number}'),
            address=addresses[2 * number],
            operator_address=addresses[2 * number + 1],
        )
        for number in range(count)
    )
