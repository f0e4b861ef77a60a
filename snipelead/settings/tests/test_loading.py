from pathlib import Path

from fixtures import TempDir
from testtools import TestCase
import yaml

from snipelead.settings.exceptions import SettingsError
from snipelead.settings.loading import load_settings
from snipelead.settings.schema import ControlSettings
from snipelead.settings.schema import NodeSettings

CONTROL_YAML = """
kind: control
control_id: control-a
zone: lv-riga-1
address: 127.0.0.1:7110
operator_address: 127.0.0.1:7111
data_dir: data/control-a
peers:
  - {control_id: control-a, zone: lv-riga-1, address: '127.0.0.1:7110'}
"""
NODE_YAML = """
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

    def assert_refused(self, text, changes=(), **kwargs):
        error = self.assertRaises(
            SettingsError, self.load, text, changes, **kwargs
        )
        self.assertEqual('SL5002', error.code)
        self.assertEqual(str(self.path), error.details['file'])
        self.assertIn(str(self.path), error.message)
        # Loading must not create any file, such as the data directory.
        self.assertEqual([self.path], list(self.directory.iterdir()))
        return error

    def test_valid_settings_are_typed(self):
        self.assertIsInstance(self.load(CONTROL_YAML), ControlSettings)
        self.assertIsInstance(self.load(NODE_YAML), NodeSettings)

    def test_mistyped_key_is_refused_with_suggestion(self):
        changes = {'timings': {'hartbeat_ms': 50}}
        error = self.assert_refused(CONTROL_YAML, changes)
        self.assertEqual('timings.hartbeat_ms', error.details['key'])
        self.assertEqual('50', error.details['got'])
        self.assertEqual('heartbeat_ms', error.details['suggestion'])
        self.assertIn('election_min_ms', error.details['allowed'])

    def test_unknown_key_in_list_is_refused(self):
        peer = yaml.safe_load(CONTROL_YAML)['peers'][0]
        error = self.assert_refused(
            CONTROL_YAML, {'peers': [{**peer, 'voter': True}]}
        )
        self.assertEqual('peers[0].voter', error.details['key'])

    def test_wrong_type_is_refused(self):
        error = self.assert_refused(
            CONTROL_YAML, {'timings': {'heartbeat_ms': 'soon'}}
        )
        self.assertEqual('timings.heartbeat_ms', error.details['key'])
        self.assertEqual("'soon'", error.details['got'])
        self.assertEqual('an integer', error.details['allowed'])

    def test_unknown_option_is_refused_with_allowed_values(self):
        error = self.assert_refused(CONTROL_YAML, {'preference': 'speed'})
        self.assertEqual('preference', error.details['key'])
        self.assertEqual(
            "one of 'convergence', 'bytes'", error.details['allowed']
        )

    def test_missing_key_is_named(self):
        document = yaml.safe_load(CONTROL_YAML)
        del document['data_dir']
        error = self.assert_refused(yaml.safe_dump(document))
        self.assertEqual('data_dir', error.details['key'])

    def test_bad_addresses_are_refused(self):
        for address in ('localhost:1', '127.0.0.1', '127.0.0.1:65536', ''):
            error = self.assert_refused(
                CONTROL_YAML, {'operator_address': address}
            )
            self.assertEqual('operator_address', error.details['key'])
            self.assertEqual(repr(address), error.details['got'])

    def test_empty_data_dir_is_refused(self):
        error = self.assert_refused(CONTROL_YAML, {'data_dir': ''})
        self.assertEqual('data_dir', error.details['key'])

    def test_election_timeout_bounds_must_be_ordered(self):
        timings = {'election_min_ms': 900, 'election_max_ms': 800}
        error = self.assert_refused(CONTROL_YAML, {'timings': timings})
        self.assertEqual('election_min_ms', error.details['key'])

    def test_heartbeat_must_be_below_election_timeout(self):
        error = self.assert_refused(
            CONTROL_YAML, {'timings': {'heartbeat_ms': 500}}
        )
        self.assertEqual('heartbeat_ms', error.details['key'])

    def test_control_id_must_be_listed_in_peers(self):
        error = self.assert_refused(CONTROL_YAML, {'control_id': 'control-b'})
        self.assertEqual('peers', error.details['key'])

    def test_address_must_match_peers(self):
        error = self.assert_refused(
            CONTROL_YAML, {'address': '127.0.0.1:7999'}
        )
        self.assertEqual('address', error.details['key'])

    def test_control_ids_must_be_unique(self):
        peers = yaml.safe_load(CONTROL_YAML)['peers']
        duplicate = {**peers[0], 'address': '127.0.0.1:7120'}
        for text, key in ((CONTROL_YAML, 'peers'), (NODE_YAML, 'controls')):
            error = self.assert_refused(text, {key: [*peers, duplicate]})
            self.assertIn('different ids', error.details['allowed'])

    def test_even_number_of_voters_is_refused(self):
        peers = yaml.safe_load(CONTROL_YAML)['peers']
        second = {
            'control_id': 'control-b',
            'zone': 'lv-riga-2',
            'address': '127.0.0.1:7120',
        }
        error = self.assert_refused(CONTROL_YAML, {'peers': [*peers, second]})
        self.assertIn('1, 3 or 5', error.details['allowed'])
        relay = {**second, 'role': 'relay'}
        self.load(CONTROL_YAML, {'peers': [*peers, relay]})

    def test_other_kind_is_refused(self):
        error = self.assert_refused(NODE_YAML, settings_type=ControlSettings)
        self.assertEqual('kind', error.details['key'])
        self.assertEqual("'control'", error.details['allowed'])
        self.assert_refused(NODE_YAML, {'kind': 'proxy'})

    def test_key_given_twice_is_refused(self):
        self.path.write_text(NODE_YAML + 'zone: lv-riga-2\n')
        error = self.assertRaises(SettingsError, load_settings, self.path)
        self.assertIn("'zone' is given twice", error.message)

    def test_plain_text_and_missing_file_are_refused(self):
        self.path.write_text('just text')
        self.assertRaises(SettingsError, load_settings, self.path)
        missing = self.directory / 'missing.yaml'
        self.assertRaises(SettingsError, load_settings, missing)
