from pathlib import Path

from fixtures import TempDir
from testtools import TestCase
import yaml

from snipelead.settings.exceptions import SettingsError
from snipelead.settings.loading import load_settings
from snipelead.settings.schema import ControlSettings
from snipelead.settings.schema import NodeSettings

CONTROL = """
kind: control
control_id: control-a
zone: lv-riga-1
address: 127.0.0.1:7110
operator_address: 127.0.0.1:7111
data_dir: data/control-a
peers:
  - {control_id: control-a, zone: lv-riga-1, address: '127.0.0.1:7110'}
"""
NODE = """
kind: node
node_id: node-1
zone: lv-riga-1
caller_address: 127.0.0.1:8001
address: 127.0.0.1:8002
admin_address: 127.0.0.1:8003
controls:
  - {control_id: control-a, zone: lv-riga-1, address: '127.0.0.1:7110'}
"""


class LoadSettingsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.directory = Path(self.useFixture(TempDir()).path)
        self.path = self.directory / 'settings.yaml'

    def load(self, text, changes=(), **kwargs):
        document = yaml.safe_load(text)
        document.update(changes)
        self.path.write_text(yaml.safe_dump(document))
        return load_settings(self.path, **kwargs)

    def refuse(self, text, changes=(), **kwargs):
        error = self.assertRaises(
            SettingsError, self.load, text, changes, **kwargs
        )
        self.assertEqual('SL5002', error.code)
        self.assertEqual(str(self.path), error.details['file'])
        self.assertIn(str(self.path), error.message)
        # Nothing but the settings file itself is there.
        self.assertEqual([self.path], list(self.directory.iterdir()))
        return error

    def test_valid_settings_are_typed(self):
        self.assertIsInstance(self.load(CONTROL), ControlSettings)
        self.assertIsInstance(self.load(NODE), NodeSettings)

    def test_mistyped_key_is_refused_with_suggestion(self):
        changes = {'timings': {'hartbeat_ms': 50}}
        error = self.refuse(CONTROL, changes)
        self.assertEqual('timings.hartbeat_ms', error.details['key'])
        self.assertEqual('50', error.details['got'])
        self.assertEqual('heartbeat_ms', error.details['suggestion'])
        self.assertIn('election_min_ms', error.details['allowed'])

    def test_unknown_key_in_list_is_refused(self):
        peer = yaml.safe_load(CONTROL)['peers'][0]
        error = self.refuse(CONTROL, {'peers': [{**peer, 'voter': True}]})
        self.assertEqual('peers[0].voter', error.details['key'])

    def test_wrong_type_is_refused(self):
        error = self.refuse(CONTROL, {'timings': {'heartbeat_ms': 'soon'}})
        self.assertEqual('timings.heartbeat_ms', error.details['key'])
        self.assertEqual("'soon'", error.details['got'])
        self.assertEqual('an integer', error.details['allowed'])

    def test_unknown_option_is_refused_with_those_allowed(self):
        error = self.refuse(CONTROL, {'preference': 'speed'})
        self.assertEqual('preference', error.details['key'])
        self.assertEqual(
            "one of 'convergence', 'bytes'", error.details['allowed']
        )

    def test_missing_key_is_named(self):
        document = yaml.safe_load(CONTROL)
        del document['data_dir']
        error = self.refuse(yaml.safe_dump(document))
        self.assertEqual('data_dir', error.details['key'])

    def test_bad_addresses_are_refused(self):
        for address in ('localhost:1', '127.0.0.1', '127.0.0.1:65536', ''):
            error = self.refuse(CONTROL, {'operator_address': address})
            self.assertEqual('operator_address', error.details['key'])
            self.assertEqual(repr(address), error.details['got'])

    def test_empty_data_folder_is_refused(self):
        error = self.refuse(CONTROL, {'data_dir': ''})
        self.assertEqual('data_dir', error.details['key'])

    def test_election_range_must_be_ordered(self):
        timings = {'election_min_ms': 900, 'election_max_ms': 800}
        error = self.refuse(CONTROL, {'timings': timings})
        self.assertEqual('election_min_ms', error.details['key'])

    def test_heartbeat_must_be_below_election(self):
        error = self.refuse(CONTROL, {'timings': {'heartbeat_ms': 500}})
        self.assertEqual('heartbeat_ms', error.details['key'])

    def test_own_id_must_be_among_peers(self):
        error = self.refuse(CONTROL, {'control_id': 'control-b'})
        self.assertEqual('peers', error.details['key'])

    def test_own_address_must_match_peers(self):
        error = self.refuse(CONTROL, {'address': '127.0.0.1:7999'})
        self.assertEqual('address', error.details['key'])

    def test_control_ids_must_be_unique(self):
        peers = yaml.safe_load(CONTROL)['peers']
        twice = {**peers[0], 'address': '127.0.0.1:7120'}
        for text, key in ((CONTROL, 'peers'), (NODE, 'controls')):
            error = self.refuse(text, {key: [*peers, twice]})
            self.assertIn('different ids', error.details['allowed'])

    def test_two_voters_are_refused(self):
        peers = yaml.safe_load(CONTROL)['peers']
        second = {
            'control_id': 'control-b',
            'zone': 'lv-riga-2',
            'address': '127.0.0.1:7120',
        }
        error = self.refuse(CONTROL, {'peers': [*peers, second]})
        self.assertIn('1, 3 or 5', error.details['allowed'])
        relay = {**second, 'role': 'relay'}
        self.load(CONTROL, {'peers': [*peers, relay]})

    def test_other_kind_is_refused(self):
        error = self.refuse(NODE, settings_type=ControlSettings)
        self.assertEqual('kind', error.details['key'])
        self.assertEqual("'control'", error.details['allowed'])
        self.refuse(NODE, {'kind': 'proxy'})

    def test_key_given_twice_is_refused(self):
        self.path.write_text(NODE + 'zone: lv-riga-2\n')
        error = self.assertRaises(SettingsError, load_settings, self.path)
        self.assertIn("'zone' is given twice", error.message)

    def test_text_and_missing_file_are_refused(self):
        self.path.write_text('just text')
        self.assertRaises(SettingsError, load_settings, self.path)
        missing = self.directory / 'missing.yaml'
        self.assertRaises(SettingsError, load_settings, missing)
