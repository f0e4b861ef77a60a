"""End-to-end tests with separate processes and the example settings."""

import json
import os
from pathlib import Path
import re
import subprocess
import sys
from threading import Thread
import time

from fixtures import TempDir
import pytest
from testtools.content import text_content
from testtools.testcase import TestCase
import trio
import yaml

from snipelead.cli.command import CONTROLS_VARIABLE
from snipelead.emulator.client import ConnectionPool
from snipelead.emulator.load import CallSpec
from snipelead.emulator.load import LoadGenerator
from snipelead.emulator.recorder import CallOutcome
from snipelead.emulator.run_log import read_runs
from snipelead.settings.loading import parse_settings
from snipelead.testing.processes import Fleet
from snipelead.testing.processes import Process
from snipelead.testing.processes import wait_for
from snipelead.types import Ran
from snipelead.utils.ports import find_free_addresses

EXAMPLES = Path(__file__).resolve().parents[3] / 'examples'
NOTE_PATH = EXAMPLES / 'dozators.yaml'
CONTROLS = ('control-a', 'control-b', 'control-c')
# One node with a target per service and availability zone.
NODE_TARGET_SUFFIXES = ('contracts-1', 'contracts-2', 'contracts-3')
NODE_TARGET_SUFFIXES += ('stock-1', 'stock-2', 'stock-3')
ADDED_SUFFIX = 'stock-4'
MAX_LEAVING_S = 3
COMMAND_TIMEOUT_S = 90
LOG_TAIL_CHARS = 4_000
CALLER_COUNT = 6
PAUSE_BETWEEN_CALLS_S = 0.02
ADDRESS_COUNT = 50
SEED = 1

READ_PATHS = ('/contracts/schedules/7', '/stock/levels/7')
CALL_SPECS = (
    CallSpec(
        path='/contracts/schedules/7',
        tenant='balts',
        request_class='interactive',
        weight=3.0,
    ),
    CallSpec(
        path='/stock/levels/7?ms=20',
        tenant='kaija',
        request_class='interactive',
        weight=3.0,
    ),
    CallSpec(
        path='/contracts/refills',
        tenant='ozols',
        request_class='once',
        method='POST',
        repeatable=False,
        has_idempotency_key=True,
        deadline_ms=10_000,
        body_bytes=100,
    ),
)


class ExampleFleet(Fleet):
    """Part of an example deployment on free ports.

    Parameters
    ----------
    directory : str
        Directory for settings, logs and data.
    """

    def __init__(self, directory):
        super().__init__(directory, controls=0, services=())
        self.addresses = {}
        self.free_addresses = find_free_addresses(ADDRESS_COUNT)
        self.controls = [self.make_process(name) for name in CONTROLS]
        self.nodes = [
            self.make_process(f'node-{name}') for name in NODE_TARGET_SUFFIXES
        ]
        self.targets = [
            self.make_process(f'target-{name}')
            for name in NODE_TARGET_SUFFIXES
        ]
        self.peers = self.controls[0].settings.peers

    def make_process(self, name):
        """Create a process from its example settings file."""
        path = EXAMPLES / 'dozators' / f'{name}.yaml'
        text = re.sub(
            r'127\.0\.0\.1:\d+', self.replace_address, path.read_text()
        )
        document = yaml.safe_load(text)
        document['log'] = {'format': 'json'}
        match document['kind']:
            case 'control':
                document['data_dir'] = str(self.directory / 'data' / name)
            case 'target':
                document['run_log'] = str(self.directory / f'{name}.runs')
        return Process(parse_settings(path, document), name, self.directory)

    def replace_address(self, match):
        """Return the free address that replaces an address of the example."""
        if match.group() not in self.addresses:
            self.addresses[match.group()] = self.free_addresses.pop()
        return self.addresses[match.group()]


class SteadyLoad(LoadGenerator):
    """Load of sequential callers that call random nodes until stopped."""

    def __init__(self, addresses):
        super().__init__(addresses, CALL_SPECS, SEED)
        self.stopping = False
        self.thread = Thread(target=trio.run, args=(self.run,))

    def __enter__(self):
        self._prepare()
        self.thread.start()
        return self

    def __exit__(self, *exc_info):
        self.stopping = True
        self.thread.join()

    async def run(self):
        async with trio.open_nursery() as nursery:
            for _ in range(CALLER_COUNT):
                nursery.start_soon(self._run_caller)

    async def _run_caller(self):
        with ConnectionPool() as pool:
            while not self.stopping:
                spec, address = self._choose_call()
                await self._send_call(pool, spec, address, trio.current_time())
                await trio.sleep(PAUSE_BETWEEN_CALLS_S)

    def lost_calls(self):
        """Return the calls that may have run but got no complete response."""
        return [
            call
            for call in self.recorder.calls
            if call.outcome not in (CallOutcome.DONE, CallOutcome.REFUSED)
            and call.ran is not Ran.NO
        ]


