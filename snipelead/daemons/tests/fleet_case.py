"""Base class of the failure tests, which run separate processes."""

import json

from fixtures import TempDir
from testtools.content import text_content
from testtools.testcase import TestCase
import yaml

from snipelead.emulator.run_log import read_runs
from snipelead.testing.processes import Fleet
from snipelead.testing.processes import wait_for
from snipelead.testing.relay import RelayThread
from snipelead.voters.events import BECAME_LEADER
from snipelead.voters.events import CLUSTER_FOUNDED
from snipelead.voters.events import MEMBERSHIP_CHANGED

LOG_TAIL_CHARS = 6_000
# Log index of the first configuration of a new cluster.
FIRST_CONFIGURATION_INDEX = 1

FIRST_CHANGES = [
    {'action': 'add', 'service': {'name': 'stock'}},
    {
        'action': 'add',
        'route': {
            'name': 'levels',
            'service': 'stock',
            'path_prefix': '/levels',
            'repeatable': True,
        },
    },
    {
        'action': 'add',
        'route': {
            'name': 'orders',
            'service': 'stock',
            'path_prefix': '/orders',
            'request_class': 'once',
        },
    },
    {'action': 'add', 'setting': {'name': 'revision', 'value': 1}},
]


def make_revision_change(number):
    return [
        {
            'action': 'change',
            'setting': {'name': 'revision', 'value': number},
        }
    ]


def read_events(process, event):
    """Return the occurrences of an event in the log of a process."""
    if not process.log_path.exists():
        return []
    lines = process.log_path.read_text().splitlines()
    occurrences = []
    for line in lines:
        try:
            fields = json.loads(line)
        except ValueError:
            continue
        if isinstance(fields, dict) and fields.get('number') == event.number:
            occurrences.append(fields)
    return occurrences


class FleetTestCase(TestCase):
    """Test case that starts a fleet and acts as its operators and callers."""

    def make_fleet(self, **parameters):
        self.directory = self.useFixture(TempDir()).path
        self.fleet = Fleet(self.directory, **parameters)
        self.addOnException(self.attach_logs)
        self.addCleanup(self.fleet.__exit__)
        self.addCleanup(self.check_no_process_ended)
        self.client = self.fleet.client
        return self.fleet

    def start_relay_thread(self):
        """Start a thread for relays that ends with the test."""
        thread = RelayThread()
        thread.__enter__()
        self.addCleanup(thread.__exit__)
        return thread

    def start_fleet(self, **parameters):
        """Start a fleet and wait until it serves release 1."""
        fleet = self.make_fleet(**parameters)
        fleet.start()
        self.deploy_first_release()
        return fleet

    def deploy_first_release(self):
        """Submit release 1 and wait until every node serves it."""
        # The controls accept requests before their cluster is founded.
        outcome = self.submit_until_decided([0], 1, 'first', FIRST_CHANGES)
        self.assertEqual(200, outcome[0])
        self.wait_for_release(1)
        for node in self.fleet.nodes:
            self.wait_until_serving(node)

    def check_no_process_ended(self):
        """Fail if a process ended without being asked to."""
        ended = [
            p.name for p in self.fleet.processes if p.has_ended_by_itself()
        ]
        self.assertEqual([], ended, 'processes that ended by themselves')

    def attach_logs(self, exc_info):
        for process in self.fleet.processes:
            if process.log_path.exists():
                text = process.log_path.read_text()[-LOG_TAIL_CHARS:]
                self.addDetail(process.name, text_content(text))

    # Operator interface

    def submit(self, control, number, note, changes=None):
        """Submit a release note once; return the status and the response."""
        document = {
            'release': number,
            'note': note,
            'changes': changes or make_revision_change(number),
        }
        address = self.fleet.get_operator_addresses()[control]
        response = self.client.post(
            f'http://{address}/v1/releases', content=yaml.safe_dump(document)
        )
        return response.status_code, response.json()

    def submit_until_decided(self, controls, number, note, changes=None):
        """Resubmit a note to controls in turn until accepted or refused."""
        rotation = list(controls)

        def attempt():
            rotation.append(rotation.pop(0))
            status, response = self.submit(rotation[-1], number, note, changes)
            return (status, response) if status in (200, 409) else None

        return wait_for(attempt, f'outcome of {note}')

    def read_releases(self, control):
        address = self.fleet.get_operator_addresses()[control]
        return self.client.get(f'http://{address}/v1/releases').json()

    def read_accepted_notes(self, control):
        """Return the notes accepted according to a control, by number."""
        listed = self.read_releases(control)
        return {
            entry['held']['number']: entry['note']
            for entry in listed['notes']
            if entry['outcome'] == 'accepted'
        }

    def wait_for_certified(self, control, number):
        """Wait until a control certifies a release with at least a number."""

        def check():
            listed = self.read_releases(control)
            return listed['certified'] and (
                listed['current']['number'] >= number
            )

        wait_for(check, f'control {control} certified with {number}')

    def wait_for_leader(self, controls=None):
        """Wait for a leader and return its index.

        Parameters
        ----------
        controls : collection of int or None
            Indexes of the controls to consider, or None for all.
        """
        indexes = range(len(self.fleet.controls))
        controls = indexes if controls is None else controls

        def find():
            elections = [
                (event['term'], index)
                for index in indexes
                for event in read_events(
                    self.fleet.controls[index], BECAME_LEADER
                )
            ]
            last_election = max(elections, default=None)
            return (
                last_election
                if last_election and last_election[1] in controls
                else None
            )

        return wait_for(find, 'leader')[1]

    def read_newest_voters(self):
        """Return the voters of the newest configuration in all logs."""
        changes = [
            (event.get('index', FIRST_CONFIGURATION_INDEX), event['voters'])
            for control in self.fleet.controls
            for kind in (CLUSTER_FOUNDED, MEMBERSHIP_CHANGED)
            for event in read_events(control, kind)
        ]
        return max(changes, default=(0, []))[1]

    # Admin interface of nodes

    def read_node_status(self, node):
        address = node.settings.admin_address
        return self.client.get(f'http://{address}/v1/status').json()

    def wait_for_release(self, number, nodes=None):
        for node in nodes or self.fleet.nodes:
            wait_for(
                lambda n=node: self.read_node_status(n)['release'] >= number,
                f'release {number} on {node.name}',
            )

    def wait_until_serving(self, node):
        """Wait until a node answers a read request through a target."""
        wait_for(
            lambda: self.call(node, '/levels').status_code == 200,
            f'{node.name} serves',
        )

    # Callers

    def call(self, node, path, method='GET', **headers):
        """Send a request to a node.

        Header names are given with underscores instead of hyphens.
        """
        names = {k.replace('_', '-'): str(v) for k, v in headers.items()}
        address = node.settings.caller_address
        return self.client.request(
            method, f'http://{address}{path}', headers=names
        )

    def send_order(
        self, node, key, request_id, path='/orders', deadline_ms=8_000
    ):
        """Send a request of class once, which must run at most once."""
        return self.call(
            node,
            path,
            'POST',
            Idempotency_Key=key,
            X_Request_Id=request_id,
            X_Deadline_Ms=deadline_ms,
        )

    def find_runs(self, key):
        """Return the runs of an idempotency key on all targets."""
        return [
            run
            for path in self.fleet.run_log_paths()
            for run in read_runs(path)
            if run.key == key
        ]

    def wait_for_run(self, key):
        """Wait until a target starts to run a request with a key."""
        wait_for(lambda: self.find_runs(key), f'run of {key}')
