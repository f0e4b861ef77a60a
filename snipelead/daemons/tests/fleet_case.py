"""Base of the failure tests, which run separate processes."""

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
# Index of the configuration that a cluster is founded with.
FOUNDING_INDEX = 1

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


def change_revision(number):
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
    found = []
    for line in lines:
        try:
            fields = json.loads(line)
        except ValueError:
            continue
        if isinstance(fields, dict) and fields.get('number') == event.number:
            found.append(fields)
    return found


class FleetTestCase(TestCase):
    """Starts a fleet and talks to it as operators and callers do."""

    def make_fleet(self, **parameters):
        self.folder = self.useFixture(TempDir()).path
        self.fleet = Fleet(self.folder, **parameters)
        self.addOnException(self.attach_logs)
        self.addCleanup(self.fleet.__exit__)
        self.client = self.fleet.client
        return self.fleet

    def start_relays(self):
        """Return a thread of relays that ends with the test."""
        thread = RelayThread()
        thread.__enter__()
        self.addCleanup(thread.__exit__)
        return thread

    def start_fleet(self, **parameters):
        """Start a fleet that runs release 1 and has its targets."""
        fleet = self.make_fleet(**parameters)
        fleet.start()
        self.begin_service()
        return fleet

    def begin_service(self):
        """Submit release 1 and wait until every node serves it."""
        # The controls may answer before they have founded their cluster.
        outcome = self.submit_until_definite([0], 1, 'first', FIRST_CHANGES)
        self.assertEqual(200, outcome[0])
        self.wait_in_force(1)
        for node in self.fleet.nodes:
            self.wait_served(node)

    def attach_logs(self, exc_info):
        for process in self.fleet.processes:
            if process.log_path.exists():
                text = process.log_path.read_text()[-LOG_TAIL_CHARS:]
                self.addDetail(process.name, text_content(text))

    # Operators

    def submit(self, control, number, note, changes=None):
        """Submit once; returns the status and the answer."""
        document = {
            'release': number,
            'note': note,
            'changes': changes or change_revision(number),
        }
        address = self.fleet.operator_addresses()[control]
        response = self.client.post(
            f'http://{address}/v1/releases', content=yaml.safe_dump(document)
        )
        return response.status_code, response.json()

    def submit_until_definite(self, controls, number, note, changes=None):
        """Resend a note to controls in turn until its outcome is known."""
        turns = list(controls)

        def attempt():
            turns.append(turns.pop(0))
            status, answer = self.submit(turns[-1], number, note, changes)
            return (status, answer) if status in (200, 409) else None

        return wait_for(attempt, f'outcome of {note}')

    def read_releases(self, control):
        address = self.fleet.operator_addresses()[control]
        return self.client.get(f'http://{address}/v1/releases').json()

    def accepted_notes(self, control):
        """Return the accepted notes that a control tells, by number."""
        listed = self.read_releases(control)
        return {
            entry['held']['number']: entry['note']
            for entry in listed['notes']
            if entry['outcome'] == 'accepted'
        }

    def wait_certified(self, control, number):
        """Wait until a control proves that it has a release."""

        def check():
            listed = self.read_releases(control)
            return listed['certified'] and (
                listed['current']['number'] >= number
            )

        wait_for(check, f'control {control} certified with {number}')

    def wait_leader(self, among=None):
        """Wait for a leader and return its position.

        Parameters
        ----------
        among : collection of int or None
            Controls that count.
        """
        positions = range(len(self.fleet.controls))
        among = positions if among is None else among

        def find():
            elections = [
                (event['term'], position)
                for position in positions
                for event in read_events(
                    self.fleet.controls[position], BECAME_LEADER
                )
            ]
            newest = max(elections, default=None)
            return newest if newest and newest[1] in among else None

        return wait_for(find, 'leader')[1]

    def newest_voters(self):
        """Return the voters of the newest configuration in any log."""
        changes = [
            (event.get('index', FOUNDING_INDEX), event['voters'])
            for control in self.fleet.controls
            for kind in (CLUSTER_FOUNDED, MEMBERSHIP_CHANGED)
            for event in read_events(control, kind)
        ]
        return max(changes, default=(0, []))[1]

    # Nodes

    def node_status(self, node):
        address = node.settings.admin_address
        return self.client.get(f'http://{address}/v1/status').json()

    def wait_in_force(self, number, nodes=None):
        for node in nodes or self.fleet.nodes:
            wait_for(
                lambda n=node: self.node_status(n)['release'] >= number,
                f'release {number} on {node.name}',
            )

    def wait_served(self, node):
        """Wait until a node answers a read from a target."""
        wait_for(
            lambda: self.call(node, '/levels').status_code == 200,
            f'{node.name} serves',
        )

    # Callers

    def call(self, node, path, method='GET', **headers):
        """Call through a node; header names are given with underscores."""
        names = {k.replace('_', '-'): str(v) for k, v in headers.items()}
        address = node.settings.caller_address
        return self.client.request(
            method, f'http://{address}{path}', headers=names
        )

    def order(self, node, key, request_id, path='/orders', deadline_ms=8_000):
        """Send a request that may not be repeated."""
        return self.call(
            node,
            path,
            'POST',
            Idempotency_Key=key,
            X_Request_Id=request_id,
            X_Deadline_Ms=deadline_ms,
        )

    def runs_of(self, key):
        """Return the runs of a key in the run logs of all targets."""
        return [
            run
            for path in self.fleet.run_log_paths()
            for run in read_runs(path)
            if run.key == key
        ]

    def wait_run(self, key):
        """Wait until a target begins to run a key."""
        wait_for(lambda: self.runs_of(key), f'run of {key}')