@pytest.mark.processes
class EndToEndTest(TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = ExampleFleet(self.useFixture(TempDir()).path)
        self.addOnException(self.attach_logs)
        self.addCleanup(self.fleet.__exit__)
        self.http = self.fleet.client
        self.fleet.start()

    def attach_logs(self, exc_info):
        for process in self.fleet.processes:
            if process.log_path.exists():
                text = process.log_path.read_text()[-LOG_TAIL_CHARS:]
                self.addDetail(process.name, text_content(text))

    def run_command(self, *arguments, expected=0):
        """Run the snipelead command and return its standard output."""
        controls = ','.join(self.fleet.get_operator_addresses())
        result = subprocess.run(
            [sys.executable, '-m', 'snipelead', *arguments],
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
            env=os.environ | {CONTROLS_VARIABLE: controls},
        )
        self.assertEqual(expected, result.returncode, result.stderr)
        return result.stdout

    def submit_first_release(self):
        self.run_command('release', 'submit', str(NOTE_PATH), '--wait')
        for node in self.fleet.nodes:
            for path in READ_PATHS:
                wait_for(
                    lambda n=node, p=path: self.call(n, p).is_success,
                    f'{path} through {node.name}',
                )

    def call(self, node, path):
        url = f'http://{node.settings.caller_address}{path}'
        headers = {'X-Tenant': 'balts', 'X-Deadline-Ms': '5000'}
        return self.http.get(url, headers=headers)

    def caller_addresses(self):
        return [node.settings.caller_address for node in self.fleet.nodes]

    def read_all_runs(self):
        return [
            run
            for process in self.fleet.targets
            for run in read_runs(process.settings.run_log)
        ]

    def test_release_takes_effect_and_targets_join_and_leave(self):
        self.submit_first_release()
        status = json.loads(self.run_command('release', 'show', '1', '--json'))
        self.assertEqual('in_force', status['state'])
        self.assertEqual((6, 6), (status['nodes'], status['confirmed']))
        self.assertEqual([], status['lagging'])
        self.check_new_target()
        self.check_leaving_target()

    def check_new_target(self):
        node = self.fleet.make_process(f'node-{ADDED_SUFFIX}')
        target = self.fleet.make_process(f'target-{ADDED_SUFFIX}')
        self.fleet.nodes.append(node)
        self.fleet.targets.append(target)
        node.start()
        target.start()
        # Idle targets in the availability zone of the node are preferred.
        other_node = self.fleet.nodes[2]
        self.assertEqual(node.settings.zone, other_node.settings.zone)
        wait_for(
            lambda: self.call_and_get_target(other_node) == target.name,
            'response from the new target',
        )

    def call_and_get_target(self, node):
        response = self.call(node, '/stock/levels/7')
        return f'target-{response.json().get("target")}'

    def check_leaving_target(self):
        target = self.fleet.targets[3]
        admin = target.settings.node_admin_address
        name = target.settings.target_id
        with SteadyLoad(self.caller_addresses()) as load:
            wait_for(lambda: self.has_run_since(target, 0), f'run on {name}')
            response = self.http.post(
                f'http://{admin}/v1/targets/{name}/leaving'
            )
            self.assertEqual(204, response.status_code)
            limit_ns = time.time_ns() + MAX_LEAVING_S * 1_000_000_000
            # Other targets still receive requests well after the limit.
            after_ns = limit_ns + 1_000_000_000
            for other in self.fleet.targets[4:6]:
                wait_for(
                    lambda t=other: self.has_run_since(t, after_ns),
                    f'run after the limit on {other.name}',
                )
        self.assertFalse(self.has_run_since(target, limit_ns))
        self.assertEqual([], load.lost_calls())

    def has_run_since(self, target, since_ns):
        """Return whether a target started a run after a time."""
        path = target.settings.run_log
        return any(run.started_ns > since_ns for run in read_runs(path))

    def test_graceful_stop_of_each_process_loses_no_response(self):
        self.submit_first_release()
        with SteadyLoad(self.caller_addresses()) as load:
            for process in self.fleet.processes:
                self.assertEqual(0, process.terminate(), process.name)
                process.start()
                self.fleet.wait_until_processes_ready([process])
                self.wait_for_calls(load)
        self.assertEqual([], load.lost_calls())
        self.assertTrue(
            load.recorder.audit(self.read_all_runs()).has_no_violations
        )

    def wait_for_calls(self, load):
        """Wait until 100 more calls have completed."""
        required_count = len(load.recorder.calls) + 100
        wait_for(
            lambda: len(load.recorder.calls) > required_count, 'more calls'
        )
